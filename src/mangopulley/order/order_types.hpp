#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../core/error.hpp"
#include "../core/fwd.hpp"
#include "../core/incarnation_id.hpp"
#include "../target/target_client.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Order: a non-idempotent request of a caller. */
struct order_request {
    std::string service{};
    std::string kind{};
    /*! @brief `Idempotency-Key` as the caller sent it, with or without a token. */
    std::string key{};
    std::string body{};
    std::string content_type{"application/octet-stream"};
    std::string request_id{};
    std::string traceparent{};
    /*! @brief Deadline of the answer on this instance's clock; messages carry the remaining milliseconds. */
    time_point deadline{};
    /*! @brief Number of further targets that may be tried after one that provably did not run the order. */
    std::uint32_t retry_budget{};
    /*! @brief Whether the catalogue refuses orders of this service during a store outage. */
    bool refuse_without_store{};
    /**
     * @brief Whether the caller asserts that it never sent this key before.
     *
     * Matters only for a key without a token during a store outage: unless the caller asserts this, an earlier
     * submission through another instance may have run.
     */
    bool first_attempt{};
};

/*! @brief Execution state of an order as far as it is known; the numbers are part of the wire protocol. */
enum class order_state : unsigned char {
    answered = 1,
    not_run = 2,
    /*! @brief The order may have run, or may still run. */
    unknown = 3,
    /*! @brief The order is running; the caller can query it again. */
    in_progress = 4,
    /*! @brief The key was used before with other content; nothing was run for this request. */
    content_mismatch = 5
};

/*! @brief Cause of a state; the numbers are part of the wire protocol. */
enum class order_reason : unsigned char {
    none = 0,
    /*! @brief No witness acknowledged the note, so the home abandoned the order. */
    no_witness = 1,
    /*! @brief All witnesses sealed the key and none has a note of it. */
    sealed = 2,
    deadline_passed = 3,
    /*! @brief The key is older than the run window. */
    window_passed = 4,
    /*! @brief The key's issue time is too far ahead of the home's clock. */
    issued_ahead = 5,
    /*! @brief The home's ledger has reached one of its limits. */
    ledger_full = 6,
    /*! @brief No target accepted the order. */
    not_sent = 7,
    /*! @brief A key without a token cannot be bound during a store outage. */
    store_out = 8,
    /*! @brief The service's catalogue entry refuses orders during a store outage. */
    refused_without_store = 9,
    /*! @brief The home is shutting down. */
    shutting_down = 10,
    /*! @brief The order had not started when its outcome was queried, and was abandoned. */
    settled_by_query = 11,
    /*! @brief The order was sent to a target, which did not return a complete answer. */
    target_silent = 12,
    /*! @brief The home does not respond and a witness has its note. */
    noted = 13,
    /*! @brief Neither the home nor enough witnesses respond. */
    peers_silent = 14,
    /*! @brief The record was dropped after its retention time or at a memory limit. */
    forgotten = 15,
    /*! @brief The order ran, but its answer is too large to be stored or forwarded. */
    answer_not_kept = 16
};

/*! @brief Result of an order. */
struct order_outcome {
    order_state state{order_state::unknown};
    /*! @brief The target's answer; only in state `answered`. */
    target_answer answer{};
    order_reason reason{order_reason::none};
    /*! @brief Detail text for the problem body. */
    std::string detail{};
    /*! @brief Order token under which the caller can retry at once. */
    std::optional<std::string> fresh_token{};
    /*! @brief Whether the outcome is final: no later outcome of this key can contradict it. */
    bool settled{};
    /*! @brief Fingerprint of the request content that the outcome belongs to; empty when no content was accepted. */
    std::string fingerprint{};
};

/*! @brief Creates an outcome without an answer. */
[[nodiscard]] order_outcome make_outcome(order_state state, order_reason reason, bool settled, std::string detail = {});

/*! @brief Creates the outcome of a request whose key was used before with other content. */
[[nodiscard]] order_outcome content_mismatch();

/*! @brief Returns the name of a state as sent in the header `Mangopulley-Outcome`. */
[[nodiscard]] std::string_view to_string(order_state state) noexcept;
/*! @brief Returns the name of a reason as used in problem bodies and logs. */
[[nodiscard]] std::string_view to_string(order_reason reason) noexcept;

/*! @brief Returns the digest of the parts that all requests under one key must share: service, kind, content type and
 * body. */
[[nodiscard]] std::string content_fingerprint(const order_request& request);

/*! @brief Result of a note or a seal at a witness; the numbers are part of the wire protocol. */
enum class witness_status : unsigned char {
    /*! @brief The note is stored. */
    noted = 1,
    /*! @brief The key is sealed and no note was ever acknowledged. */
    sealed = 2,
    /*! @brief The witness cannot decide: it dropped entries that may have included this key, or is full. */
    unknown = 3,
    /*! @brief The process at this endpoint is another incarnation. */
    other_incarnation = 4
};

/*! @brief Request to a witness to note or seal a key. */
struct witness_request {
    incarnation_id witness{};
    std::string key{};
};

/*! @brief Response to a note or a seal; it carries the outcome if the home handed one over at its shutdown. */
struct witness_response {
    witness_status status{witness_status::unknown};
    std::optional<order_outcome> outcome{};
};

/*! @brief Response of a home: the key with its outcome, or without one when the process is another incarnation. */
struct home_response {
    std::string key{};
    std::optional<order_outcome> outcome{};
};

/*! @brief Key in text form with its outcome. */
struct keyed_outcome {
    std::string key{};
    std::shared_ptr<const order_outcome> outcome{};
};

/**
 * @name Codecs of the messages between instances.
 * The decoders return nothing for bytes that are truncated, too long or malformed.
 * @{
 */
[[nodiscard]] std::string encode_forward(const order_request& request, time_point now);
/*! @brief Sets the deadline to `now` plus the remaining milliseconds in the message. */
[[nodiscard]] std::optional<order_request> decode_forward(std::string_view bytes, time_point now);
[[nodiscard]] std::string encode_query(std::string_view key);
[[nodiscard]] std::optional<std::string> decode_query(std::string_view bytes);
[[nodiscard]] std::string encode_witness_request(const witness_request& request);
[[nodiscard]] std::optional<witness_request> decode_witness_request(std::string_view bytes);
[[nodiscard]] std::string encode_witness_response(const witness_response& response);
[[nodiscard]] std::optional<witness_response> decode_witness_response(std::string_view bytes);
[[nodiscard]] std::string encode_home_response(const home_response& response);
[[nodiscard]] std::optional<home_response> decode_home_response(std::string_view bytes);
/*! @brief Encodes a group of outcomes: the body of an `order_outcomes` message and the content of an archive segment.
 */
[[nodiscard]] std::string encode_outcomes(const std::vector<keyed_outcome>& group);
[[nodiscard]] std::optional<std::vector<keyed_outcome>> decode_outcomes(std::string_view bytes);
[[nodiscard]] std::string encode_accepted(bool accepted);
[[nodiscard]] std::optional<bool> decode_accepted(std::string_view bytes);
/*! @} */

} // namespace mangopulley

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

/*! @brief Non-idempotent request of a caller. */
struct order_request {
    std::string service{};
    std::string kind{};
    /*! @brief `Idempotency-Key` as the caller sent it, with or without a token. */
    std::string key{};
    std::string body{};
    std::string content_type{"application/octet-stream"};
    std::string request_id{};
    std::string traceparent{};
    /*! @brief Latest time for the answer, on this instance's clock; messages carry the milliseconds that remain. */
    time_point deadline{};
    /*! @brief Further targets that may be tried after one that provably did not run the order. */
    std::uint32_t retry_budget{};
    /*! @brief Whether the catalogue refuses orders of this service while the store is out. */
    bool refuse_without_store{};
    /**
     * @brief Whether the caller states that it never sent this key before.
     *
     * It matters only for a key without a token while the store is out: without the statement an earlier submission
     * through another instance may have run.
     */
    bool first_attempt{};
};

/*! @brief What is known of an order; the numbers are part of the protocol. */
enum class order_state : unsigned char {
    answered = 1,
    not_run = 2,
    /*! @brief It may have run, or may still run. */
    unknown = 3,
    /*! @brief It is being run; ask again. */
    in_progress = 4,
    /*! @brief The key was used before with other content; nothing was run for this request. */
    content_mismatch = 5
};

/*! @brief Cause behind a state; the numbers are part of the protocol. */
enum class order_reason : unsigned char {
    none = 0,
    /*! @brief No witness acknowledged the note, so the home gave the order up. */
    no_witness = 1,
    /*! @brief All witnesses sealed the key and none holds a note. */
    sealed = 2,
    deadline_passed = 3,
    /*! @brief The key is older than the run window. */
    window_passed = 4,
    /*! @brief The key's issue time lies ahead of the home's clock. */
    issued_ahead = 5,
    /*! @brief The home holds as many records as it may. */
    ledger_full = 6,
    /*! @brief No target took the order. */
    not_sent = 7,
    /*! @brief A key without a token cannot be bound while the store is out. */
    store_out = 8,
    /*! @brief The service's catalogue entry refuses orders while the store is out. */
    refused_without_store = 9,
    /*! @brief The home is shutting down. */
    shutting_down = 10,
    /*! @brief The order had not begun when its outcome was asked for, and was given up. */
    settled_by_query = 11,
    /*! @brief The order was sent to a target and no whole answer came. */
    target_silent = 12,
    /*! @brief The home does not answer and a witness holds its note. */
    noted = 13,
    /*! @brief Neither the home nor enough witnesses answer. */
    peers_silent = 14,
    /*! @brief The record was dropped after its retention time or at a memory bound. */
    forgotten = 15,
    /*! @brief The order ran; its answer is too large to be kept or forwarded. */
    answer_not_kept = 16
};

/*! @brief What became of an order. */
struct order_outcome {
    order_state state{order_state::unknown};
    /*! @brief The target's answer; only in state `answered`. */
    target_answer answer{};
    order_reason reason{order_reason::none};
    /*! @brief Text for the problem body. */
    std::string detail{};
    /*! @brief Order token under which the caller can repeat at once. */
    std::optional<std::string> fresh_token{};
    /*! @brief Whether no later outcome of this key can contradict this one. */
    bool settled{};
    /*! @brief Fingerprint of the content that the outcome belongs to; empty when no content was accepted. */
    std::string content{};
};

/*! @brief Makes an outcome without an answer. */
[[nodiscard]] order_outcome make_outcome(order_state state, order_reason reason, bool settled, std::string detail = {});

/*! @brief Makes the outcome of a request whose key was used before with other content. */
[[nodiscard]] order_outcome content_mismatch();

/*! @brief Returns the name of a state as in the header `Mangopulley-Outcome`. */
[[nodiscard]] std::string_view to_string(order_state state) noexcept;
/*! @brief Returns the name of a reason for problem bodies and logs. */
[[nodiscard]] std::string_view to_string(order_reason reason) noexcept;

/*! @brief Digest of what must be the same in every request under one key: service, kind, content type and body. */
[[nodiscard]] std::string content_fingerprint(const order_request& request);

/*! @brief Answer of a witness to a note or a seal; the numbers are part of the protocol. */
enum class witness_reply : unsigned char {
    /*! @brief The note is kept. */
    noted = 1,
    /*! @brief The key is sealed and no note was ever acknowledged. */
    sealed = 2,
    /*! @brief The witness cannot tell: it dropped records that may have held this key, or has no room. */
    not_known = 3,
    /*! @brief The process at this endpoint is another incarnation. */
    other_incarnation = 4
};

/*! @brief Message to a witness: note or seal a key. */
struct witness_message {
    incarnation_id witness{};
    std::string key{};
};

/*! @brief Reply to a note or a seal; the outcome is one that the home handed over at its shutdown. */
struct witness_answer {
    witness_reply reply{witness_reply::not_known};
    std::optional<order_outcome> outcome{};
};

/*! @brief Reply of a home: the outcome with the key it belongs to, or nothing when it is another incarnation. */
struct home_answer {
    std::string key{};
    std::optional<order_outcome> outcome{};
};

/*! @brief Outcome with its key. */
struct keyed_outcome {
    std::string key{};
    std::shared_ptr<const order_outcome> outcome{};
};

/**
 * @name Codecs of the messages between instances.
 * The decoders return nothing for bytes that are cut short, too long or of another form.
 * @{
 */
[[nodiscard]] std::string encode_forward(const order_request& request, time_point now);
/*! @brief The deadline becomes `now` plus the milliseconds that the message says remain. */
[[nodiscard]] std::optional<order_request> decode_forward(std::string_view bytes, time_point now);
[[nodiscard]] std::string encode_query(std::string_view key);
[[nodiscard]] std::optional<std::string> decode_query(std::string_view bytes);
[[nodiscard]] std::string encode_witness_message(const witness_message& message);
[[nodiscard]] std::optional<witness_message> decode_witness_message(std::string_view bytes);
[[nodiscard]] std::string encode_witness_answer(const witness_answer& answer);
[[nodiscard]] std::optional<witness_answer> decode_witness_answer(std::string_view bytes);
[[nodiscard]] std::string encode_home_answer(const home_answer& answer);
[[nodiscard]] std::optional<home_answer> decode_home_answer(std::string_view bytes);
/*! @brief Writes a group of outcomes: body of `order_outcomes` and content of an archive segment. */
[[nodiscard]] std::string encode_outcomes(const std::vector<keyed_outcome>& group);
[[nodiscard]] std::optional<std::vector<keyed_outcome>> decode_outcomes(std::string_view bytes);
[[nodiscard]] std::string encode_accepted(bool accepted);
[[nodiscard]] std::optional<bool> decode_accepted(std::string_view bytes);
/*! @} */

} // namespace mangopulley

#include "order_types.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

#include "../wire/message.hpp"

namespace mangopulley {

namespace internal {

constexpr std::uint32_t outcome_field_count = 9U;
constexpr std::uint32_t forward_field_count = 10U;
// The byte limit of a group is reached well before this count.
constexpr std::uint32_t max_group_size = 100'000U;
// Callers' deadlines are at most 60 s ahead; an unbounded value would overflow when added to the clock.
constexpr std::uint64_t max_remaining_ms = 60'000U;

constexpr std::array<std::string_view, 6> state_names{"invalid", "answered",    "not-run",
                                                      "unknown", "in-progress", "content-mismatch"};
constexpr std::array<std::string_view, 17> reason_names{
    "none",          "no_witness",       "sealed",        "deadline_passed", "window_passed",
    "issued_ahead",  "ledger_full",      "not_sent",      "store_out",       "refused_without_store",
    "shutting_down", "settled_by_query", "target_silent", "noted",           "peers_silent",
    "forgotten",     "answer_not_kept"};

void write_outcome(message_writer& writer, const order_outcome& outcome) {
    writer.array(outcome_field_count).number(static_cast<std::uint64_t>(outcome.state));
    writer.number(static_cast<std::uint64_t>(outcome.reason)).text(outcome.detail);
    writer.text(outcome.fresh_token.value_or("")).boolean(outcome.settled);
    writer.number(static_cast<std::uint64_t>(std::max(outcome.answer.status, 0)));
    writer.text(outcome.fingerprint).text(outcome.answer.content_type).text(outcome.answer.body);
}

[[nodiscard]] std::optional<order_outcome> read_outcome(message_reader& reader) {
    order_outcome outcome{};
    const auto fields = reader.array(outcome_field_count);
    const auto state = reader.number();
    const auto reason = reader.number();
    outcome.detail = reader.text();
    if (auto token = reader.text(); !token.empty()) {
        outcome.fresh_token = std::move(token);
    }
    outcome.settled = reader.boolean();
    const auto status = reader.number();
    outcome.fingerprint = reader.text();
    outcome.answer.content_type = reader.text();
    outcome.answer.body = reader.text();
    if (!reader.valid() || fields != outcome_field_count || state == 0U || state >= state_names.size() ||
        reason >= reason_names.size() || status > 999U) {
        return std::nullopt;
    }
    outcome.state = static_cast<order_state>(state);
    outcome.reason = static_cast<order_reason>(reason);
    outcome.answer.status = static_cast<int>(status);
    return outcome;
}

void write_optional_outcome(message_writer& writer, const std::optional<order_outcome>& outcome) {
    writer.boolean(outcome.has_value());
    if (outcome) {
        write_outcome(writer, *outcome);
    }
}

/*! @brief Reads what `write_optional_outcome` wrote; returns false when it is malformed. */
[[nodiscard]] bool read_optional_outcome(message_reader& reader, std::optional<order_outcome>& outcome) {
    if (reader.boolean()) {
        outcome = read_outcome(reader);
        return outcome.has_value();
    }
    return reader.valid();
}

[[nodiscard]] bool fully_consumed(const message_reader& reader) noexcept {
    return reader.valid() && reader.finished();
}

} // namespace internal

order_outcome make_outcome(const order_state state, const order_reason reason, const bool settled, std::string detail) {
    order_outcome outcome{};
    outcome.state = state;
    outcome.reason = reason;
    outcome.settled = settled;
    outcome.detail = std::move(detail);
    return outcome;
}

order_outcome content_mismatch() {
    return make_outcome(order_state::content_mismatch, order_reason::none, true,
                        "the key was used before with other content");
}

std::string_view to_string(const order_state state) noexcept {
    return internal::state_names.at(static_cast<std::size_t>(state));
}

std::string_view to_string(const order_reason reason) noexcept {
    return internal::reason_names.at(static_cast<std::size_t>(reason));
}

std::string content_fingerprint(const order_request& request) {
    // Each part is encoded with its length, so that different requests never give the same byte sequence.
    message_writer writer{};
    writer.text(request.service).text(request.kind).text(request.content_type).text(request.body);
    const auto bytes = writer.take();
    Poco::SHA2Engine engine{Poco::SHA2Engine::SHA_256};
    engine.update(bytes.data(), static_cast<unsigned>(bytes.size()));
    const auto& digest = engine.digest();
    return {digest.begin(), digest.end()};
}

std::string encode_forward(const order_request& request, const time_point now) {
    const auto remaining = std::chrono::duration_cast<milliseconds>(request.deadline - now).count();
    message_writer writer{};
    writer.array(internal::forward_field_count).text(request.key).text(request.service).text(request.kind);
    writer.text(request.content_type).text(request.request_id).text(request.traceparent);
    writer.number(static_cast<std::uint64_t>(std::max<milliseconds::rep>(remaining, 0)));
    writer.number(request.retry_budget).boolean(request.refuse_without_store).text(request.body);
    return writer.take();
}

std::optional<order_request> decode_forward(const std::string_view bytes, const time_point now) {
    message_reader reader{bytes};
    const auto fields = reader.array(internal::forward_field_count);
    order_request request{};
    request.key = reader.text();
    request.service = reader.text();
    request.kind = reader.text();
    request.content_type = reader.text();
    request.request_id = reader.text();
    request.traceparent = reader.text();
    const auto remaining = std::min(reader.number(), internal::max_remaining_ms);
    request.deadline = now + milliseconds{static_cast<milliseconds::rep>(remaining)};
    request.retry_budget = static_cast<std::uint32_t>(std::min<std::uint64_t>(reader.number(), UINT32_MAX));
    request.refuse_without_store = reader.boolean();
    request.body = reader.text();
    if (!internal::fully_consumed(reader) || fields != internal::forward_field_count) {
        return std::nullopt;
    }
    return request;
}

std::string encode_query(const std::string_view key) {
    message_writer writer{};
    writer.array(1U).text(key);
    return writer.take();
}

std::optional<std::string> decode_query(const std::string_view bytes) {
    message_reader reader{bytes};
    const auto fields = reader.array(1U);
    auto key = reader.text();
    return internal::fully_consumed(reader) && fields == 1U ? std::optional{std::move(key)} : std::nullopt;
}

std::string encode_witness_request(const witness_request& request) {
    message_writer writer{};
    writer.array(2U).id(request.witness).text(request.key);
    return writer.take();
}

std::optional<witness_request> decode_witness_request(const std::string_view bytes) {
    message_reader reader{bytes};
    const auto fields = reader.array(2U);
    witness_request request{};
    request.witness = reader.id();
    request.key = reader.text();
    return internal::fully_consumed(reader) && fields == 2U ? std::optional{std::move(request)} : std::nullopt;
}

std::string encode_witness_response(const witness_response& response) {
    message_writer writer{};
    writer.number(static_cast<std::uint64_t>(response.status));
    internal::write_optional_outcome(writer, response.outcome);
    return writer.take();
}

std::optional<witness_response> decode_witness_response(const std::string_view bytes) {
    message_reader reader{bytes};
    const auto status = reader.number();
    witness_response response{};
    const bool intact = internal::read_optional_outcome(reader, response.outcome);
    if (!intact || !internal::fully_consumed(reader) || status < static_cast<std::uint64_t>(witness_status::noted) ||
        status > static_cast<std::uint64_t>(witness_status::other_incarnation)) {
        return std::nullopt;
    }
    response.status = static_cast<witness_status>(status);
    return response;
}

std::string encode_home_response(const home_response& response) {
    message_writer writer{};
    writer.text(response.key);
    internal::write_optional_outcome(writer, response.outcome);
    return writer.take();
}

std::optional<home_response> decode_home_response(const std::string_view bytes) {
    message_reader reader{bytes};
    home_response response{};
    response.key = reader.text();
    const bool intact = internal::read_optional_outcome(reader, response.outcome);
    return intact && internal::fully_consumed(reader) ? std::optional{std::move(response)} : std::nullopt;
}

std::string encode_outcomes(const std::vector<keyed_outcome>& group) {
    message_writer writer{};
    writer.array(static_cast<std::uint32_t>(group.size()));
    for (const auto& entry : group) {
        writer.text(entry.key);
        internal::write_outcome(writer, *entry.outcome);
    }
    return writer.take();
}

std::optional<std::vector<keyed_outcome>> decode_outcomes(const std::string_view bytes) {
    message_reader reader{bytes};
    const auto count = reader.array(internal::max_group_size);
    std::vector<keyed_outcome> group{};
    for (std::uint32_t index = 0U; index < count; ++index) {
        auto key = reader.text();
        auto outcome = internal::read_outcome(reader);
        if (!outcome) {
            return std::nullopt;
        }
        group.push_back({std::move(key), std::make_shared<const order_outcome>(std::move(*outcome))});
    }
    return internal::fully_consumed(reader) ? std::optional{std::move(group)} : std::nullopt;
}

std::string encode_accepted(const bool accepted) {
    message_writer writer{};
    writer.boolean(accepted);
    return writer.take();
}

std::optional<bool> decode_accepted(const std::string_view bytes) {
    message_reader reader{bytes};
    const bool accepted = reader.boolean();
    return internal::fully_consumed(reader) ? std::optional{accepted} : std::nullopt;
}

} // namespace mangopulley

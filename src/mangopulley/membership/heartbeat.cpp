#include "heartbeat.hpp"

#include <algorithm>
#include <cmath>

#include "../core/rendezvous.hpp"
#include "member_table.hpp"

namespace mangopulley {

namespace internal {

constexpr std::uint32_t heartbeat_fields = 14U;
// Ages in steps of 20 ms with two flag bits are encoded in one or two bytes up to 1.28 s, where most of them are.
constexpr milliseconds digest_age_step{20};
constexpr std::uint64_t leaving_flag = 1U;
constexpr std::uint64_t serving_flag = 2U;
constexpr double rate_steps_per_unit = 10.0;
// Longer uptimes from peers are capped; they could overflow the arithmetic on time points.
constexpr std::uint64_t max_uptime_ms = 10ULL * 365U * 86'400'000U;

[[nodiscard]] std::uint64_t to_steps_rounded_up(const duration age, const duration step) noexcept {
    const auto bounded = std::clamp<duration>(age, duration::zero(), removal_age);
    return static_cast<std::uint64_t>((bounded + step - duration{1}) / step);
}

[[nodiscard]] std::uint64_t encode_flags(const bool leaving, const bool serving) noexcept {
    return (leaving ? leaving_flag : 0U) | (serving ? serving_flag : 0U);
}

void write_optional_age(message_writer& writer, const std::optional<duration>& age) {
    writer.number(age ? to_steps_rounded_up(*age, milliseconds{1}) + 1U : 0U);
}

[[nodiscard]] std::optional<duration> read_optional_age(message_reader& reader) {
    const auto code = reader.number();
    return code == 0U ? std::nullopt
                      : std::optional<duration>{milliseconds{std::min<std::uint64_t>(code - 1U, removal_age.count())}};
}

void write_age(message_writer& writer, const duration age) {
    writer.number(to_steps_rounded_up(age, milliseconds{1}));
}

duration read_age(message_reader& reader) {
    return milliseconds{std::min<std::uint64_t>(reader.number(), removal_age.count())};
}

void write_member(message_writer& writer, const member& description) {
    writer.id(description.incarnation)
        .text(description.instance_name)
        .text(description.peer_endpoint)
        .text(description.caller_address);
    writer.text(description.zone).text(description.region);
    writer.number(encode_flags(description.state == member_state::leaving, description.serving));
    write_age(writer, description.age);
    writer.number(static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(description.uptime).count()));
}

member read_member(message_reader& reader) {
    member description{};
    description.incarnation = reader.id();
    description.instance_name = reader.text();
    description.peer_endpoint = reader.text();
    description.caller_address = reader.text();
    description.zone = reader.text();
    description.region = reader.text();
    const auto flags = reader.number();
    description.state = (flags & leaving_flag) != 0U ? member_state::leaving : member_state::live;
    description.serving = (flags & serving_flag) != 0U;
    description.age = read_age(reader);
    description.uptime = milliseconds{std::min(reader.number(), max_uptime_ms)};
    return description;
}

} // namespace internal

std::uint32_t service_hash(const std::string_view service) noexcept {
    return static_cast<std::uint32_t>(rendezvous_rank("demand", service) >> 32U);
}

std::string encode(const heartbeat& message) {
    message_writer writer{};
    writer.array(internal::heartbeat_fields);
    internal::write_member(writer, message.sender);
    writer.number(message.version);
    internal::write_optional_age(writer, message.confirmation_age);
    internal::write_optional_age(writer, message.store_age);
    writer.number(message.revision);
    const auto demands = std::min(message.demands.size(), max_demands_per_heartbeat);
    const auto digests = std::min(message.digests.size(), max_digests_per_heartbeat);
    writer.array(static_cast<std::uint32_t>(2U * (demands + digests) + 1U));
    writer.number(demands);
    for (std::size_t index = 0U; index < demands; ++index) {
        const auto rate = std::clamp(message.demands[index].requests_per_second, 0.0, 1e8);
        writer.number(message.demands[index].service);
        writer.number(static_cast<std::uint64_t>(std::ceil(rate * internal::rate_steps_per_unit)));
    }
    for (std::size_t index = 0U; index < digests; ++index) {
        const auto& digest = message.digests[index];
        writer.number(digest.short_id);
        writer.number(internal::to_steps_rounded_up(digest.age, internal::digest_age_step) * 4U +
                      internal::encode_flags(digest.leaving, digest.serving));
    }
    return writer.take();
}

std::optional<heartbeat> decode_heartbeat(const std::string_view body) {
    message_reader reader{body};
    heartbeat message{};
    const auto fields = reader.array(internal::heartbeat_fields);
    message.sender = internal::read_member(reader);
    message.version = reader.number();
    message.confirmation_age = internal::read_optional_age(reader);
    message.store_age = internal::read_optional_age(reader);
    message.revision = reader.number();
    const auto values = reader.array(2U * (max_demands_per_heartbeat + max_digests_per_heartbeat) + 1U);
    const auto demands = reader.number();
    if (!reader.valid() || fields != internal::heartbeat_fields || values != 1U + 2U * ((values - 1U) / 2U) ||
        demands > (values - 1U) / 2U) {
        return std::nullopt;
    }
    for (std::uint64_t index = 0U; index < demands; ++index) {
        const auto service = static_cast<std::uint32_t>(reader.number());
        message.demands.push_back({service, static_cast<double>(reader.number()) / internal::rate_steps_per_unit});
    }
    for (auto index = demands; index < (values - 1U) / 2U; ++index) {
        const auto short_id = static_cast<std::uint32_t>(reader.number());
        const auto code = reader.number();
        const auto steps = std::min<std::uint64_t>(code / 4U, removal_age / internal::digest_age_step);
        message.digests.push_back({short_id, steps * internal::digest_age_step, (code & internal::leaving_flag) != 0U,
                                   (code & internal::serving_flag) != 0U});
    }
    return reader.valid() && reader.finished() ? std::optional{std::move(message)} : std::nullopt;
}

} // namespace mangopulley

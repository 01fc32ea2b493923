#include "heartbeat.hpp"

#include <algorithm>
#include <cmath>

#include "../core/rendezvous.hpp"
#include "member_table.hpp"

namespace mangopulley {

namespace internal {

constexpr std::uint32_t heartbeat_fields = 14U;
// Ages in steps of 20 ms with two flag bits take one or two bytes up to 1.28 s, where most of them are.
constexpr milliseconds age_step{20};
constexpr std::uint64_t leaving_flag = 1U;
constexpr std::uint64_t serving_flag = 2U;
constexpr double tenths = 10.0;
// Longest uptime read; a larger value would overflow the arithmetic on time points.
constexpr std::uint64_t longest_uptime_ms = 10ULL * 365U * 86'400'000U;

[[nodiscard]] std::uint64_t steps_up(const duration age, const duration step) noexcept {
    const auto bounded = std::clamp<duration>(age, duration::zero(), forgotten_age);
    return static_cast<std::uint64_t>((bounded + step - duration{1}) / step);
}

[[nodiscard]] std::uint64_t flags_of(const bool leaving, const bool serving) noexcept {
    return (leaving ? leaving_flag : 0U) | (serving ? serving_flag : 0U);
}

void write_optional_age(message_writer& writer, const std::optional<duration>& age) {
    writer.number(age ? steps_up(*age, milliseconds{1}) + 1U : 0U);
}

[[nodiscard]] std::optional<duration> read_optional_age(message_reader& reader) {
    const auto code = reader.number();
    return code == 0U
               ? std::nullopt
               : std::optional<duration>{milliseconds{std::min<std::uint64_t>(code - 1U, forgotten_age.count())}};
}

void write_age(message_writer& writer, const duration age) {
    writer.number(steps_up(age, milliseconds{1}));
}

duration read_age(message_reader& reader) {
    return milliseconds{std::min<std::uint64_t>(reader.number(), forgotten_age.count())};
}

void write_member(message_writer& writer, const member& about) {
    writer.id(about.incarnation).text(about.instance_name).text(about.peer_endpoint).text(about.caller_address);
    writer.text(about.zone).text(about.region);
    writer.number(flags_of(about.state == member_state::leaving, about.serving));
    write_age(writer, about.age);
    writer.number(static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(about.uptime).count()));
}

member read_member(message_reader& reader) {
    member about{};
    about.incarnation = reader.id();
    about.instance_name = reader.text();
    about.peer_endpoint = reader.text();
    about.caller_address = reader.text();
    about.zone = reader.text();
    about.region = reader.text();
    const auto flags = reader.number();
    about.state = (flags & leaving_flag) != 0U ? member_state::leaving : member_state::live;
    about.serving = (flags & serving_flag) != 0U;
    about.age = read_age(reader);
    about.uptime = milliseconds{std::min(reader.number(), longest_uptime_ms)};
    return about;
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
    const auto demands = std::min(message.demands.size(), demands_per_heartbeat);
    const auto ages = std::min(message.ages.size(), ages_per_heartbeat);
    writer.array(static_cast<std::uint32_t>(2U * (demands + ages) + 1U));
    writer.number(demands);
    for (std::size_t index = 0U; index < demands; ++index) {
        const auto rate = std::clamp(message.demands[index].requests_per_second, 0.0, 1e8);
        writer.number(message.demands[index].service);
        writer.number(static_cast<std::uint64_t>(std::ceil(rate * internal::tenths)));
    }
    for (std::size_t index = 0U; index < ages; ++index) {
        const auto& report = message.ages[index];
        writer.number(report.prefix);
        writer.number(internal::steps_up(report.age, internal::age_step) * 4U +
                      internal::flags_of(report.leaving, report.serving));
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
    const auto values = reader.array(2U * (demands_per_heartbeat + ages_per_heartbeat) + 1U);
    const auto demands = reader.number();
    if (!reader.valid() || fields != internal::heartbeat_fields || values != 1U + 2U * ((values - 1U) / 2U) ||
        demands > (values - 1U) / 2U) {
        return std::nullopt;
    }
    for (std::uint64_t index = 0U; index < demands; ++index) {
        const auto service = static_cast<std::uint32_t>(reader.number());
        message.demands.push_back({service, static_cast<double>(reader.number()) / internal::tenths});
    }
    for (auto index = demands; index < (values - 1U) / 2U; ++index) {
        const auto prefix = static_cast<std::uint32_t>(reader.number());
        const auto code = reader.number();
        const auto steps = std::min<std::uint64_t>(code / 4U, forgotten_age / internal::age_step);
        message.ages.push_back({prefix, steps * internal::age_step, (code & internal::leaving_flag) != 0U,
                                (code & internal::serving_flag) != 0U});
    }
    return reader.valid() && reader.finished() ? std::optional{std::move(message)} : std::nullopt;
}

} // namespace mangopulley

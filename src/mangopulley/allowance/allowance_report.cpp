#include "allowance_report.hpp"

#include <algorithm>
#include <cmath>

#include "../wire/message.hpp"

namespace mangopulley {

namespace internal {

namespace {

// Differs from the formats of heartbeats and load counts, which arrive on the same port.
constexpr std::uint64_t report_format = 20U;
constexpr std::uint32_t report_fields = 8U;
constexpr std::uint32_t values_per_demand = 5U;
constexpr std::uint32_t max_values = 60'000U;
constexpr double units_per_request = 1'000.0;
constexpr double max_rate = 1e9;

[[nodiscard]] std::uint64_t to_units(const double rate) noexcept {
    return static_cast<std::uint64_t>(std::llround(std::clamp(rate, 0.0, max_rate) * units_per_request));
}

[[nodiscard]] double to_rate(const std::uint64_t units) noexcept {
    return std::min(static_cast<double>(units) / units_per_request, max_rate);
}

} // namespace

} // namespace internal

std::string encode_report(const allowance_report& report) {
    message_writer writer{};
    writer.array(internal::report_fields).number(internal::report_format).number(report.incarnation);
    writer.boolean(report.leaving).boolean(report.partial).number(report.first_key).number(report.last_key);
    writer.array(static_cast<std::uint32_t>(report.heard.size()));
    for (const auto name : report.heard) {
        writer.number(name);
    }
    writer.array(static_cast<std::uint32_t>(report.demands.size()) * internal::values_per_demand);
    for (const auto& demand : report.demands) {
        writer.number(demand.key).number(internal::to_units(demand.own)).number(internal::to_units(demand.known));
        writer.number(internal::to_units(demand.share)).number(internal::to_units(demand.used));
    }
    return writer.take();
}

std::optional<allowance_report> decode_report(const std::string_view bytes) {
    message_reader reader{bytes};
    if (reader.array(internal::report_fields) != internal::report_fields ||
        reader.number() != internal::report_format) {
        return std::nullopt;
    }
    allowance_report report{};
    report.incarnation = reader.number();
    report.leaving = reader.boolean();
    report.partial = reader.boolean();
    report.first_key = static_cast<std::uint32_t>(reader.number());
    report.last_key = static_cast<std::uint32_t>(reader.number());
    const auto heard = reader.array(internal::max_values);
    for (std::uint32_t index = 0U; index < heard && reader.valid(); ++index) {
        report.heard.push_back(static_cast<std::uint32_t>(reader.number()));
    }
    const auto size = reader.array(internal::max_values);
    if (!reader.valid() || size % internal::values_per_demand != 0U) {
        return std::nullopt;
    }
    for (std::uint32_t index = 0U; index < size && reader.valid(); index += internal::values_per_demand) {
        reported_demand demand{};
        demand.key = static_cast<std::uint32_t>(reader.number());
        demand.own = internal::to_rate(reader.number());
        demand.known = internal::to_rate(reader.number());
        demand.share = internal::to_rate(reader.number());
        demand.used = internal::to_rate(reader.number());
        report.demands.push_back(demand);
    }
    return reader.valid() && reader.finished() ? std::optional{std::move(report)} : std::nullopt;
}

} // namespace mangopulley

#include "gateway_settings.hpp"

#include <array>

#include "../settings/field_readers.hpp"

namespace mangopulley {

namespace internal {

namespace {

constexpr yaml_limits gateway_yaml_limits{65'536U, 1'000U, 8U};
constexpr double max_seconds = 3'600.0;
// The store is read several times in this time.
constexpr double min_evacuation_seconds = 0.5;
constexpr double max_real_value = 1'000'000.0;
constexpr std::size_t max_seeds = 64U;
constexpr std::uint64_t min_memory_mb = 16U;
constexpr std::uint64_t max_memory_mb = 1'000'000U;

template <duration gateway_settings::*Member>
[[nodiscard]] result<void> read_seconds(const yaml_value& value, gateway_settings& target) {
    BOOST_LEAF_AUTO(seconds, value.real(0.0, max_seconds));
    target.*Member = std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
    return {};
}

template <double gateway_settings::*Member>
[[nodiscard]] result<void> read_real(const yaml_value& value, gateway_settings& target) {
    BOOST_LEAF_ASSIGN(target.*Member, value.real(0.0, max_real_value));
    return {};
}

[[nodiscard]] result<void> read_evacuation_time(const yaml_value& value, gateway_settings& target) {
    BOOST_LEAF_AUTO(seconds, value.real(min_evacuation_seconds, max_seconds));
    target.evacuation_time = std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
    return {};
}

[[nodiscard]] result<void> read_memory(const yaml_value& value, gateway_settings& target) {
    return value.read(target.memory_mb, min_memory_mb, max_memory_mb);
}

[[nodiscard]] result<void> read_gateway_instance(const yaml_value& value, gateway_settings& target) {
    static constexpr std::array<yaml_field<gateway_settings>, 7U> fields{
        {{"name", true, read_identifier<&gateway_settings::instance_name>},
         {"ip", true, read_ip<&gateway_settings::ip>},
         {"zone", true, read_identifier<&gateway_settings::zone>},
         {"region", true, read_identifier<&gateway_settings::region>},
         {"cpu_share", false, read_real<&gateway_settings::cpu_share>},
         {"cpu_cores", false, read_real<&gateway_settings::cpu_cores>},
         {"memory_mb", false, read_memory}}};
    return value.read_map(target, fields);
}

[[nodiscard]] result<void> read_listen(const yaml_value& value, gateway_settings& target) {
    static constexpr std::array<yaml_field<gateway_settings>, 4U> fields{
        {{"callers", true, read_endpoint<&gateway_settings::caller_endpoint>},
         {"readiness", true, read_endpoint<&gateway_settings::readiness_endpoint>},
         {"directory", true, read_endpoint<&gateway_settings::directory_endpoint>},
         {"operators", true, read_endpoint<&gateway_settings::operator_endpoint>}}};
    return value.read_map(target, fields);
}

[[nodiscard]] result<void> read_seeds(const yaml_value& value, gateway_settings& target) {
    BOOST_LEAF_AUTO(items, value.items(0U, max_seeds));
    for (const auto& item : items) {
        BOOST_LEAF_AUTO(endpoint, item.text(is_endpoint, endpoint_form));
        target.seeds.push_back(std::move(endpoint));
    }
    return {};
}

[[nodiscard]] result<void> read_peers(const yaml_value& value, gateway_settings& target) {
    static constexpr std::array<yaml_field<gateway_settings>, 2U> fields{
        {{"port", true, read_port<&gateway_settings::peer_port>}, {"seeds", true, read_seeds}}};
    return value.read_map(target, fields);
}

[[nodiscard]] result<void> read_platform(const yaml_value& value, gateway_settings& target) {
    static constexpr std::array<yaml_field<gateway_settings>, 2U> fields{
        {{"name", false, read_identifier<&gateway_settings::platform>},
         {"store", true, read_endpoint<&gateway_settings::store_endpoint>}}};
    return value.read_map(target, fields);
}

[[nodiscard]] result<void> read_bounds(const yaml_value& value, gateway_settings& target) {
    static constexpr std::array<yaml_field<gateway_settings>, 11U> fields{
        {{"stop_s", false, read_seconds<&gateway_settings::stop_time>},
         {"lifetime_s", false, read_seconds<&gateway_settings::max_address_lifetime>},
         {"repeat_ratio", false, read_real<&gateway_settings::retry_ratio>},
         {"repeat_slack", false, read_real<&gateway_settings::retry_slack>},
         {"repeat_window_s", false, read_seconds<&gateway_settings::retry_window>},
         {"quota_window_s", false, read_seconds<&gateway_settings::quota_window>},
         {"quota_excess", false, read_real<&gateway_settings::quota_excess>},
         {"quota_slack", false, read_real<&gateway_settings::quota_slack>},
         {"probes_per_s", false, read_real<&gateway_settings::probes_per_target>},
         {"target_heartbeat_s", false, read_seconds<&gateway_settings::target_heartbeat>},
         {"evacuation_s", false, read_evacuation_time}}};
    return value.read_map(target, fields);
}

[[nodiscard]] result<void> read_hedge_share(const yaml_value& value, gateway_settings& target) {
    BOOST_LEAF_ASSIGN(target.hedge_share, value.real(0.0, 1.0));
    return {};
}

[[nodiscard]] result<void> read_hedging(const yaml_value& value, gateway_settings& target) {
    static constexpr std::array<yaml_field<gateway_settings>, 1U> fields{{{"extra_share", false, read_hedge_share}}};
    return value.read_map(target, fields);
}

[[nodiscard]] result<void> read_logging(const yaml_value& value, gateway_settings& target) {
    static constexpr std::array<yaml_field<gateway_settings>, 1U> fields{
        {{"level", false, read_log_level<&gateway_settings::log_level>}}};
    return value.read_map(target, fields);
}

} // namespace

} // namespace internal

result<gateway_settings> parse_gateway_settings(const std::string_view source, const std::string_view text) {
    static constexpr std::array<yaml_field<gateway_settings>, 7U> fields{
        {{"instance", true, internal::read_gateway_instance},
         {"listen", true, internal::read_listen},
         {"peers", true, internal::read_peers},
         {"platform", true, internal::read_platform},
         {"bounds", false, internal::read_bounds},
         {"hedging", false, internal::read_hedging},
         {"log", false, internal::read_logging}}};
    BOOST_LEAF_AUTO(root, parse_yaml(source, text, internal::gateway_yaml_limits));
    gateway_settings parsed{};
    if (auto done = yaml_value{source, root, {}}.read_map(parsed, fields); !done) {
        return done.error();
    }
    return parsed;
}

} // namespace mangopulley

#include "document_codec.hpp"

#include <algorithm>
#include <utility>

#include "duration_codec.hpp"
#include "store_position_codec.hpp"

namespace mangopulley {

namespace internal {

namespace {

// Upper bound of durations in a configuration or a target list, the same as for documents read from the platform.
constexpr duration max_time{std::chrono::hours{24}};
constexpr std::uint32_t max_records = 100'000U;
constexpr std::uint32_t target_fields = 8U;
constexpr std::uint32_t route_fields = 10U;
constexpr std::uint32_t part_fields = 2U;
constexpr std::uint32_t service_fields = 5U;
constexpr std::uint32_t team_fields = 5U;
constexpr std::uint32_t limit_fields = 4U;
constexpr std::uint32_t departed_fields = 2U;
constexpr std::uint32_t incarnation_fields = 2U;
constexpr std::uint32_t list_fields = 3U;
constexpr std::uint32_t config_fields = 7U;
constexpr std::uint32_t changes_fields = 6U;

template <typename Record, typename Write>
void write_records(message_writer& writer, const std::vector<Record>& records, Write write) {
    writer.array(static_cast<std::uint32_t>(records.size()));
    for (const auto& record : records) {
        write(writer, record);
    }
}

template <typename Record, typename Read>
void read_records(message_reader& reader, std::vector<Record>& records, Read read) {
    const auto count = reader.array(max_records);
    for (std::uint32_t index = 0U; index < count && reader.valid(); ++index) {
        records.push_back(read(reader));
    }
}

void write_target(message_writer& writer, const listed_target& target) {
    writer.array(target_fields).text(target.id).number(target.born).text(target.service).text(target.endpoint);
    writer.text(target.zone).number(target.slots).boolean(target.draining);
    write_duration(writer, target.warm_up);
}

[[nodiscard]] listed_target read_target(message_reader& reader) {
    listed_target target{};
    reader.array(target_fields);
    target.id = reader.text();
    target.born = reader.number();
    target.service = reader.text();
    target.endpoint = reader.text();
    target.zone = reader.text();
    target.slots = static_cast<std::uint32_t>(reader.number());
    target.draining = reader.boolean();
    target.warm_up = read_duration(reader, max_time);
    return target;
}

void write_part(message_writer& writer, const split_part& part) {
    writer.array(part_fields).text(part.service).real(part.weight);
}

[[nodiscard]] split_part read_part(message_reader& reader) {
    split_part part{};
    reader.array(part_fields);
    part.service = reader.text();
    part.weight = reader.real();
    return part;
}

void write_route(message_writer& writer, const route& item) {
    writer.array(route_fields).text(item.name).text(item.host).text(item.prefix).boolean(item.idempotent);
    write_duration(writer, item.time_limit);
    write_duration(writer, item.latency_goal);
    writer.number(item.priority).number(item.max_attempts).boolean(item.is_public);
    write_records(writer, item.parts, write_part);
}

[[nodiscard]] route read_route(message_reader& reader) {
    route item{};
    reader.array(route_fields);
    item.name = reader.text();
    item.host = reader.text();
    item.prefix = reader.text();
    item.idempotent = reader.boolean();
    item.time_limit = read_duration(reader, max_time);
    item.latency_goal = read_duration(reader, max_time);
    item.priority = static_cast<std::uint32_t>(reader.number());
    item.max_attempts = static_cast<std::uint32_t>(reader.number());
    item.is_public = reader.boolean();
    read_records(reader, item.parts, read_part);
    return item;
}

void write_service(message_writer& writer, const service_config& item) {
    writer.array(service_fields).text(item.name).text(item.health_path).number(item.max_connections_per_target);
    write_duration(writer, item.warm_up);
    writer.real(item.warm_up_rate);
}

[[nodiscard]] service_config read_service(message_reader& reader) {
    service_config item{};
    reader.array(service_fields);
    item.name = reader.text();
    item.health_path = reader.text();
    item.max_connections_per_target = static_cast<std::uint32_t>(reader.number());
    item.warm_up = read_duration(reader, max_time);
    item.warm_up_rate = reader.real();
    return item;
}

void write_key(message_writer& writer, const key_digest& key) {
    writer.text({reinterpret_cast<const char*>(key.data()), key.size()});
}

/*! @brief Reads the digest of a key; one of another length becomes zero, which no key has. */
[[nodiscard]] key_digest read_key(message_reader& reader) {
    const auto bytes = reader.text();
    key_digest key{};
    if (bytes.size() == key.size()) {
        std::copy(bytes.begin(), bytes.end(), key.begin());
    }
    return key;
}

void write_team(message_writer& writer, const team_config& team) {
    writer.array(team_fields).text(team.name).number(team.priority).real(team.rate).real(team.burst);
    write_records(writer, team.keys, write_key);
}

[[nodiscard]] team_config read_team(message_reader& reader) {
    team_config team{};
    reader.array(team_fields);
    team.name = reader.text();
    team.priority = static_cast<std::uint32_t>(reader.number());
    team.rate = reader.real();
    team.burst = reader.real();
    read_records(reader, team.keys, read_key);
    return team;
}

void write_limits(message_writer& writer, const caller_limits& limits) {
    writer.array(limit_fields).number(limits.head_bytes).number(limits.body_bytes);
    write_duration(writer, limits.receive_timeout);
    write_duration(writer, limits.idle_timeout);
}

[[nodiscard]] caller_limits read_limits(message_reader& reader) {
    caller_limits limits{};
    reader.array(limit_fields);
    limits.head_bytes = reader.number();
    limits.body_bytes = reader.number();
    limits.receive_timeout = read_duration(reader, max_time);
    limits.idle_timeout = read_duration(reader, max_time);
    return limits;
}

} // namespace

} // namespace internal

std::string encode_targets(const target_list& list) {
    message_writer writer{};
    writer.array(internal::list_fields);
    internal::write_position(writer, list.position);
    internal::write_records(writer, list.targets, internal::write_target);
    return writer.take();
}

std::optional<target_list> decode_targets(const std::string_view bytes) {
    message_reader reader{bytes};
    target_list list{};
    reader.array(internal::list_fields);
    list.position = internal::read_position(reader);
    internal::read_records(reader, list.targets, internal::read_target);
    return reader.valid() && reader.finished() ? std::optional{std::move(list)} : std::nullopt;
}

std::string encode_changes(const target_changes& changes) {
    message_writer writer{};
    writer.array(internal::changes_fields).number(changes.from).number(changes.to);
    internal::write_position(writer, changes.position);
    internal::write_records(writer, changes.changed, internal::write_target);
    internal::write_records(writer, changes.removed, [](message_writer& out, const std::string& id) { out.text(id); });
    return writer.take();
}

std::optional<target_changes> decode_changes(const std::string_view bytes) {
    message_reader reader{bytes};
    target_changes changes{};
    if (reader.array(internal::changes_fields) != internal::changes_fields) {
        return std::nullopt;
    }
    changes.from = reader.number();
    changes.to = reader.number();
    changes.position = internal::read_position(reader);
    internal::read_records(reader, changes.changed, internal::read_target);
    internal::read_records(reader, changes.removed, [](message_reader& in) { return std::string{in.text()}; });
    return reader.valid() && reader.finished() ? std::optional{std::move(changes)} : std::nullopt;
}

std::string encode_departed(const departure_report& report) {
    message_writer writer{};
    writer.array(internal::departed_fields);
    internal::write_duration(writer, report.remaining);
    internal::write_records(writer, report.targets, [](message_writer& out, const target_incarnation& target) {
        out.array(internal::incarnation_fields).text(target.first).number(target.second);
    });
    return writer.take();
}

std::optional<departure_report> decode_departed(const std::string_view bytes) {
    message_reader reader{bytes};
    departure_report report{};
    reader.array(internal::departed_fields);
    report.remaining = internal::read_duration(reader, internal::max_time);
    internal::read_records(reader, report.targets, [](message_reader& in) {
        in.array(internal::incarnation_fields);
        auto id = in.text();
        return target_incarnation{std::move(id), in.number()};
    });
    return reader.valid() && reader.finished() ? std::optional{std::move(report)} : std::nullopt;
}

std::string encode_config(const routing_config& config) {
    message_writer writer{};
    writer.array(internal::config_fields);
    internal::write_config_id(writer, config.id);
    internal::write_records(writer, config.routes, internal::write_route);
    internal::write_records(writer, config.services, internal::write_service);
    internal::write_limits(writer, config.limits);
    internal::write_records(writer, config.teams, internal::write_team);
    return writer.take();
}

std::optional<routing_config> decode_config(const std::string_view bytes) {
    message_reader reader{bytes};
    routing_config config{};
    reader.array(internal::config_fields);
    config.id = internal::read_config_id(reader);
    internal::read_records(reader, config.routes, internal::read_route);
    internal::read_records(reader, config.services, internal::read_service);
    config.limits = internal::read_limits(reader);
    internal::read_records(reader, config.teams, internal::read_team);
    return reader.valid() && reader.finished() ? std::optional{std::move(config)} : std::nullopt;
}

} // namespace mangopulley

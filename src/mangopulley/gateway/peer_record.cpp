#include "peer_record.hpp"

#include "duration_codec.hpp"
#include "store_position_codec.hpp"

namespace mangopulley {

namespace internal {

namespace {

constexpr std::uint64_t peer_format = 9U;
constexpr std::uint32_t message_fields = 25U;
constexpr std::uint32_t introduction_fields = 6U;
constexpr std::uint32_t member_fields = 9U;
constexpr duration max_age{std::chrono::hours{1}};
constexpr std::uint32_t max_members = 16'384U;
constexpr std::uint32_t max_zones = 1'024U;

void write_evacuations(message_writer& writer, const evacuation_set& set) {
    write_position(writer, set.position);
    writer.array(static_cast<std::uint32_t>(set.zones.size()));
    for (const auto& zone : set.zones) {
        writer.text(zone);
    }
}

[[nodiscard]] evacuation_set read_evacuations(message_reader& reader) {
    evacuation_set set{};
    set.position = read_position(reader);
    const auto count = reader.array(max_zones);
    for (std::uint32_t index = 0U; index < count && reader.valid(); ++index) {
        set.zones.emplace_back(reader.text());
    }
    return set;
}

void write_identity(message_writer& writer, const instance_identity& identity) {
    writer.text(identity.name).text(identity.ip).text(identity.zone).text(identity.region);
    writer.text(identity.caller_endpoint).number(identity.millicores);
}

[[nodiscard]] instance_identity read_identity(message_reader& reader) {
    instance_identity identity{};
    identity.name = reader.text();
    identity.ip = reader.text();
    identity.zone = reader.text();
    identity.region = reader.text();
    identity.caller_endpoint = reader.text();
    identity.millicores = static_cast<std::uint32_t>(reader.number());
    return identity;
}

} // namespace

} // namespace internal

std::string encode_peer_message(const heartbeat_message& message) {
    const auto& record = message.record;
    message_writer writer{};
    writer.array(internal::message_fields).number(internal::peer_format).number(record.incarnation);
    writer.boolean(record.ready).boolean(message.requests_introduction).number(message.members_digest);
    writer.boolean(record.cpu_starved).number(record.requests_per_second);
    internal::write_config_id(writer, record.config);
    writer.number(record.config_read);
    internal::write_duration(writer, record.config_age);
    internal::write_position(writer, record.targets_position);
    writer.number(record.targets_digest).number(record.excluded_targets).number(record.targets_read);
    internal::write_duration(writer, record.targets_age);
    internal::write_evacuations(writer, record.evacuations);
    writer.number(record.evacuations_read);
    internal::write_duration(writer, record.evacuations_age);
    writer.text(message.target_changes);
    writer.array(message.introduces ? internal::introduction_fields : 0U);
    if (message.introduces) {
        internal::write_identity(writer, record.identity);
    }
    return writer.take();
}

std::optional<heartbeat_message> decode_peer_message(const std::string_view bytes) {
    message_reader reader{bytes};
    if (reader.array(internal::message_fields) != internal::message_fields ||
        reader.number() != internal::peer_format) {
        return std::nullopt;
    }
    heartbeat_message message{};
    auto& record = message.record;
    record.incarnation = reader.number();
    record.ready = reader.boolean();
    message.requests_introduction = reader.boolean();
    message.members_digest = reader.number();
    record.cpu_starved = reader.boolean();
    record.requests_per_second = static_cast<std::uint32_t>(reader.number());
    record.config = internal::read_config_id(reader);
    record.config_read = static_cast<std::uint32_t>(reader.number());
    record.config_age = internal::read_duration(reader, internal::max_age);
    record.targets_position = internal::read_position(reader);
    record.targets_digest = reader.number();
    record.excluded_targets = static_cast<std::uint32_t>(reader.number());
    record.targets_read = static_cast<std::uint32_t>(reader.number());
    record.targets_age = internal::read_duration(reader, internal::max_age);
    record.evacuations = internal::read_evacuations(reader);
    record.evacuations_read = static_cast<std::uint32_t>(reader.number());
    record.evacuations_age = internal::read_duration(reader, internal::max_age);
    message.target_changes = reader.text();
    message.introduces = reader.array(internal::introduction_fields) == internal::introduction_fields;
    if (message.introduces) {
        record.identity = internal::read_identity(reader);
    }
    return reader.valid() && reader.finished() ? std::optional{std::move(message)} : std::nullopt;
}

std::string encode_members(const std::vector<known_instance>& members) {
    message_writer writer{};
    writer.array(static_cast<std::uint32_t>(members.size()));
    for (const auto& member : members) {
        writer.array(internal::member_fields).number(member.record.incarnation).boolean(member.record.ready);
        internal::write_duration(writer, member.silence);
        internal::write_identity(writer, member.record.identity);
    }
    return writer.take();
}

std::optional<std::vector<known_instance>> decode_members(const std::string_view bytes) {
    message_reader reader{bytes};
    std::vector<known_instance> members{};
    const auto count = reader.array(internal::max_members);
    for (std::uint32_t index = 0U; index < count && reader.valid(); ++index) {
        known_instance member{};
        if (reader.array(internal::member_fields) != internal::member_fields) {
            return std::nullopt;
        }
        member.record.incarnation = reader.number();
        member.record.ready = reader.boolean();
        member.silence = internal::read_duration(reader, internal::max_age);
        member.record.identity = internal::read_identity(reader);
        members.push_back(std::move(member));
    }
    return reader.valid() && reader.finished() ? std::optional{std::move(members)} : std::nullopt;
}

} // namespace mangopulley

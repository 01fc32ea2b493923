#include "peer_record.hpp"

#include <algorithm>

#include "../wire/message.hpp"

namespace mangopulley {

namespace internal {

namespace {

constexpr std::uint64_t heartbeat_format = 1U;
constexpr std::uint32_t heartbeat_fields = 14U;
constexpr std::uint32_t most_known_ips = 4'096U;

void write_age(message_writer& writer, const duration age) {
    writer.number(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(age).count()));
}

[[nodiscard]] duration read_age(message_reader& reader) {
    constexpr std::uint64_t longest_us = 3'600'000'000U;
    return std::chrono::microseconds{std::min(reader.number(), longest_us)};
}

} // namespace

} // namespace internal

std::string encode_peer_record(const peer_record& record) {
    message_writer writer{};
    writer.array(internal::heartbeat_fields).number(internal::heartbeat_format).number(record.incarnation);
    writer.text(record.name).text(record.ip).text(record.zone).text(record.region).text(record.caller_endpoint);
    writer.boolean(record.ready).number(record.config_revision);
    internal::write_age(writer, record.config_age);
    writer.number(record.targets_revision).number(record.targets_digest);
    internal::write_age(writer, record.targets_age);
    writer.array(static_cast<std::uint32_t>(record.known_ips.size()));
    for (const auto& ip : record.known_ips) {
        writer.text(ip);
    }
    return writer.take();
}

std::optional<peer_record> decode_peer_record(const std::string_view bytes) {
    message_reader reader{bytes};
    if (reader.array(internal::heartbeat_fields) != internal::heartbeat_fields ||
        reader.number() != internal::heartbeat_format) {
        return std::nullopt;
    }
    peer_record record{};
    record.incarnation = reader.number();
    record.name = reader.text();
    record.ip = reader.text();
    record.zone = reader.text();
    record.region = reader.text();
    record.caller_endpoint = reader.text();
    record.ready = reader.boolean();
    record.config_revision = reader.number();
    record.config_age = internal::read_age(reader);
    record.targets_revision = reader.number();
    record.targets_digest = reader.number();
    record.targets_age = internal::read_age(reader);
    const auto count = reader.array(internal::most_known_ips);
    for (std::uint32_t index = 0U; index < count && reader.valid(); ++index) {
        record.known_ips.push_back(reader.text());
    }
    if (!reader.valid() || !reader.finished()) {
        return std::nullopt;
    }
    return record;
}

} // namespace mangopulley

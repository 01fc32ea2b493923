#include "forwarded_head.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>
#include <vector>

#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

#include "../http/chunk.hpp"
#include "../http/field_names.hpp"

namespace mangopulley {

namespace internal {

namespace {

// Hop-by-hop fields, RFC 9110, section 7.6.1.
const std::array<std::string, 8U> connection_fields{field_name::connection,
                                                    field_name::keep_alive,
                                                    "Proxy-Connection",
                                                    "Proxy-Authenticate",
                                                    "Proxy-Authorization",
                                                    "TE",
                                                    "Trailer",
                                                    "Upgrade"};

[[nodiscard]] bool is_framing(const std::string& name) {
    return Poco::icompare(name, field_name::content_length) == 0 ||
           Poco::icompare(name, field_name::transfer_encoding) == 0;
}

/**
 * @brief Returns the field names listed in the Connection fields of a message.
 *
 * Names of framing fields and Host are left out: without them the receiver would find the end of the message elsewhere,
 * or route it elsewhere.
 */
[[nodiscard]] std::vector<std::string> connection_options(const Poco::Net::MessageHeader& head) {
    std::vector<std::string> names{};
    for (const auto& [name, value] : head) {
        if (Poco::icompare(name, field_name::connection) == 0) {
            const Poco::StringTokenizer tokens{
                value, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY};
            std::copy_if(tokens.begin(), tokens.end(), std::back_inserter(names), [](const std::string& option) {
                return !is_framing(option) && Poco::icompare(option, field_name::host) != 0;
            });
        }
    }
    return names;
}

[[nodiscard]] bool contains_field(const std::string& name, const auto& names) {
    return std::any_of(std::begin(names), std::end(names),
                       [&name](const std::string& other) { return Poco::icompare(name, other) == 0; });
}

void append_field(std::string& head, const std::string_view name, const std::string_view value) {
    head.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

} // namespace internal

std::string forwarded_request_head(const http_request& request, const bool body_held, const dialect& wire_dialect,
                                   const forwarding_fields& fields) {
    std::string head{};
    constexpr std::size_t typical_head_bytes = 512U;
    head.reserve(typical_head_bytes);
    head.append(request.head.getMethod()).append(" ").append(request.head.getURI()).append(" HTTP/1.1\r\n");
    const auto options = internal::connection_options(request.head);
    bool has_framing = false;
    for (const auto& [name, value] : request.head) {
        has_framing = has_framing || internal::is_framing(name);
        if ((body_held && internal::is_framing(name)) || internal::contains_field(name, internal::connection_fields) ||
            internal::contains_field(name, options) || Poco::icompare(name, field_name::expect) == 0 ||
            wire_dialect.overrides_field(name)) {
            continue;
        }
        if (!fields.forwards_credentials && wire_dialect.is_credential_field(name)) {
            continue;
        }
        internal::append_field(head, name, value);
    }
    if (body_held && has_framing) {
        internal::append_field(head, field_name::content_length, std::to_string(request.body.size()));
    }
    wire_dialect.write_fields(head, fields.target, fields.time_left, fields.team);
    head.append("\r\n");
    return head;
}

std::string forwarded_body_part(const http_request& request, body_part&& part) {
    if (!request.head.has(field_name::transfer_encoding)) {
        return std::move(part.bytes);
    }
    std::string chunk{};
    append_chunk(chunk, part);
    return chunk;
}

std::string forwarded_response_head(const http_response& response, const bool bodiless) {
    std::string head{"HTTP/1.1 "};
    head.append(std::to_string(response.status())).append(" ").append(response.head.getReason()).append("\r\n");
    const auto options = internal::connection_options(response.head);
    for (const auto& [name, value] : response.head) {
        const bool replaced_framing = internal::is_framing(name) && !bodiless;
        if (!replaced_framing && !internal::contains_field(name, internal::connection_fields) &&
            !internal::contains_field(name, options)) {
            internal::append_field(head, name, value);
        }
    }
    return head;
}

std::string health_request(const std::string_view path, const std::string_view endpoint) {
    std::string head{"GET "};
    head.append(path).append(" HTTP/1.1\r\n");
    internal::append_field(head, field_name::host, endpoint);
    head.append("\r\n");
    return head;
}

} // namespace mangopulley

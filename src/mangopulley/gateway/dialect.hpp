#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "../http/http_message.hpp"
#include "../http/response_parser.hpp"
#include "api_key.hpp"
#include "listed_target.hpp"
#include "load_reading.hpp"
#include "target_advice.hpp"

namespace mangopulley {

/*! @brief Kind of the credentials of a caller's request. */
enum class credential_kind : std::uint8_t {
    none,
    /*! @brief Credentials that are no single API key. */
    malformed,
    api_key
};

/*! @brief Metadata in the header fields of a caller's request. */
struct request_metadata {
    /*! @brief Id of the caller's attempt; empty when there is none. */
    std::string request_id{};
    /*! @brief Time that the caller waits for the response, counted from when it sent the request. */
    std::optional<duration> time_left{};
    credential_kind credential{credential_kind::none};
    /*! @brief Digest of the API key, if there is one. */
    key_digest key{};
};

/*! @brief Metadata in the header fields of a target's response. */
struct response_metadata {
    /*! @brief Id of the request that the response belongs to; empty when there is none. */
    std::string request_id{};
    /*! @brief Whether the head has parts of several responses: ids or stamps that differ. */
    bool mixed{};
    /*! @brief Whether the response carries the stamp that proves that a target generated it. */
    bool has_response_stamp{};
    /*! @brief Whether the target states that it did not execute the request. */
    bool not_executed{};
    /*! @brief Id of the responding target; empty when not given. */
    std::string target_id{};
    std::optional<load_reading> load{};
    target_advice advice{};
    /*! @brief How much longer the target stays cold; nothing when not given. */
    std::optional<duration> warm_up{};
};

/*! @brief Caller's lookup of the addresses of a host. */
struct address_query {
    std::string host{};
    std::string region{};
    std::string zone{};
};

/*! @brief Header fields and API calls by which the gateway exchanges metadata with callers and targets. */
class dialect {
public:
    dialect() = default;
    dialect(const dialect&) = delete;
    dialect& operator=(const dialect&) = delete;
    virtual ~dialect() = default;

    /*! @brief Reads the metadata of a caller's request. */
    [[nodiscard]] virtual request_metadata read_request(const http_request& request) const = 0;
    /*! @brief Returns whether the gateway sets a request field itself, which replaces the caller's. */
    [[nodiscard]] virtual bool overrides_field(std::string_view name) const = 0;
    /**
     * @brief Appends the fields that the gateway sets to a request head.
     * @param head Request head without the final empty line.
     * @param target Only target that may execute the request.
     * @param time_left Time until the deadline, after which a response is of no use.
     * @param team Name of the caller's team; empty if it has none.
     */
    virtual void write_fields(std::string& head, const listed_target& target, duration time_left,
                              std::string_view team) const = 0;
    /*! @brief Returns whether a request field holds the caller's credentials. */
    [[nodiscard]] virtual bool is_credential_field(std::string_view name) const = 0;
    /*! @brief Reads the metadata of a target's response. */
    [[nodiscard]] virtual response_metadata read_response(const http_response& response) const = 0;

    /*! @brief Reads an address lookup; returns nothing for any other request. */
    [[nodiscard]] virtual std::optional<address_query> read_address_query(const http_request& request) const = 0;
    /**
     * @brief Builds the response to an address lookup.
     * @param endpoints Endpoints as `ip:port`.
     * @param lifetime Time for which the caller may cache them.
     */
    [[nodiscard]] virtual http_reply write_addresses(std::span<const std::string> endpoints,
                                                     duration lifetime) const = 0;
    /*! @brief Returns whether a request is a readiness check of this instance. */
    [[nodiscard]] virtual bool is_readiness_request(const http_request& request) const = 0;
};

} // namespace mangopulley

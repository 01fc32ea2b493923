#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "../http/http_message.hpp"
#include "../http/response_parser.hpp"
#include "listed_target.hpp"
#include "load_reading.hpp"

namespace mangopulley {

/*! @brief What a caller's request says beside method, path and body. */
struct request_facts {
    /*! @brief Id of the attempt; empty when there is none. */
    std::string id{};
    /*! @brief How long the caller waits, counted from when it sent the request. */
    std::optional<duration> time_left{};
};

/*! @brief What a target's response says beside status and body. */
struct response_facts {
    /*! @brief Id of the request that it answers; empty when there is none. */
    std::string request_id{};
    /*! @brief Whether the response carries the proof that a target made it. */
    bool genuine{};
    /*! @brief Whether the target states that it did not run the request. */
    bool not_run{};
    /*! @brief Id of the answering target, when it says so. */
    std::string target{};
    std::optional<load_reading> load{};
};

/*! @brief Question of a caller for the addresses of a host. */
struct address_query {
    std::string host{};
    std::string region{};
    std::string zone{};
};

/*! @brief Header fields and calls in which callers and targets say what the gateway needs to know. */
class dialect {
public:
    dialect() = default;
    dialect(const dialect&) = delete;
    dialect& operator=(const dialect&) = delete;
    virtual ~dialect() = default;

    /*! @brief Reads the facts of a caller's request. */
    [[nodiscard]] virtual request_facts read_request(const http_request& request) const = 0;
    /*! @brief Tells whether the gateway sets a request field itself, so that the caller's is not forwarded. */
    [[nodiscard]] virtual bool sets_field(std::string_view name) const = 0;
    /**
     * @brief Appends the fields that the gateway sets to a request head.
     * @param head Request head without its last empty line.
     * @param target Target that alone may run the request.
     * @param time_left Time after which an answer is of no use.
     */
    virtual void write_fields(std::string& head, const listed_target& target, duration time_left) const = 0;
    /*! @brief Reads the facts of a target's response. */
    [[nodiscard]] virtual response_facts read_response(const http_response& response) const = 0;

    /*! @brief Reads a question for addresses, or nothing when the request is another one. */
    [[nodiscard]] virtual std::optional<address_query> read_address_query(const http_request& request) const = 0;
    /*! @brief Writes the answer to a question for addresses. */
    [[nodiscard]] virtual http_reply write_addresses(std::span<const std::string> endpoints,
                                                     duration lifetime) const = 0;
    /*! @brief Tells whether a request asks if the instance takes requests. */
    [[nodiscard]] virtual bool asks_readiness(const http_request& request) const = 0;
};

} // namespace mangopulley

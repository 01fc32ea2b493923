#pragma once

#include <optional>
#include <string>
#include <vector>

#include "../core/fwd.hpp"
#include "../http/http_message.hpp"

namespace mangopulley {

/*! @brief Reply that is not a target's answer, as RFC 9457 problem details. */
struct problem {
    int status{};
    /*! @brief `not-run`, `unknown` or `refused`. */
    std::string outcome{};
    /*! @brief Short name of the cause, the last part of the problem's type. */
    std::string type{};
    std::string title{};
    std::string detail{};
    /*! @brief Limit of the owner under which the request was refused. */
    std::string limit{};
    std::string request_id{};
    /*! @brief Order token under which a request that was not run can be repeated at once. */
    std::string order_token{};
    /*! @brief Other instances that the caller can use. */
    std::vector<std::string> addresses{};
    std::optional<milliseconds> retry_after{};
};

/*! @brief Writes a problem as a reply with the headers `Mangopulley-Outcome` and, where waiting helps, `Retry-After`.
 */
[[nodiscard]] http_reply to_reply(const problem& cause);

} // namespace mangopulley

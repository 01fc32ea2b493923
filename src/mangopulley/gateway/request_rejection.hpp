#pragma once

#include <cstdint>
#include <string_view>

#include "../http/http_message.hpp"

namespace mangopulley {

/*! @brief Request that was answered without the handler; the references are valid during the call. */
struct request_rejection {
    int status{};
    std::string_view reason{};
    /*! @brief Head of the request, or null if it is not complete. */
    const http_request* head{};
    /*! @brief Number of requests that the connection had passed to the handler before. */
    std::uint64_t previous_requests{};
};

} // namespace mangopulley

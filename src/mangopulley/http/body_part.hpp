#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace mangopulley {

/*! @brief Piece of a message body that is passed on before the body is complete. */
struct body_part {
    enum class state : std::uint8_t {
        /*! @brief More parts follow. */
        more,
        /*! @brief The body ends with this part. */
        last,
        /*! @brief The body will never be complete. */
        broken
    };

    std::string bytes{};
    state position{state::more};
};

/*! @brief Receives the next part of a body. */
using body_reader = std::function<void(body_part&& part)>;

} // namespace mangopulley

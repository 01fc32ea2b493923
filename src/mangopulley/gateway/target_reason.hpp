#pragma once

#include <cstdint>
#include <string_view>

namespace mangopulley {

/*! @brief Why a target would or would not get a request. */
enum class target_reason : std::uint8_t {
    chosen,
    /*! @brief Would be asked for its load before the request is sent. */
    probed,
    /*! @brief Free, but the request is refused or waits. */
    available,
    /*! @brief Free, but not expected to respond earlier than the chosen target. */
    slower,
    /*! @brief Free, and chosen against only because it is in another availability zone. */
    other_zone,
    /*! @brief Free, but without a fresh load reading. */
    no_reading,
    /*! @brief Free, but it failed in a row and is used only if no other is free. */
    avoided,
    /*! @brief All slots are taken. */
    busy,
    /*! @brief Its rate while it warms up allows no request now. */
    cold,
    /*! @brief Gets one request at a time after a pause until one has succeeded. */
    resuming,
    /*! @brief Wants no requests for a while. */
    paused,
    /*! @brief Another target answered at its address. */
    displaced,
    leaving,
    /*! @brief Its zone is evacuated. */
    evacuated,
    unlisted
};

[[nodiscard]] std::string_view name_of(target_reason reason) noexcept;

} // namespace mangopulley

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "listed_target.hpp"
#include "routing_config.hpp"

namespace mangopulley {

/*! @brief Why the platform gave no usable answer. */
struct platform_error {
    enum class reason : std::uint8_t {
        /*! @brief No connection, a reset, or no answer in time. */
        unreachable,
        /*! @brief The platform answered that it does not serve this call now. */
        refused,
        /*! @brief The answer is not what the call asks for. */
        malformed,
        /*! @brief There is no such object yet. */
        missing
    };

    reason why{reason::unreachable};
    std::string detail{};
};

/*! @brief Returns the word for a reason in logs. */
[[nodiscard]] std::string_view name_of(platform_error::reason why) noexcept;

/*! @brief Value or the reason why there is none; LEAF keeps no error across callbacks. */
template <typename Type>
using platform_result = std::variant<Type, platform_error>;

/*! @brief Reads what the platform keeps: the targets and the routing configuration. */
class platform_client {
public:
    template <typename Type>
    using completion = std::function<void(platform_result<Type>&& answer)>;

    platform_client() = default;
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;
    virtual ~platform_client() = default;

    /**
     * @brief Reads all targets as they are now.
     * @param timeout Longest time for the whole call.
     * @param done Called once, never before this call returns.
     */
    virtual void read_targets(duration timeout, completion<target_list> done) = 0;
    /*! @brief Reads the routing configuration as it is now; parameters as of `read_targets`. */
    virtual void read_config(duration timeout, completion<routing_config> done) = 0;
    /*! @brief Tells how many calls this client has made. */
    [[nodiscard]] virtual std::uint64_t calls() const noexcept = 0;
};

} // namespace mangopulley

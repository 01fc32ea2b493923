#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "../core/fwd.hpp"

namespace mangopulley {

/**
 * @brief Requests in flight at each target, exchanged among the instances that callers use.
 *
 * A target has few slots, so that an instance has to count what others have sent there; load reports tell that only
 * after the fact. Each instance sends the counts that changed, and all of them from time to time. Not synchronised.
 */
class shared_load {
public:
    /*! @brief Receivers that are sent changes at a pace of their own. */
    enum class audience : std::uint8_t { own_zone, other_zones };
    /*! @brief Called with a target's key and what the others have in flight there, whenever that changes. */
    using listener = std::function<void(std::uint32_t key, std::uint32_t foreign)>;

    explicit shared_load(listener action);
    shared_load(const shared_load&) = delete;
    shared_load& operator=(const shared_load&) = delete;
    ~shared_load();

    /*! @brief Returns the short name of a target in messages. */
    [[nodiscard]] static std::uint32_t key_of(std::string_view target) noexcept;

    /*! @brief Notes how many requests of this instance are in flight at a target. */
    void note(std::uint32_t key, std::uint32_t in_flight);
    /*! @brief Returns a message with what changed since the last one for these receivers, or nothing. */
    [[nodiscard]] std::optional<std::string> take_changes(audience receivers);
    /*! @brief Tells whether this instance has no request in flight. */
    [[nodiscard]] bool idle() const noexcept;
    /*! @brief Returns a message with all counts. */
    [[nodiscard]] std::string all() const;
    /*! @brief Takes in a message; returns false when the bytes are none. */
    bool receive(std::string_view sender, std::string_view bytes, time_point now);
    /*! @brief Drops the counts of instances that were not heard from lately. */
    void expire(time_point now);
    /*! @brief Returns what the others have in flight at a target. */
    [[nodiscard]] std::uint32_t foreign(std::uint32_t key) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley

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
 * @brief Requests in flight at each target, exchanged among the instances that serve callers.
 *
 * A target has few slots, so an instance must count the requests that other instances have in flight there; the
 * load reports of the target show them too late. Each instance sends changed counts, and periodically all counts. Not
 * thread-safe.
 */
class shared_load {
public:
    /*! @brief Groups of receivers, each with its own send interval. */
    enum class audience : std::uint8_t { own_zone, other_zones };
    /*! @brief Called with a target's key and the remote requests in flight there, whenever their number changes. */
    using listener = std::function<void(std::uint32_t key, std::uint32_t remote)>;

    explicit shared_load(listener on_change);
    shared_load(const shared_load&) = delete;
    shared_load& operator=(const shared_load&) = delete;
    ~shared_load();

    /*! @brief Returns the key that identifies a target in messages. */
    [[nodiscard]] static std::uint32_t key_of(std::string_view target) noexcept;

    /*! @brief Records how many requests of this instance are in flight at a target. */
    void record(std::uint32_t key, std::uint32_t in_flight);
    /*! @brief Returns a message with the counts changed since the previous one for these receivers, or nothing if none
     * changed. */
    [[nodiscard]] std::optional<std::string> take_changes(audience receivers);
    /*! @brief Returns whether this instance has no request in flight. */
    [[nodiscard]] bool idle() const noexcept;
    /*! @brief Returns a message with all counts. */
    [[nodiscard]] std::string all() const;
    /*! @brief Applies a message; returns false when it is malformed. */
    bool receive(std::string_view sender, std::string_view bytes, time_point now);
    /*! @brief Drops the counts of instances from which no message arrived recently. */
    void expire(time_point now);
    /*! @brief Returns the number of requests that other instances have in flight at a target. */
    [[nodiscard]] std::uint32_t remote_in_flight(std::uint32_t key) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley

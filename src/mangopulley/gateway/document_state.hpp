#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "../core/fnv_hash.hpp"
#include "open_call.hpp"
#include "read_time_tracker.hpp"

namespace mangopulley::internal {

/*! @brief Identifies a read of a document by this or another instance. */
struct source_read {
    time_point as_of{};
    std::uint32_t number{};
};

/*! @brief Returns a number for a read that other instances are unlikely to use at the same time. */
[[nodiscard]] inline std::uint32_t read_number(const std::uint64_t incarnation, const std::uint64_t count) {
    return static_cast<std::uint32_t>(fnv_hash{}.add(incarnation).add(count).value());
}

/*! @brief State of following one document. */
struct document_state {
    static constexpr duration unknown_age{std::chrono::hours{1}};

    std::optional<time_point> as_of{};
    /*! @brief Number of the read to which `as_of` belongs. */
    std::uint32_t read_number{};
    /*! @brief Reads reported by other instances. */
    read_time_tracker reported{};
    open_call read{};
    open_call fetch{};
    bool failing{};
    time_point pause_until{};

    [[nodiscard]] duration age(const time_point now) const noexcept {
        return this->as_of ? now - *this->as_of : unknown_age;
    }

    /*! @brief Records a read unless a newer one is known; a corrected time of the same read replaces the former one. */
    void confirm(const source_read& source) noexcept {
        if (!this->as_of || source.as_of > *this->as_of || source.number == this->read_number) {
            this->as_of = source.as_of;
            this->read_number = source.number;
        }
    }
};

/*! @brief Returns an age in whole milliseconds for a log line. */
[[nodiscard]] inline std::string age_text(const duration age) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(age).count());
}

} // namespace mangopulley::internal

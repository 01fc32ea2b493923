#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "../core/fwd.hpp"

namespace mangopulley::internal {

/*! @brief Arrival times of the bytes of a connection that were received and not yet parsed. */
class arrival_times {
public:
    /*! @brief Adds bytes that follow the others. */
    void append(const std::size_t bytes, const time_point arrived) {
        if (this->segments.size() < max_segments) {
            this->segments.push_back({bytes, arrived});
        } else {
            this->segments.back().bytes += bytes;
        }
        this->total += bytes;
    }

    /*! @brief Drops all but the last bytes. */
    void keep_last(const std::size_t bytes) {
        auto surplus = this->total - std::min(bytes, this->total);
        this->total -= surplus;
        auto position = this->segments.begin();
        while (position != this->segments.end() && surplus >= position->bytes) {
            surplus -= position->bytes;
            ++position;
        }
        if (position != this->segments.end()) {
            position->bytes -= surplus;
        }
        this->segments.erase(this->segments.begin(), position);
    }

    /*! @brief Returns when the first byte arrived, or the default if there is none. */
    [[nodiscard]] time_point first() const noexcept {
        return this->segments.empty() ? time_point{} : this->segments.front().arrived;
    }

private:
    struct segment {
        std::size_t bytes;
        time_point arrived;
    };

    // Bytes sent one by one are counted from the arrival of the earliest of them.
    static constexpr std::size_t max_segments = 64U;

    std::vector<segment> segments{};
    std::size_t total{};
};

} // namespace mangopulley::internal

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace faulty {

/*! @brief Says which calls of which kind of callback end with an exception. The file that MANGOPULLEY_FAULTS names
 * holds the kind and the number of calls for each that fails, or nothing. */
class fault_plan {
public:
    /*! @brief When a call fails: not at all, before it did anything, or after it did everything. */
    enum class moment : std::uint8_t { never, before, after };

    [[nodiscard]] static fault_plan& instance();
    /*! @brief Returns what becomes of the next call of this kind. */
    [[nodiscard]] moment next(std::string_view kind);

private:
    fault_plan() = default;
    void refresh();

    std::string failing_kind{};
    std::uint64_t calls_per_failure{1U};
    std::int64_t next_look_ms{};
    std::uint64_t calls{};
};

/*! @brief Ends the call with an exception. */
[[noreturn]] void fail(std::string_view kind);

/*! @brief Returns a callback that does what the given one does, and fails when the plan says so. */
template <typename Result, typename... Arguments>
[[nodiscard]] std::function<Result(Arguments...)> with_faults(const std::string_view kind,
                                                              std::function<Result(Arguments...)> action) {
    if (!action) {
        return {};
    }
    return [kind, action = std::move(action)](Arguments... arguments) -> Result {
        // The callback may destroy the object that holds it.
        const auto name = kind;
        const auto when = fault_plan::instance().next(name);
        if (when == fault_plan::moment::before) {
            fail(name);
        }
        if constexpr (std::is_void_v<Result>) {
            action(std::forward<Arguments>(arguments)...);
            if (when == fault_plan::moment::after) {
                fail(name);
            }
        } else {
            auto value = action(std::forward<Arguments>(arguments)...);
            if (when == fault_plan::moment::after) {
                fail(name);
            }
            return value;
        }
    };
}

} // namespace faulty

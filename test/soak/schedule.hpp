#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <string_view>
#include <vector>

namespace soak {

using std::chrono::milliseconds;

/*! @brief Faults that the soak injects. */
enum class fault_kind {
    stop_instance,
    kill_instance,
    freeze_instance,
    reload_instance,
    reset_callers,
    store_refuses,
    store_silent,
    store_slow,
    store_loses_responses,
    store_from_copy,
    change_config,
    caller_burst,
    restart_target,
    drain_target,
    remove_target,
    reset_target,
    target_full,
    target_pauses,
    target_repeats_rejections,
    target_repeats_responses,
    target_misdirected,
    target_fails,
    target_cuts_heads,
    target_cuts_bodies,
    target_hangs,
    target_reads_slowly,
};

inline constexpr std::size_t fault_kind_count = 26U;

/*! @brief What a fault acts on. */
enum class fault_subject { instance, target, none };

/*! @brief Name and range of one kind of fault. */
struct fault_traits {
    fault_kind kind{};
    std::string_view name{};
    fault_subject subject{};
    milliseconds shortest{};
    milliseconds longest{};
};

/*! @brief Returns all kinds of faults, in the order of `fault_kind`. */
[[nodiscard]] const std::array<fault_traits, fault_kind_count>& all_faults() noexcept;

/*! @brief One fault with the time from the beginning of the run at which it begins. */
struct scheduled_fault {
    milliseconds at{};
    fault_kind kind{};
    std::size_t subject{};
    milliseconds length{};
};

using schedule = std::vector<scheduled_fault>;

/**
 * @brief Draws a schedule; faults overlap, and some come in series on the same subject.
 * @param seed Seed; the same one gives the same schedule.
 * @param length Time from the first fault to the end of the last.
 * @param instances Number of instances.
 * @param targets Number of targets.
 * @return Faults in the order of their times.
 */
[[nodiscard]] schedule draw_schedule(std::uint64_t seed, milliseconds length, std::size_t instances,
                                     std::size_t targets);

/*! @brief Writes a schedule, one fault a line: time in ms, kind, subject, length in ms. */
void write_schedule(std::ostream& out, const schedule& faults);

/**
 * @brief Reads what `write_schedule` wrote; lines that begin with # are skipped.
 * @throw std::invalid_argument when a line is no fault.
 */
[[nodiscard]] schedule read_schedule(std::istream& in);

} // namespace soak

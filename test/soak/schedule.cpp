#include "schedule.hpp"

#include <algorithm>
#include <istream>
#include <iterator>
#include <ostream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>

namespace soak {

namespace {

using random_source = std::mt19937_64;

[[nodiscard]] std::size_t pick(random_source& random, const std::size_t count) {
    return static_cast<std::size_t>(random() % count);
}

[[nodiscard]] milliseconds pick_between(random_source& random, const milliseconds least, const milliseconds most) {
    const auto span = static_cast<std::size_t>((most - least).count()) + 1U;
    return least + milliseconds{static_cast<milliseconds::rep>(pick(random, span))};
}

/*! @brief Draws what a fault acts on: instances in two of five cases, although they have fewer kinds of faults. */
[[nodiscard]] fault_subject pick_subject(random_source& random) {
    constexpr std::array subjects{fault_subject::instance, fault_subject::instance, fault_subject::target,
                                  fault_subject::target, fault_subject::none};
    return subjects[pick(random, subjects.size())];
}

[[nodiscard]] scheduled_fault draw_fault(random_source& random, const std::size_t instances,
                                         const std::size_t targets) {
    std::vector<fault_traits> eligible{};
    std::copy_if(all_faults().begin(), all_faults().end(), std::back_inserter(eligible),
                 [subject = pick_subject(random)](const auto& item) { return item.subject == subject; });
    const auto& chosen = eligible[pick(random, eligible.size())];
    scheduled_fault fault{};
    fault.kind = chosen.kind;
    if (chosen.subject == fault_subject::instance) {
        fault.subject = pick(random, instances);
    } else if (chosen.subject == fault_subject::target) {
        fault.subject = pick(random, targets);
    }
    fault.length = pick_between(random, chosen.shortest, chosen.longest);
    return fault;
}

[[nodiscard]] scheduled_fault parse_fault(const std::string& line) {
    std::istringstream fields{line};
    milliseconds::rep at{};
    milliseconds::rep length{};
    std::string name{};
    scheduled_fault fault{};
    fields >> at >> name >> fault.subject >> length;
    const auto& faults = all_faults();
    const auto* const found =
        std::find_if(faults.begin(), faults.end(), [&name](const auto& item) { return item.name == name; });
    if (fields.fail() || found == faults.end()) {
        throw std::invalid_argument{"not a fault: " + line};
    }
    fault.at = milliseconds{at};
    fault.kind = found->kind;
    fault.length = milliseconds{length};
    return fault;
}

} // namespace

const std::array<fault_traits, fault_kind_count>& all_faults() noexcept {
    using kind = fault_kind;
    constexpr auto instance = fault_subject::instance;
    constexpr auto target = fault_subject::target;
    constexpr auto none = fault_subject::none;
    constexpr milliseconds instant{0};
    constexpr milliseconds brief{300};
    constexpr milliseconds usual{2'500};
    // A target serves on for this long after it began to leave.
    constexpr milliseconds shortest_leave{3'000};
    constexpr milliseconds longest_leave{4'500};
    static constexpr std::array<fault_traits, fault_kind_count> faults{{
        {kind::stop_instance, "stop_instance", instance, instant, instant},
        {kind::kill_instance, "kill_instance", instance, instant, instant},
        {kind::freeze_instance, "freeze_instance", instance, brief, usual},
        {kind::reload_instance, "reload_instance", instance, instant, instant},
        {kind::reset_callers, "reset_callers", instance, instant, instant},
        {kind::store_refuses, "store_refuses", none, brief, usual},
        {kind::store_silent, "store_silent", none, brief, usual},
        {kind::store_slow, "store_slow", none, brief, usual},
        {kind::store_loses_responses, "store_loses_responses", none, brief, usual},
        {kind::store_from_copy, "store_from_copy", none, brief, usual},
        {kind::change_config, "change_config", none, instant, instant},
        {kind::caller_burst, "caller_burst", none, brief, usual},
        {kind::restart_target, "restart_target", target, instant, instant},
        {kind::drain_target, "drain_target", target, shortest_leave, longest_leave},
        {kind::remove_target, "remove_target", target, shortest_leave, longest_leave},
        {kind::reset_target, "reset_target", target, instant, instant},
        {kind::target_full, "target_full", target, brief, usual},
        {kind::target_pauses, "target_pauses", target, brief, usual},
        {kind::target_repeats_rejections, "target_repeats_rejections", target, brief, usual},
        {kind::target_repeats_responses, "target_repeats_responses", target, brief, usual},
        {kind::target_misdirected, "target_misdirected", target, brief, usual},
        {kind::target_fails, "target_fails", target, brief, usual},
        {kind::target_cuts_heads, "target_cuts_heads", target, brief, usual},
        {kind::target_cuts_bodies, "target_cuts_bodies", target, brief, usual},
        {kind::target_hangs, "target_hangs", target, brief, usual},
        {kind::target_reads_slowly, "target_reads_slowly", target, brief, usual},
    }};
    return faults;
}

schedule draw_schedule(const std::uint64_t seed, const milliseconds length, const std::size_t instances,
                       const std::size_t targets) {
    constexpr milliseconds longest_gap{600};
    constexpr milliseconds longest_gap_in_series{500};
    constexpr std::size_t instances_per_rate = 10U;
    constexpr std::size_t series_period = 4U;
    constexpr std::size_t longest_series = 4U;
    const auto gap = longest_gap / static_cast<milliseconds::rep>(1U + instances / instances_per_rate);
    random_source random{seed};
    schedule faults{};
    for (milliseconds at{0}; at < length; at += pick_between(random, milliseconds{0}, gap)) {
        auto fault = draw_fault(random, instances, targets);
        fault.at = at;
        auto repeats = pick(random, series_period) == 0U ? 2U + pick(random, longest_series - 1U) : 1U;
        for (; repeats > 0U && fault.at + fault.length <= length; --repeats) {
            faults.push_back(fault);
            fault.at += pick_between(random, milliseconds{0}, longest_gap_in_series);
        }
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    return faults;
}

void write_schedule(std::ostream& out, const schedule& faults) {
    for (const auto& fault : faults) {
        out << fault.at.count() << ' ' << all_faults()[static_cast<std::size_t>(fault.kind)].name << ' '
            << fault.subject << ' ' << fault.length.count() << '\n';
    }
}

schedule read_schedule(std::istream& in) {
    schedule faults{};
    for (std::string line{}; std::getline(in, line);) {
        if (!line.empty() && line.front() != '#') {
            faults.push_back(parse_fault(line));
        }
    }
    return faults;
}

} // namespace soak

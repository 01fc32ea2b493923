#include "fair_order.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "../core/string_hash.hpp"

namespace mangopulley {

namespace internal {

namespace {

// Share of its arrivals, relative to the share of all requests that are sent, up to which a team and priority is
// preferred. The requirement is a quarter; the rest is a margin for responses that fail and for unequal instances.
constexpr double preferred_share = 0.35;
// Bounds the requests that one team and priority may send before all others after a time without any.
constexpr double max_credit = 8.0;
// A flow that was sent more often than its preferred share saves at most this part of its recent arrivals, so that it
// is preferred again within about a second after it stops being sent.
constexpr double saved_share = 0.05;
constexpr duration totals_half_life{std::chrono::seconds{1}};
// Longer than requests wait; a team that comes back later begins without debt, which is a few requests at most.
constexpr duration idle_flow_lifetime{std::chrono::seconds{30}};
// Virtual time of a request without an estimate.
constexpr duration min_work{std::chrono::microseconds{100}};

/*! @brief Requests of one team and priority. */
struct flow {
    std::uint64_t priority{};
    /*! @brief Virtual time after the requests sent so far, in seconds of work. */
    double virtual_end{};
    /*! @brief Requests that are to be sent before all others; the first request of a new flow is one. */
    double credit{1.0};
    /*! @brief Moving total of arrivals. */
    double arrived{};
    time_point last_arrival{};
};

/*! @brief Flows of each team; a team has one for each priority of its routes, which are few. */
using flow_table = std::unordered_map<std::string, std::map<std::uint64_t, flow>, string_hash, std::equal_to<>>;

[[nodiscard]] double virtual_cost(const waiting_request& item) noexcept {
    return std::chrono::duration<double>(std::max(item.work, min_work)).count();
}

/*! @brief Position of a waiting request during a sort. */
struct entry {
    const waiting_request* item{};
    /*! @brief Index in the queue before the sort. */
    std::size_t index{};
    flow* owner{};
    bool late{};
    bool preferred{};
    /*! @brief Virtual time at which its turn comes within its lateness and priority. */
    double turn{};
};

/*! @brief Waiting requests of a flow that were given a turn so far. */
struct turns {
    std::size_t count{};
    double next{};
};

} // namespace

} // namespace internal

struct fair_order::implementation {
    internal::flow_table flows{};
    /*! @brief Virtual time by priority: the lowest `virtual_end` of the flows with waiting requests. */
    std::unordered_map<std::uint64_t, double> virtual_times{};
    /*! @brief Moving totals of arrived and sent requests. */
    double arrived{};
    double sent{};
    time_point halved{};
    /*! @brief Kept between calls to avoid allocations. */
    std::vector<internal::entry> entries{};
    std::vector<request> arranged{};

    internal::flow& flow_of(const waiting_request& item) {
        auto team = this->flows.find(item.team);
        if (team == this->flows.end()) {
            team = this->flows.try_emplace(item.team).first;
        }
        const auto position = team->second.try_emplace(item.priority).first;
        if (position->second.last_arrival == time_point{}) {
            position->second.priority = item.priority;
            position->second.last_arrival = item.arrived;
        }
        return position->second;
    }

    [[nodiscard]] const internal::flow* find(const waiting_request& item) const {
        const auto team = this->flows.find(item.team);
        if (team == this->flows.end()) {
            return nullptr;
        }
        const auto known = team->second.find(item.priority);
        return known == team->second.end() ? nullptr : &known->second;
    }

    [[nodiscard]] double virtual_time(const std::uint64_t priority) const {
        const auto position = this->virtual_times.find(priority);
        return position == this->virtual_times.end() ? 0.0 : position->second;
    }

    /*! @brief Returns the virtual time of a flow's next request; a flow that was idle gains nothing by it. */
    [[nodiscard]] double next_turn(const internal::flow& owner) const {
        return std::max(owner.virtual_end, this->virtual_time(owner.priority));
    }

    /*! @brief Halves the totals once per half-life, and drops flows that have been idle for long. */
    void age(const time_point now) {
        if (now - this->halved < internal::totals_half_life) {
            return;
        }
        this->halved = now;
        this->arrived *= 0.5;
        this->sent *= 0.5;
        std::unordered_map<std::uint64_t, double> used{};
        for (auto& [team, by_priority] : this->flows) {
            std::erase_if(by_priority, [now](const auto& item) {
                return now - item.second.last_arrival > internal::idle_flow_lifetime;
            });
            for (auto& [priority, kept] : by_priority) {
                kept.arrived *= 0.5;
                used.try_emplace(priority, this->virtual_time(priority));
            }
        }
        std::erase_if(this->flows, [](const auto& team) { return team.second.empty(); });
        this->virtual_times = std::move(used);
    }

    /*! @brief Advances the virtual time of each priority to the lowest one among its waiting flows. */
    void advance_virtual_times() {
        std::unordered_map<std::uint64_t, double> lowest{};
        for (const auto& entry : this->entries) {
            auto& value = lowest.try_emplace(entry.owner->priority, std::numeric_limits<double>::max()).first->second;
            value = std::min(value, this->next_turn(*entry.owner));
        }
        for (const auto& [priority, value] : lowest) {
            this->virtual_times[priority] = value;
        }
    }

    void assign_turns() {
        std::unordered_map<const internal::flow*, internal::turns> given{};
        for (auto& entry : this->entries) {
            auto& turns =
                given.try_emplace(entry.owner, internal::turns{0U, this->next_turn(*entry.owner)}).first->second;
            entry.preferred = static_cast<double>(++turns.count) <= entry.owner->credit;
            entry.turn = turns.next;
            turns.next += internal::virtual_cost(*entry.item);
        }
    }
};

fair_order::fair_order() : self{std::make_unique<implementation>()} {}

fair_order::fair_order(fair_order&&) noexcept = default;

fair_order& fair_order::operator=(fair_order&&) noexcept = default;

fair_order::~fair_order() = default;

void fair_order::record_arrival(const waiting_request& item, const time_point now) {
    auto& state = *this->self;
    state.age(now);
    auto& owner = state.flow_of(item);
    owner.last_arrival = now;
    if (item.returning) {
        return;
    }
    const double sent_share = std::min((state.sent + 1.0) / (state.arrived + 1.0), 1.0);
    state.arrived += 1.0;
    owner.arrived += 1.0;
    owner.credit = std::min(owner.credit + internal::preferred_share * sent_share, internal::max_credit);
}

void fair_order::record_sent(const waiting_request& item) {
    auto& state = *this->self;
    state.sent += 1.0;
    auto& owner = state.flow_of(item);
    owner.credit = std::max(owner.credit - 1.0, -internal::saved_share * owner.arrived);
    owner.virtual_end = state.next_turn(owner) + internal::virtual_cost(item);
}

void fair_order::arrange(std::vector<request>& queue, const conditions& current) {
    auto& state = *this->self;
    const bool several = has_several_teams(queue);
    state.entries.clear();
    state.entries.reserve(queue.size());
    for (const auto& item : queue) {
        state.entries.push_back(
            {item.get(), state.entries.size(), &state.flow_of(*item), current.late(*item), false, 0.0});
    }
    std::stable_sort(state.entries.begin(), state.entries.end(),
                     [&current](const internal::entry& left, const internal::entry& right) {
                         if (left.late != right.late) {
                             return right.late;
                         }
                         if (left.item->priority != right.item->priority) {
                             return left.item->priority < right.item->priority;
                         }
                         return current.overloaded ? left.item->latency_goal > right.item->latency_goal
                                                   : left.item->latency_goal < right.item->latency_goal;
                     });
    state.advance_virtual_times();
    if (several) {
        state.assign_turns();
        std::stable_sort(state.entries.begin(), state.entries.end(),
                         [](const internal::entry& left, const internal::entry& right) {
                             return std::tuple{!left.preferred, left.late, left.item->priority, left.turn} <
                                    std::tuple{!right.preferred, right.late, right.item->priority, right.turn};
                         });
    }
    state.arranged.clear();
    std::transform(state.entries.begin(), state.entries.end(), std::back_inserter(state.arranged),
                   [&queue](const internal::entry& entry) { return std::move(queue[entry.index]); });
    queue.swap(state.arranged);
    state.arranged.clear();
}

std::size_t fair_order::ahead_of(const waiting_request& item, const std::span<const request> queue) const {
    const bool several =
        std::any_of(queue.begin(), queue.end(), [&item](const request& other) { return other->team != item.team; });
    if (!several) {
        return queue.size();
    }
    const auto& state = *this->self;
    const auto turn_of = [&state](const waiting_request& other) {
        const auto* owner = state.find(other);
        return owner == nullptr ? state.virtual_time(other.priority) : state.next_turn(*owner);
    };
    const auto cost_in_turn = [&item](const request& other) {
        return other->priority == item.priority && other->team == item.team ? internal::virtual_cost(*other) : 0.0;
    };
    double own_turn = turn_of(item);
    for (const auto& other : queue) {
        own_turn += cost_in_turn(other);
    }
    std::size_t ahead = 0U;
    std::unordered_map<std::string_view, double> turns{};
    for (const auto& other : queue) {
        if (other->priority != item.priority) {
            ahead += other->priority < item.priority ? 1U : 0U;
            continue;
        }
        const auto position = turns.find(other->team);
        auto& turn =
            position != turns.end() ? position->second : turns.emplace(other->team, turn_of(*other)).first->second;
        ahead += other->team == item.team || turn < own_turn ? 1U : 0U;
        turn += internal::virtual_cost(*other);
    }
    return ahead;
}

std::size_t fair_order::preferred(const waiting_request& item) const {
    const auto* owner = this->self->find(item);
    return owner == nullptr ? 0U : static_cast<std::size_t>(std::max(owner->credit, 0.0));
}

std::size_t fair_order::teams() const noexcept {
    return this->self->flows.size();
}

bool fair_order::has_several_teams(const std::span<const request> queue) noexcept {
    return std::any_of(queue.begin(), queue.end(),
                       [&queue](const request& item) { return item->team != queue.front()->team; });
}

} // namespace mangopulley

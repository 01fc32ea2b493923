#include "wait_queue.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace mangopulley {

namespace internal {

// Slot time shared among the waiting kinds regardless of worth. A larger share costs worth in a burst, a smaller one
// lets a kind wait longer than typical deadlines.
constexpr double reserved_share = 0.1;
// Stands in for the slot time of a kind without answers.
constexpr double unknown_cost_ms = 1.0;

[[nodiscard]] double cost_ms(const wait_ticket& ticket) noexcept {
    const auto expected = std::chrono::duration<double, std::milli>{ticket.expected}.count();
    return expected > 0.0 ? expected : unknown_cost_ms;
}

using owner_key = std::pair<work_class, std::string>;

struct kind_flow {
    bool idempotent{};
    /*! @brief Worth per slot time in steps of a factor 1.41, so that noise in the answer times reorders no kinds. */
    long rank{};
    double cost{};
    double deficit{};
    duration expected{};
    std::set<std::pair<time_point, const wait_ticket*>> waiting{};
};

struct owner_flow {
    /*! @brief Slot time used so far, in ms, on a scale common to the owners of a class. */
    double used{};
    std::map<std::string, kind_flow, std::less<>> kinds{};

    [[nodiscard]] const kind_flow* best(const bool idempotent_only) const noexcept {
        const kind_flow* chosen{};
        for (const auto& [name, flow] : this->kinds) {
            if (idempotent_only && !flow.idempotent) {
                continue;
            }
            if (chosen == nullptr || comes_before(flow, *chosen)) {
                chosen = &flow;
            }
        }
        return chosen;
    }

private:
    [[nodiscard]] static bool comes_before(const kind_flow& left, const kind_flow& right) noexcept {
        const bool left_due = left.deficit >= left.cost;
        const bool right_due = right.deficit >= right.cost;
        if (left_due != right_due) {
            return left_due;
        }
        if (left.rank != right.rank) {
            return left.rank > right.rank;
        }
        return *left.waiting.begin() < *right.waiting.begin();
    }
};

} // namespace internal

struct wait_queue::implementation {
    /*! @brief Owners with waiting requests, earliest class first. */
    std::map<internal::owner_key, internal::owner_flow> owners{};
    std::size_t count{};

    void erase(const wait_ticket& ticket) {
        const auto owner = this->owners.find({ticket.work, std::string{ticket.owner}});
        const auto flow = owner->second.kinds.find(ticket.kind);
        this->count -= flow->second.waiting.erase({ticket.deadline, &ticket});
        if (flow->second.waiting.empty()) {
            owner->second.kinds.erase(flow);
        }
        if (owner->second.kinds.empty()) {
            this->owners.erase(owner);
        }
    }

    [[nodiscard]] double least_used(const work_class work) const noexcept {
        auto least = std::numeric_limits<double>::infinity();
        for (const auto& [key, owner] : this->owners) {
            if (key.first == work) {
                least = std::min(least, owner.used);
            }
        }
        return std::isinf(least) ? 0.0 : least;
    }
};

wait_queue::wait_queue() : self{std::make_unique<implementation>()} {}

wait_queue::~wait_queue() = default;

void wait_queue::push(const wait_ticket& ticket) {
    internal::owner_key key{ticket.work, std::string{ticket.owner}};
    auto owner = this->self->owners.find(key);
    if (owner == this->self->owners.end()) {
        // An owner that starts to wait has no claim to time before.
        const auto used = this->self->least_used(ticket.work);
        owner = this->self->owners.emplace(std::move(key), internal::owner_flow{}).first;
        owner->second.used = used;
    }
    auto& flow = owner->second.kinds[std::string{ticket.kind}];
    flow.idempotent = ticket.idempotent;
    flow.cost = internal::cost_ms(ticket);
    flow.rank = std::lround(2.0 * std::log2(ticket.worth / flow.cost));
    flow.expected = ticket.expected;
    flow.waiting.emplace(ticket.deadline, &ticket);
    ++this->self->count;
}

void wait_queue::remove(const wait_ticket& ticket) {
    this->self->erase(ticket);
}

void wait_queue::serve(const wait_ticket& ticket) {
    auto& owner = this->self->owners.at({ticket.work, std::string{ticket.owner}});
    const auto cost = internal::cost_ms(ticket);
    owner.used += cost;
    const auto part = internal::reserved_share * cost / static_cast<double>(owner.kinds.size());
    for (auto& [name, flow] : owner.kinds) {
        flow.deficit += part;
    }
    auto& served = owner.kinds.find(ticket.kind)->second;
    served.deficit = std::max(served.deficit - cost, 0.0);
    this->self->erase(ticket);
}

const wait_ticket* wait_queue::best(const bool idempotent_only) const {
    const internal::owner_flow* owner{};
    const internal::kind_flow* chosen{};
    work_class work{};
    for (const auto& [key, item] : this->self->owners) {
        if (chosen != nullptr && key.first != work) {
            break;
        }
        const auto* flow = item.best(idempotent_only);
        if (flow != nullptr && (owner == nullptr || item.used < owner->used)) {
            owner = &item;
            chosen = flow;
            work = key.first;
        }
    }
    return chosen == nullptr ? nullptr : chosen->waiting.begin()->second;
}

const wait_ticket* wait_queue::last() const noexcept {
    if (this->self->owners.empty()) {
        return nullptr;
    }
    const auto& kinds = this->self->owners.rbegin()->second.kinds;
    const auto lowest = std::ranges::min_element(
        kinds, [](const auto& left, const auto& right) { return left.second.rank < right.second.rank; });
    return lowest->second.waiting.rbegin()->second;
}

std::vector<const wait_ticket*> wait_queue::take_hopeless(const time_point now) {
    std::vector<const wait_ticket*> taken{};
    for (auto& [key, owner] : this->self->owners) {
        for (auto& [name, flow] : owner.kinds) {
            for (const auto& [deadline, ticket] : flow.waiting) {
                if (deadline - flow.expected > now) {
                    break;
                }
                taken.push_back(ticket);
            }
        }
    }
    for (const auto* ticket : taken) {
        this->self->erase(*ticket);
    }
    return taken;
}

std::vector<const wait_ticket*> wait_queue::take_all() {
    std::vector<const wait_ticket*> taken{};
    for (auto& [key, owner] : this->self->owners) {
        for (auto& [name, flow] : owner.kinds) {
            for (const auto& [deadline, ticket] : flow.waiting) {
                taken.push_back(ticket);
            }
        }
    }
    this->self->owners.clear();
    this->self->count = 0U;
    return taken;
}

std::size_t wait_queue::size() const noexcept {
    return this->self->count;
}

} // namespace mangopulley

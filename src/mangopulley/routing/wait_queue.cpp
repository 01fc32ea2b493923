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

// Share of the slot time that is split among the waiting kinds regardless of worth. A larger share loses worth in a
// burst; a smaller one makes kinds of low worth wait longer than typical deadlines.
constexpr double reserved_share = 0.1;
// Assumed slot time of a kind without recorded responses.
constexpr double default_cost_ms = 1.0;

[[nodiscard]] double cost_ms(const queued_request& request) noexcept {
    const auto expected_ms = std::chrono::duration<double, std::milli>{request.expected_response_time}.count();
    return expected_ms > 0.0 ? expected_ms : default_cost_ms;
}

using owner_key = std::pair<work_class, std::string>;

struct kind_flow {
    bool idempotent{};
    /*! @brief Worth per slot time in steps of a factor 1.41, so that noise in the response times reorders no kinds. */
    long rank{};
    double cost{};
    double deficit{};
    duration expected_response_time{};
    std::set<std::pair<time_point, const queued_request*>> waiting{};
};

struct owner_flow {
    /*! @brief Slot time used so far in ms, comparable among the owners of a class. */
    double slot_time_used{};
    std::map<std::string, kind_flow, std::less<>> kinds{};

    [[nodiscard]] const kind_flow* best(const bool idempotent_only) const noexcept {
        const kind_flow* chosen{};
        for (const auto& [name, flow] : this->kinds) {
            if (idempotent_only && !flow.idempotent) {
                continue;
            }
            if (chosen == nullptr || precedes(flow, *chosen)) {
                chosen = &flow;
            }
        }
        return chosen;
    }

private:
    [[nodiscard]] static bool precedes(const kind_flow& left, const kind_flow& right) noexcept {
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
    /*! @brief Owners with waiting requests, ordered by class. */
    std::map<internal::owner_key, internal::owner_flow> owners{};
    std::size_t count{};

    void erase(const queued_request& request) {
        const auto owner = this->owners.find({request.work, std::string{request.owner}});
        const auto flow = owner->second.kinds.find(request.kind);
        this->count -= flow->second.waiting.erase({request.deadline, &request});
        if (flow->second.waiting.empty()) {
            owner->second.kinds.erase(flow);
        }
        if (owner->second.kinds.empty()) {
            this->owners.erase(owner);
        }
    }

    [[nodiscard]] double least_slot_time_used(const work_class work) const noexcept {
        auto least = std::numeric_limits<double>::infinity();
        for (const auto& [key, owner] : this->owners) {
            if (key.first == work) {
                least = std::min(least, owner.slot_time_used);
            }
        }
        return std::isinf(least) ? 0.0 : least;
    }
};

wait_queue::wait_queue() : self{std::make_unique<implementation>()} {}

wait_queue::~wait_queue() = default;

void wait_queue::push(const queued_request& request) {
    internal::owner_key key{request.work, std::string{request.owner}};
    auto owner = this->self->owners.find(key);
    if (owner == this->self->owners.end()) {
        // An owner that starts to wait gets no credit for the slot time it did not use before.
        const auto slot_time_used = this->self->least_slot_time_used(request.work);
        owner = this->self->owners.emplace(std::move(key), internal::owner_flow{}).first;
        owner->second.slot_time_used = slot_time_used;
    }
    auto& flow = owner->second.kinds[std::string{request.kind}];
    flow.idempotent = request.idempotent;
    flow.cost = internal::cost_ms(request);
    flow.rank = std::lround(2.0 * std::log2(request.worth / flow.cost));
    flow.expected_response_time = request.expected_response_time;
    flow.waiting.emplace(request.deadline, &request);
    ++this->self->count;
}

void wait_queue::remove(const queued_request& request) {
    this->self->erase(request);
}

void wait_queue::serve(const queued_request& request) {
    auto& owner = this->self->owners.at({request.work, std::string{request.owner}});
    const auto cost = internal::cost_ms(request);
    owner.slot_time_used += cost;
    const auto reserved = internal::reserved_share * cost / static_cast<double>(owner.kinds.size());
    for (auto& [name, flow] : owner.kinds) {
        flow.deficit += reserved;
    }
    auto& served = owner.kinds.find(request.kind)->second;
    served.deficit = std::max(served.deficit - cost, 0.0);
    this->self->erase(request);
}

const queued_request* wait_queue::best(const bool idempotent_only) const {
    const internal::owner_flow* owner{};
    const internal::kind_flow* chosen{};
    work_class work{};
    for (const auto& [key, item] : this->self->owners) {
        if (chosen != nullptr && key.first != work) {
            break;
        }
        const auto* flow = item.best(idempotent_only);
        if (flow != nullptr && (owner == nullptr || item.slot_time_used < owner->slot_time_used)) {
            owner = &item;
            chosen = flow;
            work = key.first;
        }
    }
    return chosen == nullptr ? nullptr : chosen->waiting.begin()->second;
}

const queued_request* wait_queue::lowest_priority() const noexcept {
    if (this->self->owners.empty()) {
        return nullptr;
    }
    const auto& kinds = this->self->owners.rbegin()->second.kinds;
    const auto lowest = std::ranges::min_element(
        kinds, [](const auto& left, const auto& right) { return left.second.rank < right.second.rank; });
    return lowest->second.waiting.rbegin()->second;
}

std::vector<const queued_request*> wait_queue::remove_unmeetable(const time_point now) {
    std::vector<const queued_request*> removed{};
    for (auto& [key, owner] : this->self->owners) {
        for (auto& [name, flow] : owner.kinds) {
            for (const auto& [deadline, request] : flow.waiting) {
                if (deadline - flow.expected_response_time > now) {
                    break;
                }
                removed.push_back(request);
            }
        }
    }
    for (const auto* request : removed) {
        this->self->erase(*request);
    }
    return removed;
}

std::vector<const queued_request*> wait_queue::remove_all() {
    std::vector<const queued_request*> removed{};
    for (auto& [key, owner] : this->self->owners) {
        for (auto& [name, flow] : owner.kinds) {
            for (const auto& [deadline, request] : flow.waiting) {
                removed.push_back(request);
            }
        }
    }
    this->self->owners.clear();
    this->self->count = 0U;
    return removed;
}

std::size_t wait_queue::size() const noexcept {
    return this->self->count;
}

} // namespace mangopulley

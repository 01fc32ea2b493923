#include "warm_up_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "../core/rendezvous.hpp"

namespace mangopulley {

namespace internal {

namespace {

constexpr double bucket_capacity = 1.0;
constexpr std::size_t senders_per_target = 2U;
// As long as the membership remembers a silent instance; by then callers have dropped its address.
constexpr duration silent_memory{std::chrono::seconds{60}};
// Each group of instances without contact to the others has two senders, whose buckets hold one token each; with more
// groups than this the tokens alone would come near the slack.
constexpr std::size_t max_groups = 4U;

} // namespace

} // namespace internal

double warm_up_bucket::tokens_at(const double rate, const time_point now) const noexcept {
    const auto passed = std::chrono::duration<double>(now - this->taken).count();
    return std::min(this->tokens + std::max(passed, 0.0) * rate, internal::bucket_capacity);
}

bool warm_up_bucket::available(const double rate, const time_point now) const noexcept {
    return rate > 0.0 && this->tokens_at(rate, now) >= 1.0;
}

void warm_up_bucket::take(const double rate, const time_point now) noexcept {
    this->tokens = std::max(this->tokens_at(rate, now) - 1.0, 0.0);
    this->taken = now;
}

void warm_up_senders::update(std::vector<instance> instances, const std::span<const std::string> in_contact,
                             const time_point now) {
    for (const auto& name : in_contact) {
        // One that is in contact and not advertised any more has stopped sending.
        this->last_heard.erase(name);
    }
    this->last_heard.erase(this->own);
    for (const auto& item : instances) {
        this->last_heard.insert_or_assign(item.name, now);
    }
    std::erase_if(this->last_heard, [now](const auto& entry) { return now - entry.second > internal::silent_memory; });
    this->silent_count = static_cast<std::size_t>(std::count_if(
        this->last_heard.begin(), this->last_heard.end(), [now](const auto& entry) { return entry.second != now; }));
    this->advertised = std::move(instances);
}

const warm_up_senders::instance* warm_up_senders::highest(const std::string_view target, const std::string_view zone,
                                                          const instance* excluded) const {
    const instance* found = nullptr;
    std::uint64_t rank = 0U;
    for (const auto& item : this->advertised) {
        const auto next = rendezvous_rank(target, item.name);
        const bool eligible = &item != excluded && (zone.empty() || item.zone == zone);
        if (eligible && (found == nullptr || next > rank || (next == rank && item.name < found->name))) {
            found = &item;
            rank = next;
        }
    }
    return found;
}

double warm_up_senders::share_while_cold(const std::string_view target, const std::string_view zone) const {
    const auto* in_zone = this->highest(target, zone, nullptr);
    const auto* first = in_zone == nullptr ? this->highest(target, {}, nullptr) : in_zone;
    const auto* second = this->highest(target, {}, first);
    const bool sends =
        (first != nullptr && first->name == this->own) || (second != nullptr && second->name == this->own);
    const auto groups = std::min(this->silent_count + 1U, internal::max_groups);
    return sends ? 1.0 / static_cast<double>(internal::senders_per_target * groups) : 0.0;
}

double warm_up_senders::share_afterwards() const noexcept {
    return 1.0 / static_cast<double>(std::max<std::size_t>(this->advertised.size(), 1U));
}

} // namespace mangopulley

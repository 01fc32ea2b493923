#include "witness_table.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace mangopulley {

namespace internal {

struct witness_entry {
    bool noted{};
    std::shared_ptr<const order_outcome> outcome{};
};

// Sorts by issue time, so that the entries to drop come first.
using witness_sort_key = std::pair<std::uint64_t, std::string>;

} // namespace internal

struct witness_table::implementation {
    implementation(const clock& source, const witness_limits limits) : time{source}, bounds{limits} {}

    anchored_clock time;
    witness_limits bounds;
    mutable std::mutex guard{};
    std::map<internal::witness_sort_key, internal::witness_entry> entries{};
    std::size_t outcome_bytes{};
    std::uint64_t horizon{};

    [[nodiscard]] static std::size_t outcome_size(const internal::witness_entry& entry) noexcept {
        return entry.outcome ? entry.outcome->answer.body.size() : 0U;
    }

    void evict_oldest() {
        const auto first = this->entries.begin();
        this->horizon = std::max(this->horizon, first->first.first);
        this->outcome_bytes -= outcome_size(first->second);
        this->entries.erase(first);
    }

    void drop_expired() {
        const auto expiry = static_cast<std::uint64_t>(this->bounds.expiry.count());
        while (!this->entries.empty() && this->entries.begin()->first.first + expiry < this->time.seconds()) {
            this->evict_oldest();
        }
    }

    /*! @brief Returns the entry of a key, adding one with `noted` if absent; null when the key may not be added. */
    [[nodiscard]] internal::witness_entry* find_or_add(const order_key& key, const bool noted) {
        this->drop_expired();
        internal::witness_sort_key index{key.token.issued, key.to_string()};
        const auto position = this->entries.find(index);
        if (position != this->entries.end()) {
            return &position->second;
        }
        if (key.token.issued <= this->horizon ||
            key.token.issued > this->time.seconds() + static_cast<std::uint64_t>(this->bounds.max_clock_skew.count())) {
            return nullptr;
        }
        if (this->entries.size() >= this->bounds.max_entries) {
            if (key.token.issued <= this->entries.begin()->first.first) {
                return nullptr;
            }
            this->evict_oldest();
        }
        return &this->entries.emplace(std::move(index), internal::witness_entry{noted, nullptr}).first->second;
    }
};

witness_table::witness_table(const clock& time, const witness_limits bounds)
    : self{std::make_unique<implementation>(time, bounds)} {}

witness_table::~witness_table() = default;

witness_status witness_table::note(const order_key& key) {
    const std::lock_guard lock{this->self->guard};
    const auto* entry = this->self->find_or_add(key, true);
    if (entry == nullptr) {
        return witness_status::unknown;
    }
    return entry->noted ? witness_status::noted : witness_status::sealed;
}

witness_response witness_table::seal(const order_key& key) {
    const std::lock_guard lock{this->self->guard};
    const auto* entry = this->self->find_or_add(key, false);
    if (entry == nullptr) {
        return {witness_status::unknown, std::nullopt};
    }
    return {entry->noted ? witness_status::noted : witness_status::sealed,
            entry->outcome ? std::optional{*entry->outcome} : std::nullopt};
}

bool witness_table::store_outcomes(const std::span<const keyed_outcome> outcomes) {
    const std::lock_guard lock{this->self->guard};
    bool all = true;
    for (const auto& [text, outcome] : outcomes) {
        const auto key = parse_order_key(text);
        const auto size = outcome->answer.body.size();
        if (!key || this->self->outcome_bytes + size > this->self->bounds.max_outcome_bytes) {
            all = false;
            continue;
        }
        auto* entry = this->self->find_or_add(*key, true);
        if (entry == nullptr) {
            all = false;
        } else if (!entry->outcome) {
            entry->outcome = outcome;
            this->self->outcome_bytes += size;
        }
    }
    return all;
}

witness_table::counts witness_table::count() const {
    const std::lock_guard lock{this->self->guard};
    counts total{};
    total.horizon = this->self->horizon;
    for (const auto& [index, entry] : this->self->entries) {
        ++(entry.noted ? total.notes : total.seals);
        total.outcomes += entry.outcome ? 1U : 0U;
    }
    return total;
}

} // namespace mangopulley

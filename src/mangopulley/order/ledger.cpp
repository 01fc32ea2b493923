#include "ledger.hpp"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace mangopulley {

namespace internal {

struct ledger_record {
    std::string fingerprint{};
    ledger::stage reached{ledger::stage::accepted};
    std::shared_ptr<const order_outcome> outcome{};

    /*! @brief Returns the fingerprint of the request, which a finished record stores in its outcome only. */
    [[nodiscard]] const std::string& request_fingerprint() const noexcept {
        return this->outcome && !this->outcome->fingerprint.empty() ? this->outcome->fingerprint : this->fingerprint;
    }
};

// Sorts by issue time, so that the records to drop come first.
using ledger_sort_key = std::pair<std::uint64_t, std::string>;

[[nodiscard]] std::size_t stored_bytes(const order_outcome& outcome) noexcept {
    return outcome.answer.body.size() + outcome.answer.content_type.size() + outcome.detail.size();
}

} // namespace internal

struct ledger::implementation {
    implementation(const clock& source, const ledger_limits limits) : time{source}, bounds{limits} {}

    anchored_clock time;
    ledger_limits bounds;
    mutable std::mutex guard{};
    std::condition_variable finished{};
    std::map<internal::ledger_sort_key, std::shared_ptr<internal::ledger_record>> records{};
    std::size_t unfinished{};
    std::size_t answer_bytes{};
    /*! @brief Largest issue time of a dropped record. */
    std::uint64_t dropped_up_to{};
    /*! @brief Keys without a record issued up to this time are never accepted. */
    std::uint64_t refused_up_to{};

    [[nodiscard]] bool run_window_passed(const std::uint64_t issued) const noexcept {
        return issued + static_cast<std::uint64_t>(this->bounds.run_window.count()) < this->time.seconds();
    }

    void drop_expired() {
        // Unfinished records stay whatever their age, without keeping any other record.
        for (auto position = this->records.begin();
             position != this->records.end() && this->run_window_passed(position->first.first);) {
            if (position->second->outcome == nullptr) {
                ++position;
                continue;
            }
            this->dropped_up_to = std::max(this->dropped_up_to, position->first.first);
            this->answer_bytes -= internal::stored_bytes(*position->second->outcome);
            position = this->records.erase(position);
        }
    }

    void insert(const order_key& key, const std::string_view fingerprint,
                std::shared_ptr<const order_outcome> outcome) {
        auto record = std::make_shared<internal::ledger_record>();
        record->fingerprint = fingerprint;
        if (outcome) {
            record->reached = stage::finished;
            this->answer_bytes += internal::stored_bytes(*outcome);
        } else {
            ++this->unfinished;
        }
        record->outcome = std::move(outcome);
        this->records.emplace(internal::ledger_sort_key{key.token.issued, key.to_string()}, std::move(record));
    }

    [[nodiscard]] std::shared_ptr<internal::ledger_record> find(const order_key& key) const {
        const auto position = this->records.find({key.token.issued, key.to_string()});
        return position == this->records.end() ? nullptr : position->second;
    }

    /*! @brief Decides on a key without a record; returns nothing when it is accepted. */
    [[nodiscard]] std::optional<order_outcome> admit_new(const order_key& key, const std::string_view fingerprint,
                                                         const order_reason refusal) {
        const auto issued = key.token.issued;
        const auto refuse = [](const order_reason reason) { return make_outcome(order_state::not_run, reason, true); };
        if (this->run_window_passed(issued)) {
            // A dropped record may have been for this key; the archive may still have its outcome.
            return issued > this->dropped_up_to
                       ? refuse(order_reason::window_passed)
                       : make_outcome(order_state::unknown, order_reason::forgotten, false, "record no longer held");
        }
        if (issued > this->time.seconds() + static_cast<std::uint64_t>(this->bounds.max_clock_skew.count())) {
            // Without a record the key would become acceptable later, so no final outcome is given when the ledger is
            // half full. The floor is not raised: that would close the ledger until the clock reaches the issue time.
            if (this->records.size() >= this->bounds.max_records / 2U) {
                return make_outcome(order_state::unknown, order_reason::issued_ahead, false);
            }
            auto outcome = refuse(order_reason::issued_ahead);
            this->insert(key, fingerprint, std::make_shared<const order_outcome>(outcome));
            return outcome;
        }
        const bool full =
            this->records.size() >= this->bounds.max_records || this->answer_bytes >= this->bounds.max_answer_bytes;
        if (full) {
            this->refused_up_to = std::max(this->refused_up_to, issued);
        }
        if (issued <= this->refused_up_to) {
            return refuse(order_reason::ledger_full);
        }
        if (refusal == order_reason::none) {
            this->insert(key, fingerprint, nullptr);
            return std::nullopt;
        }
        auto outcome = refuse(refusal);
        this->insert(key, fingerprint, std::make_shared<const order_outcome>(outcome));
        return outcome;
    }
};

ledger::ledger(const clock& time, const ledger_limits bounds) : self{std::make_unique<implementation>(time, bounds)} {}

ledger::~ledger() = default;

std::optional<order_outcome> ledger::admit(const order_key& key, const std::string_view fingerprint,
                                           const time_point deadline, const order_reason refusal) {
    std::unique_lock lock{this->self->guard};
    this->self->drop_expired();
    const auto record = this->self->find(key);
    if (!record) {
        return this->self->admit_new(key, fingerprint, refusal);
    }
    const auto& recorded = record->request_fingerprint();
    if (!fingerprint.empty() && !recorded.empty() && recorded != fingerprint) {
        return content_mismatch();
    }
    while (!record->outcome) {
        const auto remaining = deadline - this->self->time.now();
        if (remaining <= duration::zero()) {
            return make_outcome(order_state::in_progress, order_reason::none, false);
        }
        // The injected clock may differ from that of the condition variable, so it is read again after each interval.
        this->self->finished.wait_for(lock, std::min<duration>(remaining, this->self->bounds.wait_interval));
    }
    return *record->outcome;
}

void ledger::advance(const order_key& key, const stage reached) {
    const std::lock_guard lock{this->self->guard};
    if (const auto record = this->self->find(key)) {
        record->reached = reached;
    }
}

void ledger::finish(const order_key& key, std::shared_ptr<const order_outcome> outcome) {
    {
        const std::lock_guard lock{this->self->guard};
        const auto record = this->self->find(key);
        if (!record || record->outcome) {
            return;
        }
        record->reached = stage::finished;
        this->self->answer_bytes += internal::stored_bytes(*outcome);
        record->outcome = std::move(outcome);
        if (!record->outcome->fingerprint.empty()) {
            record->fingerprint = std::string{};
        }
        --this->self->unfinished;
    }
    this->self->finished.notify_all();
}

ledger::counts ledger::count() const {
    const std::lock_guard lock{this->self->guard};
    return {this->self->records.size(), this->self->unfinished, this->self->answer_bytes};
}

} // namespace mangopulley

#include "shared_load.hpp"

#include <array>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "../core/rendezvous.hpp"
#include "../wire/message.hpp"

namespace mangopulley {

namespace internal {

namespace {

// Differs from the format number of heartbeats, which arrive on the same port.
constexpr std::uint64_t load_format = 3U;
constexpr std::uint32_t load_fields = 3U;
constexpr std::uint32_t max_counts = 65'536U;
// Counts are sent in full several times within this time.
constexpr duration count_lifetime{std::chrono::milliseconds{900}};

struct sender_counts {
    std::unordered_map<std::uint32_t, std::uint32_t> counts{};
    time_point last_received{};
};

} // namespace

} // namespace internal

struct shared_load::implementation {
    listener on_change;
    std::unordered_map<std::uint32_t, std::uint32_t> own{};
    /*! @brief Keys that changed, for each audience. */
    std::array<std::set<std::uint32_t>, 2U> changed{};
    std::map<std::string, internal::sender_counts, std::less<>> senders{};
    std::unordered_map<std::uint32_t, std::uint32_t> totals{};

    void change_total(const std::uint32_t key, const std::uint32_t before, const std::uint32_t after) {
        if (before == after) {
            return;
        }
        auto& total = this->totals[key];
        total = total + after - before;
        const auto current = total;
        if (current == 0U) {
            this->totals.erase(key);
        }
        this->on_change(key, current);
    }

    void set_count(internal::sender_counts& sender, const std::uint32_t key, const std::uint32_t count) {
        const auto position = sender.counts.find(key);
        const auto before = position == sender.counts.end() ? 0U : position->second;
        if (count == 0U) {
            sender.counts.erase(key);
        } else {
            sender.counts[key] = count;
        }
        this->change_total(key, before, count);
    }

    void remove_counts(internal::sender_counts& sender) {
        const auto counts = std::exchange(sender.counts, {});
        for (const auto& [key, count] : counts) {
            this->change_total(key, count, 0U);
        }
    }
};

shared_load::shared_load(listener on_change)
    : self{std::make_unique<implementation>(implementation{std::move(on_change)})} {}

shared_load::~shared_load() = default;

std::uint32_t shared_load::key_of(const std::string_view target) noexcept {
    return static_cast<std::uint32_t>(rendezvous_rank("target", target));
}

void shared_load::record(const std::uint32_t key, const std::uint32_t in_flight) {
    for (auto& keys : this->self->changed) {
        keys.insert(key);
    }
    if (in_flight == 0U) {
        this->self->own.erase(key);
    } else {
        this->self->own[key] = in_flight;
    }
}

std::optional<std::string> shared_load::take_changes(const audience receivers) {
    const auto changed = std::exchange(this->self->changed.at(static_cast<std::size_t>(receivers)), {});
    if (changed.empty()) {
        return std::nullopt;
    }
    message_writer writer{};
    writer.array(internal::load_fields).number(internal::load_format).boolean(false);
    writer.array(static_cast<std::uint32_t>(changed.size()) * 2U);
    for (const auto key : changed) {
        const auto position = this->self->own.find(key);
        writer.number(key).number(position == this->self->own.end() ? 0U : position->second);
    }
    return writer.take();
}

bool shared_load::idle() const noexcept {
    return this->self->own.empty();
}

std::string shared_load::all() const {
    message_writer writer{};
    writer.array(internal::load_fields).number(internal::load_format).boolean(true);
    writer.array(static_cast<std::uint32_t>(this->self->own.size()) * 2U);
    for (const auto& [key, count] : this->self->own) {
        writer.number(key).number(count);
    }
    return writer.take();
}

bool shared_load::receive(const std::string_view sender, const std::string_view bytes, const time_point now) {
    message_reader reader{bytes};
    if (reader.array(internal::load_fields) != internal::load_fields || reader.number() != internal::load_format) {
        return false;
    }
    const bool complete = reader.boolean();
    const auto size = reader.array(internal::max_counts);
    if (!reader.valid() || size % 2U != 0U) {
        return false;
    }
    auto& state = this->self->senders[std::string{sender}];
    state.last_received = now;
    std::set<std::uint32_t> received{};
    for (std::uint32_t index = 0U; index < size && reader.valid(); index += 2U) {
        const auto key = static_cast<std::uint32_t>(reader.number());
        const auto count = static_cast<std::uint32_t>(reader.number());
        this->self->set_count(state, key, count);
        received.insert(key);
    }
    if (complete) {
        std::vector<std::uint32_t> removed{};
        for (const auto& [key, count] : state.counts) {
            if (!received.contains(key)) {
                removed.push_back(key);
            }
        }
        for (const auto key : removed) {
            this->self->set_count(state, key, 0U);
        }
    }
    return reader.valid();
}

void shared_load::expire(const time_point now) {
    for (auto position = this->self->senders.begin(); position != this->self->senders.end();) {
        if (now - position->second.last_received > internal::count_lifetime) {
            this->self->remove_counts(position->second);
            position = this->self->senders.erase(position);
        } else {
            ++position;
        }
    }
}

std::uint32_t shared_load::remote_in_flight(const std::uint32_t key) const {
    const auto position = this->self->totals.find(key);
    return position == this->self->totals.end() ? 0U : position->second;
}

} // namespace mangopulley

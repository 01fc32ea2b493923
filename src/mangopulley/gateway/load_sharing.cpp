#include "load_sharing.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "fleet.hpp"
#include "shared_load.hpp"

namespace mangopulley {

namespace internal {

namespace {

/*! @brief Instances that are sent changed counts together. */
struct receivers {
    shared_load::audience who;
    duration period;
    std::vector<std::string> ips{};
    timer_id timer{};
};

} // namespace

} // namespace internal

struct load_sharing::implementation {
    event_loop& loop;
    load_sharing_rule rule;
    instance_identity own;
    outlets ways;
    shared_load loads{[this](const std::uint32_t key, const std::uint32_t remote_in_flight) {
        this->ways.foreign_changed(key, remote_in_flight);
    }};
    internal::receivers near{shared_load::audience::own_zone, this->rule.change_period};
    internal::receivers far{shared_load::audience::other_zones, this->rule.other_zones_period};
    /*! @brief Names of the instances that callers are told, this one among them where it is. */
    std::vector<std::string> names{};
    double part{1.0};
    timer_id full_timer{};

    implementation(event_loop& used, const load_sharing_rule& bounds, instance_identity self, outlets out)
        : loop{used}, rule{bounds}, own{std::move(self)}, ways{std::move(out)} {}

    ~implementation() {
        this->loop.cancel(this->near.timer);
        this->loop.cancel(this->far.timer);
        this->loop.cancel(this->full_timer);
    }

    [[nodiscard]] std::size_t sharing() const noexcept { return std::max<std::size_t>(this->names.size(), 1U); }

    void find_named() {
        std::map<std::string, std::vector<peer_record>> zones{};
        for (auto& record : this->ways.leaders()) {
            zones[record.identity.zone].push_back(std::move(record));
        }
        std::vector<std::string> present{};
        this->near.ips.clear();
        this->far.ips.clear();
        double total = 0.0;
        double own_strength = 0.0;
        for (const auto& [zone, records] : zones) {
            for (const auto& group : name_instances(records)) {
                total += group.strength;
                for (const auto& record : group.instances) {
                    present.push_back(record.identity.name);
                    if (record.identity.ip == this->own.ip) {
                        own_strength = group.strength / static_cast<double>(group.instances.size());
                    } else {
                        (zone == this->own.zone ? this->near : this->far).ips.push_back(record.identity.ip);
                    }
                }
            }
        }
        const bool changed = present != this->names;
        this->names = std::move(present);
        this->part = own_strength > 0.0 ? own_strength / total : 1.0 / static_cast<double>(this->sharing());
        if (changed) {
            this->ways.named_changed(this->names);
        }
    }

    void tell(const internal::receivers& listeners, const std::string& bytes) const {
        for (const auto& ip : listeners.ips) {
            this->ways.send(ip, bytes);
        }
    }

    void tell_all() {
        this->loads.expire(this->loop.now());
        this->find_named();
        if (!this->loads.idle()) {
            const auto counts = this->loads.all();
            this->tell(this->near, counts);
            this->tell(this->far, counts);
        }
    }

    void tell_soon(internal::receivers& listeners) {
        if (listeners.timer != 0U) {
            return;
        }
        const auto all = static_cast<double>(this->near.ips.size() + this->far.ips.size());
        const std::chrono::duration<double> spaced{all / this->rule.most_messages_per_second};
        const auto wait = std::max(listeners.period, std::chrono::duration_cast<duration>(spaced));
        listeners.timer = this->loop.after(wait, [this, &listeners] {
            listeners.timer = 0U;
            if (const auto changes = this->loads.take_changes(listeners.who)) {
                this->tell(listeners, *changes);
            }
        });
    }
};

load_sharing::load_sharing(event_loop& loop, const load_sharing_rule& bounds, instance_identity own, outlets ways)
    : self{std::make_unique<implementation>(loop, bounds, std::move(own), std::move(ways))} {}

load_sharing::~load_sharing() = default;

void load_sharing::start() {
    auto& state = *this->self;
    state.full_timer = state.loop.every(state.rule.full_period, [&state] { state.tell_all(); });
}

void load_sharing::note(const std::uint32_t key, const std::uint32_t in_flight) {
    auto& state = *this->self;
    state.loads.record(key, in_flight);
    state.tell_soon(state.near);
    state.tell_soon(state.far);
}

bool load_sharing::receive(const std::string_view ip, const std::string_view bytes) {
    return this->self->loads.receive(ip, bytes, this->self->loop.now());
}

std::size_t load_sharing::sharing() const noexcept {
    return this->self->sharing();
}

double load_sharing::own_part() const noexcept {
    return this->self->part;
}

} // namespace mangopulley

#include "load_sharing.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "fleet.hpp"
#include "shared_load.hpp"

namespace mangopulley {

namespace internal {

namespace {

/*! @brief Instances to which changed counts are sent together. */
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
    callbacks hooks;
    shared_load loads{
        [this](const std::uint32_t key, const std::uint32_t remote) { this->hooks.remote_changed(key, remote); }};
    internal::receivers own_zone{shared_load::audience::own_zone, this->rule.change_period};
    internal::receivers other_zones{shared_load::audience::other_zones, this->rule.other_zones_period};
    /*! @brief Advertised instances, including this one if it is advertised. */
    std::vector<instance_identity> advertised{};
    double share{1.0};
    timer_id full_timer{};

    implementation(event_loop& used, const load_sharing_rule& bounds, instance_identity self, callbacks out)
        : loop{used}, rule{bounds}, own{std::move(self)}, hooks{std::move(out)} {}

    ~implementation() {
        this->loop.cancel(this->own_zone.timer);
        this->loop.cancel(this->other_zones.timer);
        this->loop.cancel(this->full_timer);
    }

    [[nodiscard]] std::size_t advertised_count() const noexcept {
        return std::max<std::size_t>(this->advertised.size(), 1U);
    }

    void update_advertised() {
        std::map<std::string, std::vector<peer_record>> zones{};
        for (auto& record : this->hooks.leaders()) {
            zones[record.identity.zone].push_back(std::move(record));
        }
        std::vector<instance_identity> present{};
        this->own_zone.ips.clear();
        this->other_zones.ips.clear();
        double total = 0.0;
        double own_capacity = 0.0;
        for (const auto& [zone, records] : zones) {
            for (const auto& group : select_advertised(records)) {
                total += group.capacity;
                for (const auto& record : group.instances) {
                    present.push_back(record.identity);
                    if (record.identity.ip == this->own.ip) {
                        own_capacity = group.capacity / static_cast<double>(group.instances.size());
                    } else {
                        (zone == this->own.zone ? this->own_zone : this->other_zones).ips.push_back(record.identity.ip);
                    }
                }
            }
        }
        const bool changed =
            !std::equal(present.begin(), present.end(), this->advertised.begin(), this->advertised.end(),
                        [](const auto& left, const auto& right) { return left.name == right.name; });
        this->advertised = std::move(present);
        this->share = own_capacity > 0.0 ? own_capacity / total : 1.0 / static_cast<double>(this->advertised_count());
        if (changed) {
            this->hooks.advertised_changed(this->advertised);
        }
    }

    void send_to(const internal::receivers& group, const std::string& bytes) const {
        for (const auto& ip : group.ips) {
            this->hooks.send(ip, bytes);
        }
    }

    void send_all() {
        this->loads.expire(this->loop.now());
        this->update_advertised();
        if (!this->loads.idle()) {
            const auto counts = this->loads.all();
            this->send_to(this->own_zone, counts);
            this->send_to(this->other_zones, counts);
        }
    }

    void schedule_changes(internal::receivers& group) {
        if (group.timer != 0U) {
            return;
        }
        const auto all = static_cast<double>(this->own_zone.ips.size() + this->other_zones.ips.size());
        const std::chrono::duration<double> spaced{all / this->rule.max_messages_per_second};
        const auto wait = std::max(group.period, std::chrono::duration_cast<duration>(spaced));
        group.timer = this->loop.after(wait, [this, &group] {
            group.timer = 0U;
            if (const auto changes = this->loads.take_changes(group.who)) {
                this->send_to(group, *changes);
            }
        });
    }
};

load_sharing::load_sharing(event_loop& loop, const load_sharing_rule& bounds, instance_identity own, callbacks hooks)
    : self{std::make_unique<implementation>(loop, bounds, std::move(own), std::move(hooks))} {}

load_sharing::~load_sharing() = default;

void load_sharing::start() {
    auto& state = *this->self;
    state.full_timer = state.loop.every(state.rule.full_period, [&state] { state.send_all(); });
}

void load_sharing::record_in_flight(const std::uint32_t key, const std::uint32_t in_flight) {
    auto& state = *this->self;
    state.loads.record(key, in_flight);
    state.schedule_changes(state.own_zone);
    state.schedule_changes(state.other_zones);
}

bool load_sharing::receive(const std::string_view ip, const std::string_view bytes) {
    return this->self->loads.receive(ip, bytes, this->self->loop.now());
}

const std::vector<instance_identity>& load_sharing::advertised() const noexcept {
    return this->self->advertised;
}

std::size_t load_sharing::advertised_count() const noexcept {
    return this->self->advertised_count();
}

double load_sharing::own_share() const noexcept {
    return this->self->share;
}

} // namespace mangopulley

#include "load_sharing.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "fleet.hpp"
#include "shared_load.hpp"

namespace mangopulley {

struct load_sharing::implementation {
    event_loop& loop;
    load_sharing_rule rule;
    std::string ip;
    outlets ways;
    shared_load loads{
        [this](const std::uint32_t key, const std::uint32_t foreign) { this->ways.foreign_changed(key, foreign); }};
    /*! @brief Other instances that callers are told. */
    std::vector<std::string> named{};
    std::size_t named_in_all{1U};
    timer_id change_timer{};
    timer_id full_timer{};

    implementation(event_loop& used, const load_sharing_rule& bounds, std::string own_ip, outlets out)
        : loop{used}, rule{bounds}, ip{std::move(own_ip)}, ways{std::move(out)} {}

    ~implementation() {
        this->loop.cancel(this->change_timer);
        this->loop.cancel(this->full_timer);
    }

    void find_named() {
        std::map<std::string, std::vector<peer_record>> zones{};
        for (auto& record : this->ways.leaders()) {
            zones[record.identity.zone].push_back(std::move(record));
        }
        this->named.clear();
        this->named_in_all = 0U;
        for (const auto& [zone, records] : zones) {
            const auto count = named_count(records);
            this->named_in_all += count;
            for (std::size_t index = 0U; index < count; ++index) {
                if (records[index].identity.ip != this->ip) {
                    this->named.push_back(records[index].identity.ip);
                }
            }
        }
    }

    void tell(const std::string& bytes) const {
        for (const auto& other : this->named) {
            this->ways.send(other, bytes);
        }
    }

    void tell_changes() {
        if (const auto changes = this->loads.take_changes()) {
            this->tell(*changes);
        }
    }

    void tell_all() {
        this->loads.expire(this->loop.now());
        this->find_named();
        if (!this->loads.idle()) {
            this->tell(this->loads.all());
        }
    }
};

load_sharing::load_sharing(event_loop& loop, const load_sharing_rule& bounds, std::string own_ip, outlets ways)
    : self{std::make_unique<implementation>(loop, bounds, std::move(own_ip), std::move(ways))} {}

load_sharing::~load_sharing() = default;

void load_sharing::start() {
    auto& state = *this->self;
    state.full_timer = state.loop.every(state.rule.full_period, [&state] { state.tell_all(); });
}

void load_sharing::note(const std::uint32_t key, const std::uint32_t in_flight) {
    auto& state = *this->self;
    state.loads.note(key, in_flight);
    if (state.change_timer == 0U) {
        state.change_timer = state.loop.after(state.rule.change_period, [&state] {
            state.change_timer = 0U;
            state.tell_changes();
        });
    }
}

bool load_sharing::receive(const std::string_view ip, const std::string_view bytes) {
    return this->self->loads.receive(ip, bytes, this->self->loop.now());
}

std::size_t load_sharing::sharing() const noexcept {
    return std::max<std::size_t>(this->self->named_in_all, 1U);
}

} // namespace mangopulley

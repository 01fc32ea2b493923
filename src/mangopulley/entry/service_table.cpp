#include "service_table.hpp"

#include <map>
#include <mutex>
#include <utility>

namespace mangopulley {

namespace internal {

// Covers several refresh periods; the table of notices itself decides how long a notice counts.
constexpr milliseconds recent_notice{5'000};

// Longer than any request: slots that wait for a cancellation refer to the queue of their service.
constexpr std::chrono::seconds retirement{120};

/*! @brief Service that a catalogue edit removed. */
struct retired_service {
    std::shared_ptr<service_runtime> runtime;
    time_point since;
};

[[nodiscard]] std::vector<target_record> to_targets(const std::vector<instance_record>& instances) {
    std::vector<target_record> targets{};
    targets.reserve(instances.size());
    for (const auto& item : instances) {
        targets.push_back({item.id, item.address, item.zone, item.leaving});
    }
    return targets;
}

} // namespace internal

struct service_table::implementation {
    const clock& time;
    const catalogue_holder& catalogue;
    const member_table& members;
    const drain_notices& draining;
    target_client& targets;
    cancel_pool& cancellations;
    dispatcher::draining_listener listener;

    /*! @brief Held during a refresh; taken before `guard`. */
    std::mutex refreshing{};
    std::uint64_t version{};
    std::uint64_t revision{};
    mutable std::mutex guard{};
    std::map<std::string, std::shared_ptr<service_runtime>, std::less<>> services{};
    std::vector<internal::retired_service> retired{};

    implementation(const parts& environment, dispatcher::draining_listener callback)
        : time{environment.time}, catalogue{environment.catalogue}, members{environment.members},
          draining{environment.draining}, targets{environment.targets},
          cancellations{environment.cancellations}, listener{std::move(callback)} {}

    void adopt(const catalogue_document& current) {
        const std::lock_guard lock{this->guard};
        std::erase_if(this->retired, [this](const internal::retired_service& item) {
            return this->time.now() - item.since >= internal::retirement;
        });
        std::map<std::string, std::shared_ptr<service_runtime>, std::less<>> next{};
        for (const auto& entry : current.services) {
            auto& runtime = next[entry.name];
            const auto position = this->services.find(entry.name);
            if (position == this->services.end()) {
                runtime = std::make_shared<service_runtime>(entry, this->targets, this->cancellations, this->time,
                                                            this->listener);
            } else {
                runtime = position->second;
                runtime->configure(entry);
            }
        }
        for (const auto& [name, runtime] : this->services) {
            if (!next.contains(name)) {
                this->retired.push_back({runtime, this->time.now()});
            }
        }
        this->services = std::move(next);
    }
};

service_table::service_table(const parts& environment, dispatcher::draining_listener listener)
    : self{std::make_unique<implementation>(environment, std::move(listener))} {}

service_table::~service_table() = default;

void service_table::refresh() {
    auto& state = *this->self;
    const std::lock_guard lock{state.refreshing};
    const auto current = state.catalogue.current();
    const auto instances = state.members.instances();
    const bool new_services = current->version != state.version;
    if (new_services) {
        state.adopt(*current);
        state.version = current->version;
    }
    const auto services = this->all();
    if (new_services || instances->revision != state.revision) {
        for (const auto& runtime : services) {
            runtime->requests().update(internal::to_targets(*state.members.targets_of(runtime->name())));
        }
        state.revision = instances->revision;
    }
    for (const auto& notice : state.draining.recent(internal::recent_notice)) {
        for (const auto& runtime : services) {
            runtime->requests().mark_draining(notice.target);
        }
    }
}

std::shared_ptr<service_runtime> service_table::find(const std::string_view service) const {
    const std::lock_guard lock{this->self->guard};
    const auto position = this->self->services.find(service);
    return position == this->self->services.end() ? nullptr : position->second;
}

std::vector<std::shared_ptr<service_runtime>> service_table::all() const {
    const std::lock_guard lock{this->self->guard};
    std::vector<std::shared_ptr<service_runtime>> runtimes{};
    for (const auto& [name, runtime] : this->self->services) {
        runtimes.push_back(runtime);
    }
    return runtimes;
}

void service_table::stop() noexcept {
    for (const auto& runtime : this->all()) {
        runtime->requests().stop();
    }
}

} // namespace mangopulley

#include "route_table.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <Poco/Ascii.h>

namespace mangopulley {

namespace internal {

namespace {

[[nodiscard]] std::string normalized_host(std::string_view host) {
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
        host = host.substr(0U, colon);
    }
    std::string name{host};
    std::transform(name.begin(), name.end(), name.begin(),
                   [](const char letter) { return static_cast<char>(Poco::Ascii::toLower(letter)); });
    return name;
}

/*! @brief State of the smooth weighted round robin over the services of a route. */
struct split_state {
    std::vector<split_part> parts{};
    std::vector<double> credits{};

    explicit split_state(const std::vector<split_part>& split = {}) : parts{split}, credits(split.size(), 0.0) {}

    /*! @brief Counts a request and returns its service; empty without a positive weight. */
    [[nodiscard]] std::string_view next(const route& selected) {
        double total = 0.0;
        std::size_t best = 0U;
        for (std::size_t index = 0U; index < this->parts.size(); ++index) {
            total += this->parts[index].weight;
            this->credits[index] += this->parts[index].weight;
            if (this->credits[index] > this->credits[best]) {
                best = index;
            }
        }
        if (total <= 0.0) {
            return {};
        }
        this->credits[best] -= total;
        return selected.parts[best].service;
    }
};

} // namespace

} // namespace internal

struct route_table::implementation {
    std::shared_ptr<const routing_config> config{std::make_shared<routing_config>()};
    /*! @brief Routes of each host, longest prefix first. */
    std::unordered_map<std::string, std::vector<const route*>> by_host{};
    std::unordered_map<key_digest, const team_config*, key_digest_hash> by_key{};
    std::map<std::string, internal::split_state, std::less<>> split_states{};

    void index() {
        this->by_key.clear();
        for (const auto& team : this->config->teams) {
            for (const auto& key : team.keys) {
                this->by_key.emplace(key, &team);
            }
        }
        this->by_host.clear();
        for (const auto& entry : this->config->routes) {
            this->by_host[internal::normalized_host(entry.host)].push_back(&entry);
        }
        for (auto& [host, routes] : this->by_host) {
            std::stable_sort(routes.begin(), routes.end(), [](const route* left, const route* right) {
                return left->prefix.size() > right->prefix.size();
            });
        }
        std::erase_if(this->split_states, [this](const auto& entry) {
            const auto& routes = this->config->routes;
            return std::none_of(routes.begin(), routes.end(), [&entry](const route& candidate) {
                return candidate.name == entry.first && candidate.parts == entry.second.parts;
            });
        });
    }
};

route_table::route_table() : self{std::make_unique<implementation>()} {}

route_table::~route_table() = default;

bool route_table::apply(routing_config config) {
    if (config.id <= this->self->config->id) {
        return false;
    }
    this->self->config = std::make_shared<routing_config>(std::move(config));
    this->self->index();
    return true;
}

const std::shared_ptr<const routing_config>& route_table::current() const noexcept {
    return this->self->config;
}

const route* route_table::find(const std::string_view host, const std::string_view path) const {
    const auto position = this->self->by_host.find(internal::normalized_host(host));
    if (position == this->self->by_host.end()) {
        return nullptr;
    }
    for (const auto* candidate : position->second) {
        if (path.starts_with(candidate->prefix)) {
            return candidate;
        }
    }
    return nullptr;
}

const team_config* route_table::find_team(const key_digest& key) const {
    const auto position = this->self->by_key.find(key);
    return position == this->self->by_key.end() ? nullptr : position->second;
}

std::string_view route_table::next_service(const route& selected) {
    if (selected.parts.size() == 1U) {
        return selected.parts.front().service;
    }
    auto& state = this->self->split_states[selected.name];
    if (state.parts != selected.parts) {
        state = internal::split_state{selected.parts};
    }
    return state.next(selected);
}

std::string_view route_table::preview_service(const route& selected) const {
    if (selected.parts.size() == 1U) {
        return selected.parts.front().service;
    }
    const auto known = this->self->split_states.find(selected.name);
    const bool current = known != this->self->split_states.end() && known->second.parts == selected.parts;
    auto copy = current ? known->second : internal::split_state{selected.parts};
    return copy.next(selected);
}

} // namespace mangopulley

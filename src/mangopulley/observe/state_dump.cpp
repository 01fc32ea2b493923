#include "state_dump.hpp"

#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace mangopulley {

struct state_dump::implementation {
    std::vector<std::pair<std::string, source>> sections{};
};

state_dump::state_dump() : self{std::make_unique<implementation>()} {}

state_dump::~state_dump() = default;

void state_dump::add(std::string section, source collect) {
    this->self->sections.emplace_back(std::move(section), std::move(collect));
}

std::string state_dump::text() const {
    auto dump = nlohmann::json::object();
    for (const auto& [section, collect] : this->self->sections) {
        dump[section] = collect();
    }
    return dump.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace mangopulley

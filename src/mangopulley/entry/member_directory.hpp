#pragma once

#include "../membership/catalogue_freshness.hpp"
#include "../membership/instance_selector.hpp"
#include "../membership/member_table.hpp"
#include "../order/incarnation_directory.hpp"
#include "../order/store_status.hpp"

namespace mangopulley {

/*! @brief Answers the order module's questions about other instances from the member table. */
class member_directory final : public incarnation_directory {
public:
    /*! @brief Reads a table and a selector that must outlive the directory. */
    member_directory(const member_table& table, const instance_selector& source) noexcept
        : members{table}, selector{source} {}

    [[nodiscard]] std::optional<std::string> endpoint_of(const incarnation_id id) const override {
        return this->selector.endpoint_of(id);
    }

    [[nodiscard]] std::vector<incarnation_id> witnesses_for(const incarnation_id home) const override {
        return this->selector.witnesses_for(home);
    }

    [[nodiscard]] bool known_dead(const incarnation_id id) const override {
        const auto found = this->members.find(id);
        return !found || found->health == liveness::dead;
    }

private:
    const member_table& members;
    const instance_selector& selector;
};

/*! @brief Takes the store to be out when no instance has lately confirmed its catalogue with it. */
class freshness_store_status final : public store_status {
public:
    /*! @brief Reads a freshness tracker that must outlive the status. */
    explicit freshness_store_status(const catalogue_freshness& source) noexcept : freshness{source} {}

    [[nodiscard]] bool in_outage() const override { return this->freshness.state() != freshness_state::confirmed; }

private:
    const catalogue_freshness& freshness;
};

} // namespace mangopulley

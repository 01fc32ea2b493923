#pragma once

#include "../membership/address_book.hpp"
#include "../membership/member_table.hpp"
#include "../membership/standing.hpp"
#include "../order/incarnation_directory.hpp"
#include "../order/store_status.hpp"

namespace mangopulley {

/*! @brief Answers the order module's questions about other instances from the member table. */
class member_directory final : public incarnation_directory {
public:
    /*! @brief Reads a table and a book that must outlive the directory. */
    member_directory(const member_table& table, const address_book& book) noexcept : members{table}, addresses{book} {}

    [[nodiscard]] std::optional<std::string> endpoint_of(const incarnation_id id) const override {
        return this->addresses.endpoint_of(id);
    }

    [[nodiscard]] std::vector<incarnation_id> witnesses_for(const incarnation_id home) const override {
        return this->addresses.witnesses_for(home);
    }

    [[nodiscard]] bool known_dead(const incarnation_id id) const override {
        const auto found = this->members.find(id);
        return !found || found->health == liveness::dead;
    }

private:
    const member_table& members;
    const address_book& addresses;
};

/*! @brief Takes the store to be out when no instance has lately confirmed its catalogue with it. */
class standing_store_status final : public store_status {
public:
    /*! @brief Reads a standing that must outlive the status. */
    explicit standing_store_status(const standing& source) noexcept : proof{source} {}

    [[nodiscard]] bool in_outage() const override { return this->proof.state() != standing_state::confirmed; }

private:
    const standing& proof;
};

} // namespace mangopulley

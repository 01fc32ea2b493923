#pragma once

#include "../catalogue/catalogue_holder.hpp"
#include "../order/order_runner.hpp"
#include "service_table.hpp"

namespace mangopulley {

/*! @brief Sends orders to the targets of their service. */
class order_dispatch final : public order_runner {
public:
    /*! @brief Reads a catalogue and services that must outlive the object. */
    order_dispatch(const catalogue_holder& catalogue, const service_table& services) noexcept
        : holder{catalogue}, table{services} {}

    [[nodiscard]] result<target_answer> run(const order_request& request) override;

private:
    const catalogue_holder& holder;
    const service_table& table;
};

} // namespace mangopulley

#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include "../catalogue/document.hpp"
#include "../core/fwd.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Request that waits for a target; owned by the waiting thread. */
struct wait_ticket {
    std::string_view kind{};
    std::string_view owner{};
    work_class work{work_class::normal};
    double worth{1.0};
    bool idempotent{};
    time_point deadline{};
    /*! @brief Expected answer time; zero when not known. */
    duration expected{};
    time_point since{};
};

/**
 * @brief Order in which waiting requests get targets.
 *
 * An earlier class comes first. Within a class the owners share slot time equally, by deficit. Within an owner the kind
 * with the highest worth per expected slot time comes first, then the earliest deadline; a tenth of the slot time is
 * shared equally among the kinds that wait, by deficit round robin, so that none starves. Operations cost O(log n) in
 * the number of requests, and O(k) in the number of kinds that wait. Not synchronised.
 */
class wait_queue {
public:
    wait_queue();
    wait_queue(const wait_queue&) = delete;
    wait_queue& operator=(const wait_queue&) = delete;
    ~wait_queue();

    /*! @brief Adds a request, which must stay where it is and unchanged until it is removed. */
    void push(const wait_ticket& ticket);
    /*! @brief Removes a request that gives up. */
    void remove(const wait_ticket& ticket);
    /*! @brief Removes a request that got a target and charges its expected slot time to its kind and owner. */
    void serve(const wait_ticket& ticket);

    /**
     * @brief Returns the request that is next, or null.
     * @param idempotent_only Whether to pass over non-idempotent requests.
     */
    [[nodiscard]] const wait_ticket* best(bool idempotent_only) const;
    /*! @brief Returns the request that is likely to wait longest, or null. */
    [[nodiscard]] const wait_ticket* last() const noexcept;

    /*! @brief Removes and returns the requests that can't be answered before their deadline any more. */
    [[nodiscard]] std::vector<const wait_ticket*> take_hopeless(time_point now);
    /*! @brief Removes and returns all requests. */
    [[nodiscard]] std::vector<const wait_ticket*> take_all();

    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley

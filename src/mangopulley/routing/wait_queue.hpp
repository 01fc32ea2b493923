#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include "../catalogue/catalogue_document.hpp"
#include "../core/fwd.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Request in the queue; owned by the waiting thread. */
struct queued_request {
    std::string_view kind{};
    std::string_view owner{};
    work_class work{work_class::normal};
    double worth{1.0};
    bool idempotent{};
    time_point deadline{};
    /*! @brief Expected response time; zero when not known. */
    duration expected_response_time{};
    time_point since{};
};

/**
 * @brief Priority queue of the requests that wait for a target.
 *
 * Requests are ordered by class. Within a class the owner that has used the least slot time comes first, so that the
 * owners share it equally. Within an owner the kind with the highest worth per expected slot time comes first, then the
 * earliest deadline; a tenth of the slot time is shared equally among the waiting kinds by deficit round robin, so that
 * none starves. Operations cost O(log n) in the number of requests and O(k) in the number of waiting kinds. Not
 * thread-safe.
 */
class wait_queue {
public:
    wait_queue();
    wait_queue(const wait_queue&) = delete;
    wait_queue& operator=(const wait_queue&) = delete;
    ~wait_queue();

    /*! @brief Adds a request, which must be neither moved nor changed until it is removed. */
    void push(const queued_request& request);
    /*! @brief Removes a request without charging slot time. */
    void remove(const queued_request& request);
    /*! @brief Removes a request that got a slot and charges its expected slot time to its kind and owner. */
    void serve(const queued_request& request);

    /**
     * @brief Returns the next request, or null.
     * @param idempotent_only Whether to skip non-idempotent requests.
     */
    [[nodiscard]] const queued_request* best(bool idempotent_only) const;
    /*! @brief Returns the request that is likely to wait longest, or null. */
    [[nodiscard]] const queued_request* lowest_priority() const noexcept;

    /*! @brief Removes and returns the requests that can no longer be answered before their deadline. */
    [[nodiscard]] std::vector<const queued_request*> remove_unmeetable(time_point now);
    /*! @brief Removes and returns all requests. */
    [[nodiscard]] std::vector<const queued_request*> remove_all();

    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley

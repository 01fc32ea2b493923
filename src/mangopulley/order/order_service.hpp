#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "../core/clock.hpp"
#include "../core/error.hpp"
#include "../peer/peer_transport.hpp"
#include "../store/store_client.hpp"
#include "incarnation_directory.hpp"
#include "ledger.hpp"
#include "order_archive.hpp"
#include "order_runner.hpp"
#include "order_types.hpp"
#include "store_status.hpp"
#include "witness_table.hpp"

namespace mangopulley {

/*! @brief Timeouts of messages between instances. */
struct order_timing {
    /*! @brief Timeout of a note, which is on the critical path of every order; instances are about 0.5 ms apart. */
    milliseconds note{150};
    /*! @brief Timeout of a seal, which is sent only after the home failed to respond. */
    milliseconds seal{150};
    /*! @brief Timeout of a query to the home. */
    milliseconds query{500};
    /*! @brief Time subtracted from the deadline of a forwarded request for the response and the seals; capped at a
     * tenth of the remaining time. */
    milliseconds forward_margin{20};
    /*! @brief Timeout of one message that hands over outcomes at shutdown. */
    milliseconds handover{1000};
};

/*! @brief Dependencies of an `order_service`; all of them must outlive the service. */
struct order_dependencies {
    const clock* time{};
    peer_transport* peers{};
    store_client* store{};
    const incarnation_directory* directory{};
    order_runner* runner{};
    const store_status* status{};
    ledger* records{};
    witness_table* witnesses{};
    order_archive* archive{};
};

/**
 * @brief At-most-once execution of non-idempotent requests (design section 4.4); thread-safe.
 *
 * The key of an order names its home, the only incarnation that may run it, and the witnesses of that home. Before it
 * runs the order, the home sends a note of the key to a witness. An instance that cannot reach the home asks the
 * witnesses to seal the key, after which they refuse its note.
 *
 * Invariants that make every reported outcome correct:
 * - Only the home in the key runs the order, once, after a witness in the key acknowledged the note.
 * - `not_run` is reported only by the home, which then never runs the key, or when all witnesses in the key sealed it
 *   and have no note: no witness has acknowledged the home's note, and none will.
 * - An instance draws no conclusion from a failed call, since an earlier submission may have run.
 */
class order_service {
public:
    /*! @brief Result of a shutdown: numbers of outcomes that were not archived. */
    struct shutdown_report {
        /*! @brief Whether all finished outcomes are archived. */
        bool archived{};
        /*! @brief Orders still in progress; their outcomes are neither archived nor handed over. */
        std::size_t unfinished{};
        std::size_t handed_over{};
        std::size_t lost{};
    };

    /**
     * @brief Creates the service.
     * @param self Incarnation of this process.
     * @param dependencies Objects that the service uses; none may be null.
     * @param timing Timeouts.
     */
    order_service(incarnation_id self, order_dependencies dependencies, order_timing timing);
    order_service(const order_service&) = delete;
    order_service& operator=(const order_service&) = delete;
    ~order_service();

    /**
     * @brief Runs an order, or returns its outcome if it was submitted before to this or another instance.
     * @param request Order.
     * @return The outcome, or `input_error` for a malformed key.
     */
    [[nodiscard]] result<order_outcome> submit(const order_request& request);

    /**
     * @brief Queries the outcome of an order.
     *
     * An order that has not started is permanently abandoned, so that the reported `not_run` remains correct.
     *
     * @param key Caller's key, with or without a token.
     * @return The outcome, or `input_error` for a malformed key.
     */
    [[nodiscard]] result<order_outcome> query(std::string_view key);

    /*! @brief Returns `<home>~<witness>~<witness>~<issued>` for new keys. */
    [[nodiscard]] std::string make_token(incarnation_id home) const;

    /**
     * @name Handlers of messages from other instances.
     * They return the response, or nothing when the message is malformed.
     * @{
     */
    [[nodiscard]] std::optional<std::string> on_note(std::string_view body);
    [[nodiscard]] std::optional<std::string> on_seal(std::string_view body);
    [[nodiscard]] std::optional<std::string> on_forward(std::string_view body);
    [[nodiscard]] std::optional<std::string> on_query(std::string_view body);
    [[nodiscard]] std::optional<std::string> on_outcomes(std::string_view body);
    /*! @} */

    /*! @brief Refuses new keys from now on; retries of known keys still get their outcome. */
    void drain() noexcept;

    /*! @brief Drains, then archives the remaining outcomes, or hands them over to witnesses if the store is out. */
    [[nodiscard]] shutdown_report shut_down();

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley

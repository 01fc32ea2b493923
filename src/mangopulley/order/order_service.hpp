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

/*! @brief Time limits of messages between instances. */
struct order_timing {
    /*! @brief For a note; it is on the path of every order, and instances are about 0.5 ms apart. */
    milliseconds note{150};
    /*! @brief For a seal; it is sent only after the home failed to answer. */
    milliseconds seal{150};
    milliseconds query{500};
    /*! @brief Taken off the deadline of a forwarded request, at most a tenth of it, for the way back and the seals. */
    milliseconds forward_margin{20};
    /*! @brief For handing over outcomes at shutdown. */
    milliseconds handover{1000};
};

/*! @brief Everything that an `order_service` works with; all of it must outlive the service. */
struct order_parts {
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
 * @brief At-most-once execution of non-idempotent requests (design section 4.4); safe to use from several threads.
 *
 * The rules that make an answer true:
 * - Only the home in the key runs it, once, after a witness named in the key acknowledged a note.
 * - `not_run` is said only by the home, which then never runs the key, or when all witnesses named in the key sealed it
 *   and hold no note: the home then had no note before and gets none later.
 * - An instance that sees a call fail concludes nothing from it: an earlier submission may have run.
 */
class order_service {
public:
    /*! @brief What became of the outcomes that were not archived when the process shuts down. */
    struct shutdown_report {
        bool archived{};
        /*! @brief Orders still in progress; their outcomes are neither archived nor handed over. */
        std::size_t unfinished{};
        std::size_t handed_over{};
        std::size_t lost{};
    };

    /**
     * @brief Prepares the service.
     * @param self Incarnation of this process.
     * @param parts Everything it works with; none null.
     * @param timing Time limits.
     */
    order_service(incarnation_id self, order_parts parts, order_timing timing);
    order_service(const order_service&) = delete;
    order_service& operator=(const order_service&) = delete;
    ~order_service();

    /**
     * @brief Runs an order, or tells what became of it when it was submitted before, here or elsewhere.
     * @param request Order.
     * @return The outcome, or `input_error` for a malformed key.
     */
    [[nodiscard]] result<order_outcome> submit(const order_request& request);

    /**
     * @brief Asks what became of an order.
     *
     * An order that has not begun is given up for ever, so that the answer `not_run` stays true.
     *
     * @param key Caller's key, with or without a token.
     * @return The outcome, or `input_error` for a malformed key.
     */
    [[nodiscard]] result<order_outcome> query(std::string_view key);

    /*! @brief Returns `<home>~<witness>~<witness>~<issued>` for new keys. */
    [[nodiscard]] std::string make_token(incarnation_id home) const;

    /**
     * @name Handlers of messages from other instances.
     * They return the reply, or nothing when the message is malformed.
     * @{
     */
    [[nodiscard]] std::optional<std::string> on_note(std::string_view body);
    [[nodiscard]] std::optional<std::string> on_seal(std::string_view body);
    [[nodiscard]] std::optional<std::string> on_forward(std::string_view body);
    [[nodiscard]] std::optional<std::string> on_query(std::string_view body);
    [[nodiscard]] std::optional<std::string> on_outcomes(std::string_view body);
    /*! @} */

    /*! @brief From now on gives up new keys instead of accepting them; repeats still get their outcome. */
    void drain() noexcept;

    /*! @brief Drains, then archives the outcomes that remain, or hands them to witnesses when the store is out. */
    [[nodiscard]] shutdown_report shut_down();

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley

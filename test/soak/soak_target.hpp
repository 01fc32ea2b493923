#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>

#include <fake/loopback_target.hpp>
#include <integration/object_store.hpp>
#include <mangopulley/loop/event_loop.hpp>

#include "order_tracker.hpp"
#include "schedule.hpp"

namespace soak {

/*! @brief Target in the soak's own process: it serves, and does to some requests what the faults in force say. */
class soak_target {
public:
    soak_target(mangopulley::event_loop& owner, integration::object_store& registry, order_tracker& orders,
                std::minstd_rand& source, std::size_t number);

    /*! @brief Begins or ends a fault that acts on single requests; the same fault may be in force several times. */
    void begin(fault_kind kind);
    void end(fault_kind kind);
    /*! @brief Resets all connections. */
    void reset();
    /*! @brief Starts again at its address under a new id; the store lists the former id for some seconds. */
    void restart();
    /*! @brief Begins to leave: listed as draining, or no longer listed. Ends with `restart`. */
    void leave(bool announced);
    /*! @brief Writes the own entry to the store again, as after a loss of what the store had. */
    void register_again();
    /*! @brief Removes the entries of former starts from the store. */
    void remove_former();

private:
    using connection = fake::loopback_target::connection;
    enum class cut_part { none, head, body };
    struct connection_state {
        std::size_t number{};
        /*! @brief Bytes to be written once more before the next answer. */
        std::string copy{};
        /*! @brief Whether callers may lose requests on it by a fault of the target. */
        bool faulty{};
        bool read_late{};
        /*! @brief Part of a response that was cut, until the connection ends. */
        cut_part cut{};
        /*! @brief Last order that it carried. */
        std::string order_id{};
    };
    using behaviour = void (soak_target::*)(connection& from, order& item);

    void serve(connection& from, const mangopulley::http_request& request);
    [[nodiscard]] behaviour choose();
    void work(connection& from, order& item, const std::string& text);
    void answer(connection& from, order& item);
    void answer_twice(connection& from, order& item);
    void fail(connection& from, order& item);
    void reject(connection& from, order& item);
    void reject_twice(connection& from, order& item);
    void reject_for_a_while(connection& from, order& item);
    void misdirect(connection& from, order& item);
    void cut_head(connection& from, order& item);
    void cut_body(connection& from, order& item);
    void cut(connection& from, order& item, const std::string& text);
    void hang(connection& from, order& item);
    void read_slowly(connection& from, order& item);
    void write_later(connection& from, const std::string& text);
    [[nodiscard]] std::string rejection(const order& item, const std::string& beginning) const;
    [[nodiscard]] std::string success(order& item) const;
    [[nodiscard]] bool chance(unsigned int period) { return this->random() % period == 0U; }

    mangopulley::event_loop& loop;
    integration::object_store& store;
    order_tracker& tracker;
    std::minstd_rand& random;
    std::size_t index;
    std::uint64_t starts{};
    std::string id{};
    bool leaving{};
    bool listed{true};
    std::set<std::string> former{};
    std::map<fault_kind, int> faults{};
    std::map<const connection*, connection_state> states{};
    fake::loopback_target peer;
};

} // namespace soak

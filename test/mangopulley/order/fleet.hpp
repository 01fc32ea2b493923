#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include <mangopulley/order/order_service.hpp>

#include "../../fake/fake_clock.hpp"
#include "../../fake/fake_network.hpp"
#include "../../fake/fake_store.hpp"

namespace fake {

using mangopulley::incarnation_id;
using mangopulley::message_type;
using mangopulley::milliseconds;
using mangopulley::order_outcome;
using mangopulley::order_reason;
using mangopulley::order_state;
using mangopulley::target_error;

/*! @brief Directory with the instances in a ring; the witnesses of an instance are the next two in the ring. */
class ring_directory final : public mangopulley::incarnation_directory {
public:
    [[nodiscard]] std::optional<std::string> endpoint_of(const incarnation_id id) const override {
        const std::lock_guard lock{this->guard};
        const auto position = this->endpoints.find(id);
        return position == this->endpoints.end() ? std::nullopt : std::optional{position->second};
    }
    [[nodiscard]] std::vector<incarnation_id> witnesses_for(const incarnation_id home) const override {
        const std::lock_guard lock{this->guard};
        std::vector<incarnation_id> found{};
        for (std::size_t index = 0U; index < this->ring.size(); ++index) {
            for (std::size_t next = 1U; this->ring[index] == home && next < this->ring.size() && next < 3U; ++next) {
                found.push_back(this->ring[(index + next) % this->ring.size()]);
            }
        }
        return found;
    }
    [[nodiscard]] bool known_dead(const incarnation_id id) const override {
        const std::lock_guard lock{this->guard};
        return this->dead.contains(id);
    }
    void mark_dead(const incarnation_id id) {
        const std::lock_guard lock{this->guard};
        this->dead.insert(id);
    }
    void put(const std::size_t index, const incarnation_id id, const std::string& endpoint) {
        const std::lock_guard lock{this->guard};
        this->ring.resize(std::max(this->ring.size(), index + 1U));
        this->ring[index] = id;
        this->endpoints[id] = endpoint;
    }

private:
    mutable std::mutex guard{};
    std::vector<incarnation_id> ring{};
    std::unordered_map<incarnation_id, std::string> endpoints{};
    std::unordered_set<incarnation_id> dead{};
};

/*! @brief Target that counts how often each body ran and echoes it in the answer. */
class counting_target {
public:
    [[nodiscard]] mangopulley::target_answer run(const std::string& body) {
        const std::lock_guard lock{this->guard};
        ++this->runs[body];
        return {200, "done " + body, "text/plain", std::nullopt, false};
    }
    [[nodiscard]] int count(const std::string& body) {
        const std::lock_guard lock{this->guard};
        return this->runs[body];
    }

private:
    std::mutex guard{};
    std::map<std::string, int> runs{};
};

/*! @brief Runner of one instance with hooks before and after the execution on the target. */
class hooked_runner final : public mangopulley::order_runner {
public:
    explicit hooked_runner(counting_target& shared) : target{shared} {}
    [[nodiscard]] mangopulley::result<mangopulley::target_answer>
    run(const mangopulley::order_request& request) override {
        this->before();
        // Read once: a fault that is set while the target runs must not turn an executed order into `not_sent`.
        const auto injected_fault = this->fault;
        if (this->stopped() || injected_fault == target_error::code::not_sent) {
            return boost::leaf::new_error(target_error{target_error::code::not_sent, "target", "injected", false});
        }
        auto answer = this->target.run(request.body);
        this->after();
        if (injected_fault) {
            return boost::leaf::new_error(target_error{*injected_fault, "target", "injected", false});
        }
        return answer;
    }
    std::function<void()> before{[] {}};
    std::function<void()> after{[] {}};
    std::function<bool()> stopped{[] { return false; }};
    std::optional<enum target_error::code> fault{};

private:
    counting_target& target;
};

class switchable_store_status final : public mangopulley::store_status {
public:
    [[nodiscard]] bool in_outage() const override { return this->down; }
    bool down{};
};

/*! @brief One incarnation with the order state of its process. */
struct incarnation {
    incarnation(const incarnation_id self, const mangopulley::clock& time, mangopulley::peer_transport& peers,
                mangopulley::store_client& store, const ring_directory& directory, counting_target& target,
                const mangopulley::ledger_limits bounds = {}, const mangopulley::witness_limits witness_bounds = {})
        : id{self}, runner{target}, records{time, bounds}, witnesses{time, witness_bounds},
          archive{self, time, store, {}}, service{self,
                                                  {&time, &peers, &store, &directory, &this->runner, &this->status,
                                                   &this->records, &this->witnesses, &this->archive},
                                                  {}} {}

    [[nodiscard]] std::optional<std::string> handle(const message_type type, const std::string_view body) {
        static const std::map<message_type,
                              std::optional<std::string> (mangopulley::order_service::*)(std::string_view)>
            handlers{{message_type::order_note, &mangopulley::order_service::on_note},
                     {message_type::order_seal, &mangopulley::order_service::on_seal},
                     {message_type::order_forward, &mangopulley::order_service::on_forward},
                     {message_type::order_query, &mangopulley::order_service::on_query},
                     {message_type::order_outcomes, &mangopulley::order_service::on_outcomes}};
        return (this->service.*handlers.at(type))(body);
    }

    incarnation_id id;
    hooked_runner runner;
    switchable_store_status status{};
    mangopulley::ledger records;
    mangopulley::witness_table witnesses;
    mangopulley::order_archive archive;
    mangopulley::order_service service;
};

/*! @brief Transport of one endpoint with hooks before a request is sent and after its response was created. */
class hooked_transport final : public mangopulley::peer_transport {
public:
    hooked_transport(fake_network& shared, std::string endpoint) : network{shared}, self{std::move(endpoint)} {}
    [[nodiscard]] mangopulley::result<std::string> call(std::string_view endpoint, const message_type type,
                                                        std::string_view body, milliseconds /*timeout*/) override {
        this->before(type);
        auto reply = this->network.call(this->self, std::string{endpoint}, type, body);
        this->after(type);
        if (this->stopped() && reply) {
            return boost::leaf::new_error(
                mangopulley::network_error{mangopulley::network_error::code::broken, "", "sender killed"});
        }
        return reply;
    }
    std::function<void(message_type)> before{[](message_type) {}};
    std::function<void(message_type)> after{[](message_type) {}};
    std::function<bool()> stopped{[] { return false; }};

private:
    fake_network& network;
    std::string self;
};

/*! @brief Four instances in one process: 0 is the home, 1 and 2 its witnesses, 3 receives the callers' requests. */
struct order_fleet {
    static constexpr std::size_t size = 4U;

    order_fleet() {
        for (std::size_t index = 0U; index < size; ++index) {
            this->transports[index] = std::make_unique<hooked_transport>(this->network, endpoint(index));
            this->start(index);
            for (const auto type : {message_type::order_note, message_type::order_seal, message_type::order_forward,
                                    message_type::order_query, message_type::order_outcomes}) {
                this->network.handle(endpoint(index), type, [this, index, type](const std::string_view body) {
                    auto* live = this->instances[index];
                    auto reply = live->handle(type, body);
                    return this->killed.contains(live) ? std::nullopt : reply;
                });
            }
        }
    }

    [[nodiscard]] static std::string endpoint(const std::size_t index) { return "peer" + std::to_string(index); }

    /*! @brief Starts a new incarnation of an instance; the former one stays in memory but is unreachable. */
    void start(const std::size_t index) {
        this->started.push_back(std::make_unique<incarnation>(incarnation_id{++this->last_id}, this->time,
                                                              *this->transports[index], this->store, this->directory,
                                                              this->target));
        auto* live = this->started.back().get();
        this->instances[index] = live;
        this->directory.put(index, live->id, endpoint(index));
        live->runner.stopped = [this, live] { return this->killed.contains(live); };
        this->transports[index]->stopped = [this, live] { return this->killed.contains(live); };
        this->network.revive(endpoint(index));
    }

    /*! @brief Kills an incarnation: it receives no more messages, and whatever it still does has no effect. */
    void kill(const std::size_t index) {
        this->killed.insert(this->instances[index]);
        this->network.kill(endpoint(index));
        for (std::size_t other = 0U; other < size; ++other) {
            this->network.cut(endpoint(index), endpoint(other));
        }
    }
    void restart(const std::size_t index) {
        this->kill(index);
        this->start(index);
        for (std::size_t other = 0U; other < size; ++other) {
            this->network.heal(endpoint(index), endpoint(other));
        }
    }
    void cut(const std::size_t from, const std::size_t to) { this->network.cut(endpoint(from), endpoint(to)); }
    void lose_replies(const std::size_t from, const std::size_t to) {
        this->network.lose_replies(endpoint(from), endpoint(to));
    }
    void heal(const std::size_t from, const std::size_t to) { this->network.heal(endpoint(from), endpoint(to)); }

    [[nodiscard]] mangopulley::order_service& at(const std::size_t index) { return this->instances[index]->service; }
    [[nodiscard]] std::string new_key(const std::string& unique, const std::size_t home = 0U) {
        return this->at(home).make_token(this->instances[home]->id) + '~' + unique;
    }
    [[nodiscard]] mangopulley::order_request request(const std::string& key, const std::string& body = "body") const {
        mangopulley::order_request made{};
        made.service = "payments";
        made.kind = "release";
        made.key = key;
        made.body = body;
        made.request_id = "r1";
        made.deadline = this->time.now() + std::chrono::seconds{2};
        return made;
    }
    [[nodiscard]] order_outcome submit(const std::size_t index, const std::string& key,
                                       const std::string& body = "body") {
        return boost::leaf::try_handle_all([&] { return this->at(index).submit(this->request(key, body)); },
                                           [] { return order_outcome{}; });
    }
    [[nodiscard]] order_outcome query(const std::size_t index, const std::string& key) {
        return boost::leaf::try_handle_all([&] { return this->at(index).query(key); }, [] { return order_outcome{}; });
    }

    fake_clock time{};
    fake_network network{};
    fake_store store{};
    ring_directory directory{};
    counting_target target{};
    std::array<std::unique_ptr<hooked_transport>, size> transports{};
    std::vector<std::unique_ptr<incarnation>> started{};
    std::array<incarnation*, size> instances{};
    std::set<const incarnation*> killed{};
    incarnation_id::value_type last_id{0x1000U};
};

} // namespace fake

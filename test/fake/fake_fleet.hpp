#pragma once

#include <algorithm>
#include <atomic>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <mangopulley/catalogue/catalogue_follower.hpp>
#include <mangopulley/membership/catalogue_freshness.hpp>
#include <mangopulley/membership/drain_notices.hpp>
#include <mangopulley/membership/heartbeat_service.hpp>
#include <mangopulley/membership/instance_selector.hpp>
#include <mangopulley/membership/member_table.hpp>

#include "fake_clock.hpp"
#include "fake_network.hpp"
#include "fake_store.hpp"

namespace fake {

/*! @brief Clock that is behind another one, for a part whose calls return at once but would have taken a while. */
class lagging_clock final : public mangopulley::clock {
public:
    lagging_clock(const fake_clock& source, const mangopulley::duration behind) : time{source}, lag{behind} {}

    [[nodiscard]] mangopulley::time_point now() const noexcept override { return this->time.now() - this->lag; }
    [[nodiscard]] std::chrono::system_clock::time_point wall() const noexcept override { return this->time.wall(); }

private:
    const fake_clock& time;
    mangopulley::duration lag;
};

/*! @brief One instance's access to a shared store, which can be cut off. */
class store_link final : public mangopulley::store_client {
public:
    explicit store_link(fake_store& target) : shared{target} {}

    [[nodiscard]] mangopulley::result<mangopulley::stored_object> get(std::string_view key) override {
        return this->reach([&] { return this->shared.get(key); });
    }
    [[nodiscard]] mangopulley::result<std::uint64_t> put(std::string_view key, std::string_view value,
                                                         std::uint64_t expected) override {
        return this->reach([&] { return this->shared.put(key, value, expected); });
    }
    [[nodiscard]] mangopulley::result<std::optional<mangopulley::stored_object>>
    watch(std::string_view key, std::uint64_t after, mangopulley::milliseconds wait) override {
        std::this_thread::sleep_for(std::min(wait, this->pause));
        return this->reach([&] { return this->shared.watch(key, after, wait); });
    }
    [[nodiscard]] mangopulley::result<std::vector<mangopulley::listed_object>> list(std::string_view prefix) override {
        return this->reach([&] { return this->shared.list(prefix); });
    }
    [[nodiscard]] mangopulley::result<std::optional<mangopulley::instance_list>>
    watch_instances(std::uint64_t after, mangopulley::milliseconds wait) override {
        std::this_thread::sleep_for(std::min(wait, this->pause));
        return this->reach([&] { return this->shared.watch_instances(after, wait); });
    }

    bool cut{};
    /*! @brief Real time that a watch takes, for tests with threads. */
    mangopulley::milliseconds pause{};
    std::atomic<std::uint64_t> calls{};

private:
    template <typename Call>
    [[nodiscard]] auto reach(Call call) -> decltype(call()) {
        ++this->calls;
        if (this->cut) {
            return boost::leaf::new_error(
                mangopulley::store_error{mangopulley::store_error::code::unavailable, {}, "injected"});
        }
        return call();
    }

    fake_store& shared;
};

/*! @brief Transport that counts the bytes of the frames that its instance sends. */
class counting_transport final : public mangopulley::peer_transport {
public:
    /*! @brief Length, array head, type, correlation and text head of a frame. */
    static constexpr std::size_t frame_overhead = 16U;

    counting_transport(fake_network& network, std::string endpoint) : inner{network, std::move(endpoint)} {}

    [[nodiscard]] mangopulley::result<std::string> call(std::string_view endpoint, mangopulley::message_type type,
                                                        std::string_view body,
                                                        mangopulley::milliseconds timeout) override {
        this->sent += body.size() + frame_overhead;
        return this->inner.call(endpoint, type, body, timeout);
    }

    std::uint64_t sent{};

private:
    fake_transport inner;
};

/*! @brief One entry instance without servers for callers; driven by `fake_fleet`. */
struct fleet_node {
    fleet_node(const fake_clock& time, fake_store& shared_store, fake_network& network, mangopulley::member about,
               const std::uint64_t seed)
        : store{shared_store}, transport{network, about.peer_endpoint}, members{time, about}, draining{time},
          freshness{time,
                    {.own_version = [this] { return this->holder.current()->version; },
                     .contacts = [this](mangopulley::time_point since) { return this->members.contacts(since); }}},
          watch_time{time, mangopulley::catalogue_wait},
          follower{{this->watch_time, this->store, this->transport, this->holder, this->members, this->selector,
                    this->freshness},
                   [](std::string_view value) -> mangopulley::result<mangopulley::catalogue_document> {
                       if (value.find_first_not_of("0123456789") != std::string_view::npos) {
                           return boost::leaf::new_error(mangopulley::input_error{});
                       }
                       return mangopulley::catalogue_document{.version = std::stoull(std::string{value})};
                   }},
          heartbeats{{time, this->members, this->freshness, this->holder, this->follower, this->draining,
                      this->transport, this->runner},
                     [] {
                         return std::vector<mangopulley::service_demand>(4U, {0x9ABCDEF0U, 812.5});
                     },
                     seed} {
        this->follower.on_advance([this] { this->heartbeats.push(); });
        const auto serve = [&](const mangopulley::message_type type, auto member) {
            network.handle(about.peer_endpoint, type, [this, member](std::string_view body) {
                auto reply = (this->heartbeats.*member)(body);
                this->replied += reply ? reply->size() + counting_transport::frame_overhead : 0U;
                return reply;
            });
        };
        using service = mangopulley::heartbeat_service;
        using enum mangopulley::message_type;
        serve(heartbeat, &service::on_heartbeat);
        serve(member_pull, &service::on_member_pull);
        serve(catalogue_pull, &service::on_catalogue_pull);
        serve(instances_pull, &service::on_instances_pull);
        serve(drain_notice, &service::on_drain_notice);
    }

    [[nodiscard]] std::uint64_t version() const { return this->holder.current()->version; }
    [[nodiscard]] std::uint64_t bytes_sent() const { return this->transport.sent + this->replied; }

    store_link store;
    counting_transport transport;
    mangopulley::member_table members;
    mangopulley::instance_selector selector{this->members};
    mangopulley::catalogue_holder holder{};
    mangopulley::drain_notices draining;
    mangopulley::catalogue_freshness freshness;
    /*! @brief Makes every answer of the store look as if the request had been sent the longest wait ago. */
    lagging_clock watch_time;
    mangopulley::catalogue_follower follower;
    mangopulley::inline_runner runner{};
    mangopulley::heartbeat_service heartbeats;
    std::uint64_t replied{};
    bool running{true};
};

/*! @brief Instances in three zones with one store, one network and one clock, all driven by the test. */
class fake_fleet {
public:
    static constexpr mangopulley::milliseconds step_length{50};

    fake_fleet(const std::size_t size, const std::uint64_t seed) : random{seed} {
        this->store.instances.revision = 1U;
        for (std::size_t index = 0U; index < size; ++index) {
            const auto about = this->describe(index);
            this->store.instances.instances.push_back({.id = about.instance_name,
                                                       .role = "entry",
                                                       .service = {},
                                                       .address = about.peer_endpoint,
                                                       .zone = about.zone,
                                                       .region = about.region,
                                                       .leaving = false});
        }
        for (std::size_t index = 0U; index < size; ++index) {
            this->phases.push_back(this->random() % 20U);
            this->nodes.emplace_back();
            this->restart(index);
        }
    }

    [[nodiscard]] static std::string endpoint(const std::size_t index) {
        return "10.0." + std::to_string(index % 3U) + '.' + std::to_string(10U + index) + ":7100";
    }

    /*! @brief Replaces an instance by a new incarnation. */
    void restart(const std::size_t index) {
        const auto seed = this->random();
        this->nodes[index] =
            std::make_unique<fleet_node>(this->time, this->store, this->network, this->describe(index), seed);
        this->network.revive(endpoint(index));
    }

    /*! @brief Stops an instance, as a kill or a freeze does. */
    void stop(const std::size_t index) {
        this->nodes[index]->running = false;
        this->network.kill(endpoint(index));
    }

    /*! @brief Lets a stopped instance go on. */
    void wake(const std::size_t index) {
        this->nodes[index]->running = true;
        this->network.revive(endpoint(index));
    }

    /*! @brief Cuts or heals the links between an instance and another in both directions. */
    void link(const std::size_t left, const std::size_t right, const bool up) {
        for (const auto& [from, to] : {std::pair{left, right}, std::pair{right, left}}) {
            if (up) {
                this->network.heal(endpoint(from), endpoint(to));
            } else {
                this->network.cut(endpoint(from), endpoint(to));
            }
        }
    }

    /*! @brief Writes a version to the store as `catalogue apply` does; returns whether it was accepted. */
    bool edit(const std::uint64_t version) {
        const auto position = this->store.objects.find("catalogue/current");
        const auto expected = position == this->store.objects.end() ? 0U : position->second.version;
        return boost::leaf::try_handle_all(
            [&]() -> mangopulley::result<bool> {
                BOOST_LEAF_AUTO(written, this->store.put("catalogue/current", std::to_string(version), expected));
                return written != 0U;
            },
            [] { return false; });
    }

    /*! @brief Lets time pass; `check` runs after each step. */
    template <typename Check>
    void run(const mangopulley::milliseconds length, Check check) {
        for (auto end = this->time.now() + length; this->time.now() < end;) {
            this->time.advance(step_length);
            ++this->steps;
            for (std::size_t index = 0U; index < this->nodes.size(); ++index) {
                if (this->nodes[index]->running) {
                    this->drive(*this->nodes[index], this->steps + this->phases[index]);
                }
            }
            check();
        }
    }

    void run(const mangopulley::milliseconds length) {
        this->run(length, [] {});
    }

    fake_clock time{};
    fake_store store{};
    fake_network network{};
    std::vector<std::unique_ptr<fleet_node>> nodes{};
    std::mt19937_64 random;

private:
    [[nodiscard]] mangopulley::member describe(const std::size_t index) {
        const auto zone = std::to_string(index % 3U);
        return {.incarnation = mangopulley::incarnation_id{this->random()},
                .instance_name = "entry-" + std::to_string(100U + index),
                .peer_endpoint = endpoint(index),
                .caller_address = "10.0." + zone + '.' + std::to_string(10U + index) + ":7000",
                .zone = "riga-" + zone,
                .region = "riga"};
    }

    static void drive(fleet_node& node, const std::uint64_t step) {
        if (step % 2U == 0U) {
            node.freshness.tick();
        }
        if (step % 10U == 0U) {
            node.heartbeats.tick();
        }
        // A watch of the platform's store returns at once on a change; here it may be a whole wait late.
        if (step % 10U == 7U) {
            static_cast<void>(node.follower.poll_catalogue());
        }
        if (step % 20U == 7U) {
            static_cast<void>(node.follower.poll_instances());
        }
    }

    std::vector<std::uint64_t> phases{};
    std::uint64_t steps{};
};

} // namespace fake

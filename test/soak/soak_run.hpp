#pragma once

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <integration/gateway_instances.hpp>
#include <integration/object_store.hpp>
#include <mangopulley/core/clock.hpp>
#include <mangopulley/loop/event_loop.hpp>

#include "order_tracker.hpp"
#include "schedule.hpp"
#include "soak_caller.hpp"
#include "soak_target.hpp"

namespace soak {

inline constexpr std::size_t target_count = 4U;

/*! @brief What a run consists of, besides its faults. */
struct soak_options {
    /*! @brief Seed of what targets and callers choose at random. */
    std::uint64_t seed{};
    std::size_t instances{};
    /*! @brief Folder that keeps what the instances write; a temporary one when empty. */
    std::string logs{};
    /*! @brief Program to run instead of the one of this build; empty for that one. */
    std::string program{};
};

/*! @brief One run: starts the instances, injects the faults of a schedule, and judges until service has recovered. */
class soak_run {
public:
    /*! @brief Starts the instances and prepares a run. */
    explicit soak_run(const soak_options& options);
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;
    ~soak_run();

    /**
     * @brief Runs a schedule.
     * @param faults Faults in the order of their times.
     * @param out Gets a summary, and each violation with what the instances logged about it.
     * @return Whether all promises were kept.
     */
    [[nodiscard]] bool run(const schedule& faults, std::ostream& out);

private:
    using action = void (soak_run::*)(const scheduled_fault& fault, bool begins);
    struct instance_state {
        int starts{};
        int frozen{};
        /*! @brief Whether the end of the process is wanted. */
        bool ending{};
        time_point kill_at{};
        time_point launched_at{};
    };

    [[nodiscard]] static action action_of(fault_kind kind);
    void start_instances();
    void start_callers();
    void launch(std::size_t index);
    void watch_instances();
    void judge_end(std::size_t index, int code);
    /*! @brief Returns whether a start or a disturbance of an instance excuses its end. */
    [[nodiscard]] bool disturbed_lately(std::size_t index);
    void watch_instance(std::size_t index);
    /*! @brief Returns an instance that has served nothing since `await_service` began, if there is one. */
    [[nodiscard]] std::size_t choose_unserved();
    [[nodiscard]] bool served_for_a_second(std::ostream& out);
    /*! @brief Waits until all instances serve, and nearly all orders are served for a second. */
    [[nodiscard]] bool await_service(std::ostream& out);
    void pass(duration length);
    void apply(const scheduled_fault& fault);
    void recover(std::ostream& out);
    void print(std::ostream& out);

    void stop_instance(const scheduled_fault& fault, bool begins);
    void kill_instance(const scheduled_fault& fault, bool begins);
    void freeze_instance(const scheduled_fault& fault, bool begins);
    void reload_instance(const scheduled_fault& fault, bool begins);
    void reset_callers(const scheduled_fault& fault, bool begins);
    void disturb_store(const scheduled_fault& fault, bool begins);
    void return_from_copy(const scheduled_fault& fault, bool begins);
    void change_config(const scheduled_fault& fault, bool begins);
    void burst(const scheduled_fault& fault, bool begins);
    void restart_target(const scheduled_fault& fault, bool begins);
    void leave_target(const scheduled_fault& fault, bool begins);
    void reset_target(const scheduled_fault& fault, bool begins);
    void disturb_target(const scheduled_fault& fault, bool begins);

    mangopulley::system_clock_source time{};
    mangopulley::event_loop loop{this->time};
    std::minstd_rand random;
    std::size_t instance_count;
    integration::object_store store{this->loop};
    order_tracker tracker;
    std::vector<std::unique_ptr<soak_target>> targets{};
    caller_context context;
    std::vector<std::unique_ptr<soak_caller>> callers{};
    integration::gateway_instances gateways{};
    std::vector<instance_state> states;
    bool keeps_logs;
    std::map<fault_kind, int> store_faults{};
    std::uint64_t version{1U};
    int killed_after_stop_time{};
    int ended_in_start{};
};

} // namespace soak

#include "soak_run.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <ostream>

namespace soak {

namespace {

constexpr std::size_t callers_per_target = 3U;
constexpr milliseconds stop_time{2'500};
constexpr milliseconds recovery_time{15'000};
constexpr int signal_base = 128;
constexpr int killed = signal_base + SIGKILL;

[[nodiscard]] std::string end_of(const std::string& output) {
    constexpr std::size_t most = 2'000U;
    return output.substr(output.size() - std::min(output.size(), most));
}

} // namespace

soak_run::soak_run(const soak_options& options)
    : random{static_cast<std::minstd_rand::result_type>(options.seed + 1U)}, instance_count{options.instances},
      tracker{this->time, options.instances}, context{this->loop, this->tracker, this->random,
                                                      &integration::gateway_instances::caller_endpoint},
      states(options.instances), keeps_logs{!options.logs.empty()} {
    if (this->keeps_logs) {
        this->gateways.folder = options.logs;
    }
    if (!options.program.empty()) {
        this->gateways.program = options.program;
    }
    std::filesystem::create_directories(this->gateways.folder);
    this->store.put_config(this->version, this->context.prefix);
    for (std::size_t number = 0U; number < target_count; ++number) {
        this->targets.push_back(
            std::make_unique<soak_target>(this->loop, this->store, this->tracker, this->random, number));
    }
    this->start_instances();
    this->start_callers();
}

void soak_run::start_instances() {
    this->gateways.instances.resize(this->instance_count);
    for (std::size_t index = 0U; index < this->instance_count; ++index) {
        std::ofstream{this->gateways.settings_path(index)} << this->gateways.settings(index, this->store.endpoint());
        this->launch(index);
    }
}

void soak_run::start_callers() {
    constexpr milliseconds usual_pause{300};
    constexpr std::size_t fewest_callers = callers_per_target * target_count;
    const auto caller_count = std::max(fewest_callers, this->instance_count);
    // The targets have room for so many orders, however many callers send them.
    this->context.longest_pause = usual_pause * static_cast<milliseconds::rep>(caller_count) / fewest_callers;
    for (std::size_t number = 0U; number < caller_count; ++number) {
        this->callers.push_back(std::make_unique<soak_caller>(this->context));
    }
}

soak_run::~soak_run() {
    this->gateways.instances.clear();
    if (!this->keeps_logs) {
        std::filesystem::remove_all(this->gateways.folder);
    }
}

void soak_run::launch(const std::size_t index) {
    auto& state = this->states[index];
    state = {++state.starts};
    state.launched_at = this->time.now();
    this->gateways.launch(index, "output" + std::to_string(index) + '-' + std::to_string(state.starts));
}

void soak_run::watch_instances() {
    for (std::size_t index = 0U; index < this->instance_count; ++index) {
        this->watch_instance(index);
    }
}

void soak_run::judge_end(const std::size_t index, const int code) {
    const auto& state = this->states[index];
    const auto output = this->gateways.instances[index]->output();
    const bool signalled = code == signal_base + SIGHUP || code == signal_base + SIGTERM;
    // A process can't handle a signal that comes, or waits while it is suspended, before its main function runs.
    if (signalled && output.empty() && this->disturbed_lately(index)) {
        ++this->ended_in_start;
    } else if (!state.ending || (code != 0 && code != killed)) {
        this->tracker.report("ENDED", "",
                             "instance " + std::to_string(index) + " ended with code " + std::to_string(code) + ":\n" +
                                 end_of(output));
    }
}

bool soak_run::disturbed_lately(const std::size_t index) {
    constexpr milliseconds excused_time{1'000};
    const auto disturbed_at = this->tracker.instances()[index].disturbed_at.value_or(time_point{});
    return this->time.now() < std::max(this->states[index].launched_at, disturbed_at) + excused_time;
}

void soak_run::watch_instance(const std::size_t index) {
    auto& process = *this->gateways.instances[index];
    auto& state = this->states[index];
    if (!process.running()) {
        const auto code = process.wait_exit(milliseconds::zero()).value_or(killed);
        this->judge_end(index, code);
        this->tracker.restart(index);
        this->launch(index);
    } else if (state.ending && this->time.now() >= state.kill_at) {
        ++this->killed_after_stop_time;
        process.kill();
    }
}

void soak_run::pass(const duration length) {
    constexpr milliseconds longest_turn{5};
    const auto end = this->time.now() + length;
    while (this->time.now() < end) {
        this->loop.turn(longest_turn);
    }
}

std::size_t soak_run::choose_unserved() {
    const auto first = this->random() % this->instance_count;
    for (std::size_t step = 0U; step < this->instance_count; ++step) {
        const auto index = (first + step) % this->instance_count;
        if (this->tracker.instances()[index].served == 0) {
            return index;
        }
    }
    return first;
}

bool soak_run::served_for_a_second(std::ostream& out) {
    constexpr milliseconds window{1'000};
    constexpr int whole = 10;
    constexpr int enough = 9;
    const auto before = this->tracker.counts();
    this->pass(window);
    const auto& now = this->tracker.counts();
    const auto served = now.served - before.served;
    const auto all = now.ended - before.ended;
    const auto& records = this->tracker.instances();
    const auto unserved =
        std::count_if(records.begin(), records.end(), [](const instance_record& record) { return record.served == 0; });
    out << "# within a second " << served << " of " << all << " served, " << unserved
        << " instances have served nothing\n";
    return all > 0 && served * whole >= all * enough && unserved == 0;
}

bool soak_run::await_service(std::ostream& out) {
    for (auto& record : this->tracker.instances()) {
        record.served = 0;
        record.asked = 0;
    }
    this->context.reconnecting = true;
    this->context.choose = [this] { return this->choose_unserved(); };
    const auto end = this->time.now() + recovery_time;
    bool good = false;
    while (!good && this->time.now() < end) {
        good = this->served_for_a_second(out);
    }
    this->context.reconnecting = false;
    this->context.choose = [this] { return this->random() % this->instance_count; };
    return good;
}

void soak_run::recover(std::ostream& out) {
    const auto begin = this->time.now();
    const auto before = this->tracker.counts();
    const bool good = this->await_service(out);
    const auto passed = std::chrono::duration_cast<milliseconds>(this->time.now() - begin);
    out << "recovered: " << (good ? "yes" : "NO") << " after " << passed.count() << " ms\n";
    const auto& now = this->tracker.counts();
    if (!good && (now.served - before.served) * 4 < now.ended - before.ended) {
        this->tracker.report("RECOVER", "", "less than a quarter of the requests are served after the faults");
    }
    constexpr int enough_asked = 4;
    for (std::size_t index = 0U; !good && index < this->instance_count; ++index) {
        const auto& record = this->tracker.instances()[index];
        if (record.served == 0 && record.asked >= enough_asked) {
            this->tracker.report("RECOVER", "",
                                 "instance " + std::to_string(index) + " serves nothing after the faults");
        }
    }
}

bool soak_run::run(const schedule& faults, std::ostream& out) {
    constexpr milliseconds watch_period{20};
    constexpr milliseconds last_answers{2'500};
    const auto watching = this->loop.every(watch_period, [this] { this->watch_instances(); });
    if (!this->await_service(out)) {
        this->tracker.report("RECOVER", "", "not all instances serve after their start");
    }
    const auto begin = this->time.now();
    milliseconds last{};
    for (const auto& fault : faults) {
        last = std::max(last, fault.at + fault.length);
        this->loop.after(fault.at, [this, &fault] { this->apply(fault); });
    }
    this->pass(begin + last - this->time.now());
    this->recover(out);
    this->context.closed = true;
    this->pass(last_answers);
    this->loop.cancel(watching);
    this->callers.clear();
    this->tracker.finish();
    this->print(out);
    return this->tracker.violations().empty();
}

void soak_run::print(std::ostream& out) {
    constexpr std::size_t most_printed = 20U;
    const auto& counts = this->tracker.counts();
    out << counts.sent << " sent, " << counts.served << " served, " << counts.refused << " refused, " << counts.other
        << " others, " << counts.unanswered << " unanswered; " << this->killed_after_stop_time
        << " killed after the time to stop, " << this->ended_in_start << " ended by a signal in their start; "
        << this->tracker.violations().size() << " violations\n";
    std::size_t printed = 0U;
    for (const auto& item : this->tracker.violations()) {
        if (++printed > most_printed) {
            break;
        }
        out << "VIOLATION " << item.rule << ' ' << item.id << ": " << item.text << '\n'
            << this->tracker.trace_of(item.id) << (item.id.empty() ? "" : this->gateways.lines_about(item.id));
    }
}

void soak_run::apply(const scheduled_fault& fault) {
    const auto act = action_of(fault.kind);
    (this->*act)(fault, true);
    if (fault.length > milliseconds::zero()) {
        this->loop.after(fault.length, [this, &fault, act] { (this->*act)(fault, false); });
    }
}

soak_run::action soak_run::action_of(const fault_kind kind) {
    static const std::map<fault_kind, action> actions{
        {fault_kind::stop_instance, &soak_run::stop_instance},
        {fault_kind::kill_instance, &soak_run::kill_instance},
        {fault_kind::freeze_instance, &soak_run::freeze_instance},
        {fault_kind::reload_instance, &soak_run::reload_instance},
        {fault_kind::reset_callers, &soak_run::reset_callers},
        {fault_kind::store_refuses, &soak_run::disturb_store},
        {fault_kind::store_silent, &soak_run::disturb_store},
        {fault_kind::store_slow, &soak_run::disturb_store},
        {fault_kind::store_loses_responses, &soak_run::disturb_store},
        {fault_kind::store_from_copy, &soak_run::return_from_copy},
        {fault_kind::change_config, &soak_run::change_config},
        {fault_kind::caller_burst, &soak_run::burst},
        {fault_kind::restart_target, &soak_run::restart_target},
        {fault_kind::drain_target, &soak_run::leave_target},
        {fault_kind::remove_target, &soak_run::leave_target},
        {fault_kind::reset_target, &soak_run::reset_target},
    };
    const auto found = actions.find(kind);
    return found == actions.end() ? &soak_run::disturb_target : found->second;
}

void soak_run::stop_instance(const scheduled_fault& fault, const bool /*begins*/) {
    auto& state = this->states[fault.subject];
    if (!state.ending) {
        state.ending = true;
        state.kill_at = this->time.now() + stop_time;
        this->tracker.plan(fault.subject, true);
    }
    this->gateways.instances[fault.subject]->signal(SIGTERM);
}

void soak_run::kill_instance(const scheduled_fault& fault, const bool /*begins*/) {
    this->states[fault.subject].ending = true;
    this->tracker.disturb(fault.subject);
    this->gateways.instances[fault.subject]->kill();
}

void soak_run::freeze_instance(const scheduled_fault& fault, const bool begins) {
    auto& process = *this->gateways.instances[fault.subject];
    auto& state = this->states[fault.subject];
    this->tracker.disturb(fault.subject);
    this->tracker.restart(fault.subject);
    state.frozen += begins ? 1 : -1;
    if (begins && process.running()) {
        static_cast<void>(process.freeze());
    } else if (state.frozen <= 0) {
        state.frozen = 0;
        process.wake();
    }
}

void soak_run::reload_instance(const scheduled_fault& fault, const bool /*begins*/) {
    if (!this->states[fault.subject].ending) {
        this->tracker.plan(fault.subject, false);
    }
    this->gateways.instances[fault.subject]->signal(SIGHUP);
}

void soak_run::reset_callers(const scheduled_fault& fault, const bool /*begins*/) {
    this->tracker.disturb(fault.subject);
    for (const auto& caller : this->callers) {
        caller->reset(fault.subject);
    }
}

void soak_run::disturb_store(const scheduled_fault& fault, const bool begins) {
    constexpr milliseconds slow_response{800};
    this->store_faults[fault.kind] += begins ? 1 : -1;
    this->store.away = this->store_faults[fault_kind::store_refuses] > 0;
    this->store.silent = this->store_faults[fault_kind::store_silent] > 0;
    this->store.loses_responses = this->store_faults[fault_kind::store_loses_responses] > 0;
    this->store.response_delay = this->store_faults[fault_kind::store_slow] > 0 ? slow_response : milliseconds::zero();
}

void soak_run::return_from_copy(const scheduled_fault& /*fault*/, const bool begins) {
    constexpr milliseconds rewrite_delay{1'000};
    if (begins) {
        this->store.save_copy();
        return;
    }
    this->store.return_from_copy();
    // The operator and the targets write again what was lost.
    this->loop.after(rewrite_delay, [this] {
        this->store.put_config(++this->version, this->context.prefix);
        for (const auto& target : this->targets) {
            target->register_again();
            target->remove_former();
        }
    });
}

void soak_run::change_config(const scheduled_fault& /*fault*/, const bool /*begins*/) {
    this->context.prefix = this->context.prefix == "/put/" ? "/place/" : "/put/";
    this->store.put_config(++this->version, this->context.prefix);
}

void soak_run::burst(const scheduled_fault& /*fault*/, const bool begins) {
    this->context.bursts += begins ? 1 : -1;
}

void soak_run::restart_target(const scheduled_fault& fault, const bool /*begins*/) {
    constexpr milliseconds entry_lifetime{3'000};
    auto& target = *this->targets[fault.subject];
    target.restart();
    this->loop.after(entry_lifetime, [&target] { target.remove_former(); });
}

void soak_run::leave_target(const scheduled_fault& fault, const bool begins) {
    if (begins) {
        this->targets[fault.subject]->leave(fault.kind == fault_kind::drain_target);
    } else {
        this->restart_target(fault, true);
        this->targets[fault.subject]->remove_former();
    }
}

void soak_run::reset_target(const scheduled_fault& fault, const bool /*begins*/) {
    this->targets[fault.subject]->reset();
}

void soak_run::disturb_target(const scheduled_fault& fault, const bool begins) {
    auto& target = *this->targets[fault.subject];
    if (begins) {
        target.begin(fault.kind);
    } else {
        target.end(fault.kind);
    }
}

} // namespace soak

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "common/event_loop.hpp"
#include "common/http_server.hpp"
#include "common/journal.hpp"
#include "common/loop_thread.hpp"
#include "common/program.hpp"
#include "common/stop_signal.hpp"

namespace standin {

namespace {

using connection_pointer = std::shared_ptr<http_connection>;
using loop_time = event_loop::clock_type::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::string_view work_prefix = "/work/";

struct target_settings {
    std::uint16_t port{};
    std::string service{};
    std::size_t slots{};
    std::size_t connections{};
    microseconds service_time{};
    std::map<std::string, microseconds, std::less<>> kind_times{};
    bool exponential{};
    std::uint64_t seed{};
    milliseconds accept_delay{};
    milliseconds probe_time{};
    bool probe_takes_slot{};
    milliseconds report_lag{};
    bool report_mislead{};
    milliseconds cold_start{};
    milliseconds noise_every{};
};

/*! @brief Behaviour set by `PUT /control`; see docs/md/standin.md. */
struct target_behaviour {
    bool draining{};
    std::uint64_t shed_percent{};
    std::string shed_id{};
    bool fail_fast{};
    int fail_status{500};
    std::string cut_body{"none"};
    bool never_answer{};
    std::uint64_t answer_delay_ms{};
    std::uint64_t drop_requests{};
    std::uint64_t reset_requests{};
    std::uint64_t close_after_answer{};
    bool name_requests{true};
    std::uint64_t late_copies{};
};

struct target_counts {
    std::uint64_t received{};
    std::uint64_t started{};
    std::uint64_t finished{};
    std::uint64_t cancelled{};
    std::uint64_t shed{};
    std::uint64_t failed{};
    std::uint64_t dropped{};
    std::uint64_t probes{};
    std::uint64_t discarded_probes{};
    std::uint64_t late_copies{};
    microseconds slot_busy{};
    microseconds probe_busy{};
};

/*! @brief Work that waits for a slot or holds one. */
struct job {
    std::string id{};
    std::string kind{};
    std::string body{};
    std::int64_t deadline_unix_ms{};
    connection_pointer connection{};
    bool probe{};
    bool running{};
    /*! @brief Work left, in microseconds at normal speed. */
    double work_left{};
    loop_time started{};
    loop_time updated{};
    event_loop::timer_id timer{};
};
using job_pointer = std::shared_ptr<job>;

[[nodiscard]] std::int64_t wall_us() {
    return std::chrono::duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

[[nodiscard]] std::int64_t header_number(const http_request& request, const std::string& name) {
    const auto text = request.headers.get(name, "");
    std::int64_t value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc{} ? value : 0;
}

/*! @brief One target; all functions run in the thread of its loop. */
class target {
public:
    target(event_loop& serving, const target_settings& given, const journal& events)
        : loop{serving}, settings{given}, log{events}, name{given.service + '-' + std::to_string(given.port)},
          random{given.seed + given.port}, noise_random{given.seed * 31U + given.port},
          server{serving,
                 given.port,
                 {given.connections, given.accept_delay},
                 [this](const http_request& request, const connection_pointer& connection) {
                     this->handle(request, connection);
                 }} {
        if (given.cold_start.count() > 0) {
            this->begin_cold_start(given.cold_start);
        }
        this->schedule_noise();
    }

private:
    struct past_load {
        loop_time time{};
        std::size_t in_flight{};
        std::size_t queued{};
    };

    void handle(const http_request& request, const connection_pointer& connection) {
        const bool work = request.path.starts_with(work_prefix) && request.path.size() > work_prefix.size();
        if (work && request.method == "POST") {
            this->accept_work(request, connection);
        } else if (work && request.method == "DELETE") {
            this->cancel(request.path.substr(work_prefix.size()), connection);
        } else if (request.path == "/load" && request.method == "GET") {
            this->accept_probe(request, connection);
        } else if (request.path == "/control" && request.method == "PUT") {
            this->set_behaviour(request, connection);
        } else if (request.path == "/control/counts" && request.method == "GET") {
            this->get_counts(connection);
        } else {
            connection->respond({404, {}, "text/plain", {}});
        }
    }

    void record(const std::string_view event, const job& work) const {
        if (this->log.enabled()) {
            this->log.write(nlohmann::json{
                {"event", event},
                {"target", this->name},
                {"id", work.id},
                {"kind", work.kind},
                {"digest", body_digest(work.body)},
                {"wall_us",
                 wall_us()}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        }
    }

    [[nodiscard]] http_response response(const int status, std::string body = {},
                                         std::string content_type = "application/json") {
        auto headers = this->report();
        return {status, std::move(body), std::move(content_type), std::move(headers)};
    }

    /*! @brief Adds the id of the request to its answer. */
    [[nodiscard]] http_response named(const job& work, http_response answer) const {
        if (this->behaviour.name_requests) {
            answer.headers.emplace_back("Request-Id", work.id);
        }
        return answer;
    }

    void respond(const job& work, const http_response& response) {
        const auto answer = this->named(work, response);
        if (this->behaviour.late_copies > 0U) {
            this->last_answers[work.connection] = to_bytes(answer, true);
        }
        work.connection->respond(answer);
    }

    /*! @brief Sends the last answer on a connection once more, where the answer to the next request is due. */
    void send_late_copy(const connection_pointer& connection) {
        const auto position = this->last_answers.find(connection);
        if (position == this->last_answers.end()) {
            return;
        }
        const auto bytes = std::move(position->second);
        this->last_answers.erase(position);
        if (this->behaviour.late_copies > 0U) {
            --this->behaviour.late_copies;
            ++this->counts.late_copies;
            connection->send(bytes);
        }
    }

    [[nodiscard]] std::vector<std::pair<std::string, std::string>> report() {
        past_load shown{{}, this->running.size(), this->queue.size()};
        if (this->settings.report_lag.count() > 0) {
            const auto time = event_loop::clock_type::now() - this->settings.report_lag;
            shown = {};
            while (this->history.size() > 1U && this->history[1U].time <= time) {
                this->history.pop_front();
            }
            if (!this->history.empty() && this->history.front().time <= time) {
                shown = this->history.front();
            }
        }
        if (this->settings.report_mislead) {
            shown = {};
        }
        std::vector<std::pair<std::string, std::string>> headers{
            {"Load", "in_flight=" + std::to_string(shown.in_flight) + ";queue=" + std::to_string(shown.queued)}};
        if (this->behaviour.draining) {
            headers.emplace_back("Draining", "1");
        }
        return headers;
    }

    void remember_load() {
        if (this->settings.report_lag.count() > 0) {
            this->history.push_back({event_loop::clock_type::now(), this->running.size(), this->queue.size()});
        }
    }

    void shed(const job& work) {
        ++this->counts.shed;
        this->record("shed", work);
        auto answer = this->response(503);
        answer.headers.emplace_back("Shed", this->behaviour.shed_id.empty() ? work.id : this->behaviour.shed_id);
        this->respond(work, answer);
    }

    void accept_work(const http_request& request, const connection_pointer& connection) {
        const auto work = std::make_shared<job>();
        work->id = request.headers.get("Request-Id", "");
        work->kind = request.path.substr(work_prefix.size());
        work->body = request.body;
        work->deadline_unix_ms = header_number(request, "Deadline-Unix-Ms");
        work->connection = connection;
        ++this->counts.received;
        this->record("receive", *work);
        this->send_late_copy(connection);
        if (this->behaviour.drop_requests > 0U || this->behaviour.reset_requests > 0U) {
            const bool drop = this->behaviour.drop_requests > 0U;
            --(drop ? this->behaviour.drop_requests : this->behaviour.reset_requests);
            ++this->counts.dropped;
            this->record("drop", *work);
            drop ? connection->close() : connection->reset();
            return;
        }
        if (this->behaviour.fail_fast) {
            ++this->counts.failed;
            this->record("fail", *work);
            this->respond(*work, this->response(this->behaviour.fail_status));
            return;
        }
        if (this->random() % 100U < this->behaviour.shed_percent || expired(*work)) {
            this->shed(*work);
            return;
        }
        work->work_left = this->draw_work(work->kind);
        this->known[work->id] = work;
        this->enqueue(work);
    }

    [[nodiscard]] double draw_work(const std::string& kind) {
        const auto position = this->settings.kind_times.find(kind);
        const auto mean = static_cast<double>(
            (position == this->settings.kind_times.end() ? this->settings.service_time : position->second).count());
        if (!this->settings.exponential || mean <= 0.0) {
            return mean;
        }
        return std::exponential_distribution<double>{1.0 / mean}(this->random);
    }

    [[nodiscard]] static bool expired(const job& work) {
        return work.deadline_unix_ms > 0 && wall_us() > work.deadline_unix_ms * 1000;
    }

    void enqueue(const job_pointer& work) {
        this->queue.push_back(work);
        this->start_waiting();
        this->remember_load();
    }

    void start_waiting() {
        while (!this->cold && !this->queue.empty() && this->running.size() < this->settings.slots) {
            const auto work = this->queue.front();
            this->queue.pop_front();
            if (expired(*work)) {
                if (work->probe) {
                    this->discard_probe(*work);
                } else {
                    this->forget(work);
                    this->shed(*work);
                }
                continue;
            }
            work->running = true;
            work->started = event_loop::clock_type::now();
            work->updated = work->started;
            this->running.push_back(work);
            if (!work->probe) {
                ++this->counts.started;
                this->record("start", *work);
            }
            this->schedule_finish(work);
        }
    }

    void schedule_finish(const job_pointer& work) {
        const auto left = microseconds{std::llround(std::ceil(work->work_left * this->slow_factor))};
        work->timer = this->loop.after(left, [this, work] { this->finish(work); });
    }

    void set_slow_factor(const double factor) {
        const auto now = event_loop::clock_type::now();
        for (const auto& work : this->running) {
            const std::chrono::duration<double, std::micro> passed = now - work->updated;
            work->work_left = std::max(0.0, work->work_left - passed.count() / this->slow_factor);
            work->updated = now;
        }
        this->slow_factor = factor;
        for (const auto& work : this->running) {
            this->loop.cancel(work->timer);
            this->schedule_finish(work);
        }
    }

    void leave_slot(const job_pointer& work) {
        std::erase(this->running, work);
        const auto busy = std::chrono::duration_cast<microseconds>(event_loop::clock_type::now() - work->started);
        (work->probe ? this->counts.probe_busy : this->counts.slot_busy) += busy;
    }

    void forget(const job_pointer& work) {
        const auto position = this->known.find(work->id);
        if (position != this->known.end() && position->second == work) {
            this->known.erase(position);
        }
    }

    void finish(const job_pointer& work) {
        this->leave_slot(work);
        if (work->probe) {
            this->start_waiting();
            this->remember_load();
            work->connection->respond(this->response(200, "{}"));
            return;
        }
        ++this->counts.finished;
        this->forget(work);
        this->record("finish", *work);
        this->start_waiting();
        this->remember_load();
        if (this->behaviour.never_answer) {
            return;
        }
        if (this->behaviour.answer_delay_ms > 0U) {
            this->loop.after(milliseconds{this->behaviour.answer_delay_ms}, [this, work] { this->answer(*work); });
        } else {
            this->answer(*work);
        }
    }

    void answer(const job& work) {
        const auto body =
            nlohmann::json{{"target", this->name}, {"request_id", work.id}, {"kind", work.kind}, {"body", work.body}};
        const auto full = this->response(200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        if (this->behaviour.cut_body != "none") {
            work.connection->send_and_close(this->cut(this->named(work, full)));
            return;
        }
        this->respond(work, full);
        if (this->behaviour.close_after_answer > 0U) {
            --this->behaviour.close_after_answer;
            work.connection->close();
        }
    }

    // The first part of a response as the behaviour `cut_body` names it.
    [[nodiscard]] std::string cut(const http_response& full) const {
        if (this->behaviour.cut_body == "length") {
            const auto bytes = to_bytes(full, true);
            return bytes.substr(0U, bytes.size() - full.body.size() / 2U);
        }
        std::string bytes = "HTTP/1.1 200 OK\r\n";
        for (const auto& [field, value] : full.headers) {
            bytes.append(field).append(": ").append(value).append("\r\n");
        }
        if (this->behaviour.cut_body == "head") {
            return bytes;
        }
        char size[17] = {};
        std::to_chars(std::begin(size), std::end(size) - 1, full.body.size(), 16);
        bytes.append("Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            .append(size)
            .append("\r\n");
        if (this->behaviour.cut_body == "chunked") {
            return bytes.append(full.body.substr(0U, full.body.size() / 2U));
        }
        bytes.append(full.body).append("\r\n");
        return this->behaviour.cut_body == "chunked_end" ? bytes : bytes.append("0\r\n\r\n");
    }

    void cancel(const std::string& id, const connection_pointer& connection) {
        const auto position = this->known.find(id);
        if (position == this->known.end()) {
            connection->respond({404, "{}"});
            return;
        }
        const auto work = position->second;
        const bool started = work->running;
        this->known.erase(position);
        ++this->counts.cancelled;
        this->record("cancel", *work);
        if (started) {
            this->loop.cancel(work->timer);
            this->leave_slot(work);
        } else {
            std::erase(this->queue, work);
        }
        this->start_waiting();
        this->remember_load();
        connection->respond({200, nlohmann::json{{"started", started}}.dump()});
        auto answer = this->response(started ? 500 : 503);
        if (!started) {
            answer.headers.emplace_back("Shed", id);
        }
        this->respond(*work, answer);
    }

    void accept_probe(const http_request& request, const connection_pointer& connection) {
        const auto work = std::make_shared<job>();
        work->probe = true;
        work->connection = connection;
        work->deadline_unix_ms = header_number(request, "Deadline-Unix-Ms");
        work->work_left = static_cast<double>(microseconds{this->settings.probe_time}.count());
        if (expired(*work)) {
            this->discard_probe(*work);
            return;
        }
        ++this->counts.probes;
        if (this->settings.probe_takes_slot) {
            this->enqueue(work);
        } else if (this->settings.probe_time.count() > 0) {
            this->counts.probe_busy += this->settings.probe_time;
            this->loop.after(this->settings.probe_time,
                             [this, connection] { connection->respond(this->response(200, "{}")); });
        } else {
            connection->respond(this->response(200, "{}"));
        }
    }

    void discard_probe(const job& work) {
        ++this->counts.discarded_probes;
        work.connection->respond({503, {}, "text/plain", {}});
    }

    void begin_cold_start(const milliseconds time) {
        this->cold = true;
        this->loop.cancel(this->cold_timer);
        this->cold_timer = this->loop.after(time, [this] {
            this->cold = false;
            this->start_waiting();
            this->remember_load();
        });
    }

    // Noisy neighbours of section 1.2 of the design: 10 to 100 times slower for 50 ms to 2 s.
    void schedule_noise() {
        if (this->settings.noise_every.count() <= 0) {
            return;
        }
        const auto mean = static_cast<double>(microseconds{this->settings.noise_every}.count());
        const auto gap =
            microseconds{std::llround(std::exponential_distribution<double>{1.0 / mean}(this->noise_random))};
        std::uniform_real_distribution<double> uniform{0.0, 1.0};
        const double factor = 10.0 * std::pow(10.0, uniform(this->noise_random));
        const auto length = microseconds{std::llround(50'000.0 * std::pow(40.0, uniform(this->noise_random)))};
        this->loop.after(gap, [this, factor, length] {
            this->set_slow_factor(factor);
            this->loop.after(length, [this] {
                this->set_slow_factor(1.0);
                this->schedule_noise();
            });
        });
    }

    void schedule_slowness(const nlohmann::json& json) {
        const auto factor = std::max(json.at("slow_factor").get<double>(), 0.001);
        const milliseconds length{json.value("slow_for_ms", std::uint64_t{0U})};
        const milliseconds wait{json.value("slow_after_ms", std::uint64_t{0U})};
        const auto begin = [this, factor, length] {
            this->set_slow_factor(factor);
            if (length.count() > 0) {
                this->loop.after(length, [this] { this->set_slow_factor(1.0); });
            }
        };
        if (wait.count() > 0) {
            this->loop.after(wait, begin);
        } else {
            begin();
        }
    }

    void set_behaviour(const http_request& request, const connection_pointer& connection) {
        try {
            const auto json = nlohmann::json::parse(request.body);
            const auto set = [&json](const char* field, auto& value) { value = json.value(field, value); };
            auto changed = this->behaviour;
            set("draining", changed.draining);
            set("shed_percent", changed.shed_percent);
            set("shed_id", changed.shed_id);
            set("fail_fast", changed.fail_fast);
            set("fail_status", changed.fail_status);
            set("cut_body", changed.cut_body);
            set("never_answer", changed.never_answer);
            set("answer_delay_ms", changed.answer_delay_ms);
            set("drop_requests", changed.drop_requests);
            set("reset_requests", changed.reset_requests);
            set("close_after_answer", changed.close_after_answer);
            set("name_requests", changed.name_requests);
            set("late_copies", changed.late_copies);
            this->behaviour = changed;
            if (json.contains("slow_factor")) {
                this->schedule_slowness(json);
            }
            if (const auto cold_ms = json.value("cold_start_ms", std::uint64_t{0U}); cold_ms > 0U) {
                this->begin_cold_start(milliseconds{cold_ms});
            }
            connection->respond({200, "{}"});
        } catch (const nlohmann::json::exception& error) {
            connection->respond({400, error.what(), "text/plain", {}});
        }
    }

    void get_counts(const connection_pointer& connection) const {
        const auto& shown = this->counts;
        auto busy = shown.slot_busy;
        const auto now = event_loop::clock_type::now();
        for (const auto& work : this->running) {
            busy += work->probe ? microseconds{} : std::chrono::duration_cast<microseconds>(now - work->started);
        }
        connection->respond({200, nlohmann::json{{"target", this->name},
                                                 {"received", shown.received},
                                                 {"started", shown.started},
                                                 {"finished", shown.finished},
                                                 {"cancelled", shown.cancelled},
                                                 {"shed", shown.shed},
                                                 {"failed", shown.failed},
                                                 {"dropped", shown.dropped},
                                                 {"probes", shown.probes},
                                                 {"discarded_probes", shown.discarded_probes},
                                                 {"late_copies", shown.late_copies},
                                                 {"connections", this->server.accepted()},
                                                 {"open_connections", this->server.open()},
                                                 {"running", this->running.size()},
                                                 {"queued", this->queue.size()},
                                                 {"slow_factor", this->slow_factor},
                                                 {"slot_busy_us", busy.count()},
                                                 {"probe_busy_us", shown.probe_busy.count()}}
                                      .dump()});
    }

    event_loop& loop;
    target_settings settings;
    const journal& log;
    std::string name;
    std::mt19937_64 random;
    // Drawn apart from the times of requests, so that slow spells do not depend on the traffic.
    std::mt19937_64 noise_random;
    target_behaviour behaviour{};
    target_counts counts{};
    std::deque<job_pointer> queue{};
    std::vector<job_pointer> running{};
    std::unordered_map<std::string, job_pointer> known{};
    std::map<std::weak_ptr<http_connection>, std::string, std::owner_less<>> last_answers{};
    std::deque<past_load> history{};
    double slow_factor{1.0};
    bool cold{};
    event_loop::timer_id cold_timer{};
    http_server server;
};

/*! @brief A target with a loop and a thread of its own, so that targets in one process do not delay each other. */
struct hosted_target {
    event_loop loop{};
    target served;
    loop_thread thread;

    hosted_target(const target_settings& settings, const journal& events)
        : served{this->loop, settings, events}, thread{this->loop} {}
};

[[nodiscard]] std::vector<std::string> split(const std::string& text, const char separator) {
    std::vector<std::string> parts{};
    for (std::size_t begin = 0U; begin < text.size();) {
        const auto end = std::min(text.find(separator, begin), text.size());
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1U;
    }
    return parts;
}

void run_targets(int argc, char** argv) {
    using std::uint64_t;
    TCLAP::CmdLine command{"Stand-in for targets", ' ', "1"};
    command.setExceptionHandling(false);
    const auto text = [&command](const char* name, const char* help, const char* fallback) {
        return std::make_unique<TCLAP::ValueArg<std::string>>("", name, help, false, fallback, "text", command);
    };
    const auto number = [&command](const char* name, const char* help, const uint64_t fallback) {
        return std::make_unique<TCLAP::ValueArg<uint64_t>>("", name, help, false, fallback, "number", command);
    };
    const auto port = number("port", "Port on 127.0.0.1", 0U);
    const auto ports = text("ports", "Ports of several independent targets, separated by commas", "");
    const auto service = text("service", "Name of the service", "service");
    const auto slots = number("slots", "Requests worked on at once", 2U);
    const auto connections = number("connections", "Connections served at once; further ones wait", 220U);
    const auto service_time = number("service-time-us", "Mean time of a request", 5000U);
    const auto kind_times = text("kind-times", "Times of kinds as KIND=US,...; others take the mean time", "");
    const auto distribution = text("distribution", "fixed or exponential", "fixed");
    const auto seed = number("seed", "Seed of random times", 1U);
    const auto accept_delay = number("accept-delay-ms", "Time to open a connection", 1U);
    const auto probe = number("probe-ms", "Time to answer a probe", 0U);
    const auto report_lag = number("report-lag-ms", "Age of the load reported", 0U);
    const auto cold_start = number("cold-start-ms", "Time after the start in which no work is begun", 0U);
    const auto noise = number("noise-every-ms", "Mean time between slow spells; 0 for none", 0U);
    const auto journal_path = text("journal", "File for events", "");
    TCLAP::SwitchArg mislead{"", "report-mislead", "Report no load", command};
    TCLAP::SwitchArg probe_slot{"", "probe-takes-slot", "Answer probes in a slot", command};
    command.parse(argc, argv);

    const milliseconds accept_time{accept_delay->getValue()};
    target_settings settings{};
    settings.service = service->getValue();
    settings.slots = slots->getValue();
    settings.connections = connections->getValue();
    settings.service_time = microseconds{service_time->getValue()};
    settings.exponential = distribution->getValue() == "exponential";
    settings.seed = seed->getValue();
    settings.accept_delay = accept_time;
    settings.probe_time = milliseconds{probe->getValue()};
    settings.probe_takes_slot = probe_slot.getValue();
    settings.report_lag = milliseconds{report_lag->getValue()};
    settings.report_mislead = mislead.getValue();
    settings.cold_start = milliseconds{cold_start->getValue()};
    settings.noise_every = milliseconds{noise->getValue()};
    if (!settings.exponential && distribution->getValue() != "fixed") {
        throw TCLAP::CmdLineParseException{"must be fixed or exponential", "distribution"};
    }
    for (const auto& entry : split(kind_times->getValue(), ',')) {
        const auto parts = split(entry, '=');
        if (parts.size() != 2U) {
            throw TCLAP::CmdLineParseException{"must be KIND=US,...", "kind-times"};
        }
        settings.kind_times[parts[0U]] = microseconds{std::stoll(parts[1U])};
    }
    auto all_ports = split(ports->getValue(), ',');
    if (port->getValue() > 0U) {
        all_ports.push_back(std::to_string(port->getValue()));
    }
    if (all_ports.empty()) {
        throw TCLAP::CmdLineParseException{"one of --port and --ports is needed", "port"};
    }
    block_stop_signals();
    const auto events = journal_path->getValue().empty() ? journal{} : journal{journal_path->getValue()};
    std::list<hosted_target> targets{};
    for (const auto& each : all_ports) {
        settings.port = static_cast<std::uint16_t>(std::stoul(each));
        targets.emplace_back(settings, events);
    }
    announce_ready();
    wait_for_stop_signal();
}

} // namespace

} // namespace standin

int main(int argc, char** argv) {
    return standin::run_program([&] { standin::run_targets(argc, argv); });
}

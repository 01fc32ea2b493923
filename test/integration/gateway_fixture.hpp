#pragma once

#include <algorithm>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <fake/loopback_target.hpp>
#include <mangopulley/core/clock.hpp>
#include <mangopulley/http/http_channel.hpp>
#include <nlohmann/json.hpp>
#include <sys/stat.h>

#include "advice_judge.hpp"
#include "gateway_instances.hpp"
#include "object_store.hpp"

// TestHarness.h would define `new` as a macro, which breaks headers of Boost that a test includes after this one.
#include <CppUTest/Utest.h>
#include <CppUTest/UtestMacros.h>

namespace integration {

using namespace mangopulley;
using fake::loopback_target;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::size_t instance_count = 3U;
inline constexpr std::size_t target_count = 4U;
inline constexpr milliseconds work_time{30};
inline constexpr milliseconds long_work_time{1'100};
inline constexpr milliseconds bound{2'000};

/*! @brief What callers were told, and what the targets ran. */
struct history {
    int asked{};
    int answered{};
    int refused{};
    int unknown{};
    int not_found{};
    int mixed{};
    std::map<std::string, int> runs{};
    std::set<std::string> said_not_run{};
    /*! @brief Requests without a response with status 200 so far. */
    std::set<std::string> open{};
};

/*! @brief What is in force: a path with a route, one that only the former configuration has, departed targets. */
struct expected_state {
    std::string current{};
    std::string former{};
    std::vector<std::string> departed{};
};

/*! @brief How often an instance answered a path with each status. */
using told_statuses = std::map<std::pair<std::size_t, std::string>, std::map<int, int>>;

/*! @brief Instances of the gateway as real processes, with a store, targets and callers in the test's own process. */
struct gateway_fixture : Utest, gateway_instances {
    system_clock_source time{};
    event_loop loop{time};
    std::unique_ptr<object_store> store{};
    std::vector<std::unique_ptr<loopback_target>> targets{};
    std::map<int, std::unique_ptr<http_channel>> callers{};
    history seen{};
    std::string prefix{"/put/"};
    std::vector<std::string> addresses{};
    time_point next_refresh{};
    std::size_t next_directory{};
    std::size_t next_instance{};
    int next_caller{};
    /*! @brief Requests that a target never answers, those that it works on for long, and those whose connection it
     * closes. */
    std::set<std::string> stuck{};
    std::set<std::string> slow{};
    std::set<std::string> lost{};
    /*! @brief Requests that a target answers with these bytes and then others without end. */
    std::map<std::string, std::string> endless{};
    std::vector<timer_id> floods{};
    /*! @brief Targets that say in their answers that they leave, and those that reject requests and ask for a pause. */
    std::set<std::string> leaving{};
    std::map<std::string, milliseconds> pausing{};
    integration::advice_judge judge{};
    told_statuses told{};
    /*! @brief Longest turn of the loop, in which targets and callers stood still. */
    duration longest_turn{};
    /*! @brief Faults found so far, one a line, so that one run shows all. */
    std::string faults{};

    void setup() override {
        std::filesystem::create_directories(folder);
        store = std::make_unique<object_store>(loop);
        for (std::size_t index = 0U; index < target_count; ++index) {
            add_target("t" + std::to_string(index));
        }
        instances.resize(instance_count);
    }

    void teardown() override {
        for (const auto flood : floods) {
            loop.cancel(flood);
        }
        callers.clear();
        instances.clear();
        targets.clear();
        store.reset();
        std::filesystem::remove_all(folder);
    }

    void add_target(const std::string& id) {
        targets.push_back(std::make_unique<loopback_target>(
            loop, id,
            [this, id](loopback_target::connection& from, const http_request& request) { run(id, from, request); }));
        store->put_target(id, targets.back()->endpoint(), "ready");
    }

    /*! @brief Sends bytes for as long as the instance keeps the connection open. */
    void send_without_end(loopback_target::connection& from, const std::string& beginning) {
        from.write(beginning);
        floods.push_back(loop.every(milliseconds{1}, [&from, part = std::string(200'000U, 'x')] {
            if (from.bytes && from.bytes->unsent() == 0U) {
                from.write(part);
            }
        }));
    }

    /*! @brief Rejects a request and asks for a pause. */
    void reject(const std::string& target, loopback_target::connection& from, const std::string& id) {
        const auto pause = pausing[target];
        judge.asked_for_pause(id, target, pause, time.now());
        from.write("HTTP/1.1 503 Full\r\nMangopulley-Not-Executed: 1\r\nMangopulley-Request-Id: " + id +
                   "\r\nRetry-After: " + std::to_string(std::chrono::duration<double>(pause).count()) +
                   "\r\nContent-Length: 0\r\n\r\n");
    }

    void run(const std::string& target, loopback_target::connection& from, const http_request& request) {
        const auto id = request.head.get("Mangopulley-Request-Id", "");
        judge.arrived(id, target, time.now());
        if (pausing.contains(target)) {
            reject(target, from, id);
            return;
        }
        ++seen.runs[id];
        if (stuck.contains(id)) {
            return;
        }
        if (lost.contains(id)) {
            from.close();
            return;
        }
        if (endless.contains(id)) {
            send_without_end(from, endless[id]);
            return;
        }
        const auto body = "ran " + id;
        if (leaving.contains(target)) {
            judge.said_leaving(id, target, time.now() + work_time);
        }
        const auto text =
            "HTTP/1.1 200 OK\r\nMangopulley-Request-Id: " + id +
            (leaving.contains(target) ? "\r\nServer-Leaving: 1" : "") +
            "\r\nMangopulley-Response-Stamp: s\r\nMangopulley-Server-Load: 0,0,2,100\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        // The connection stays with its target until the answer, unless the caller's instance closes it.
        loop.after(slow.contains(id) ? long_work_time : work_time, [&from, text] {
            if (from.bytes) {
                from.write(text);
            }
        });
    }

    /*! @brief Returns an instance that callers use now. */
    std::size_t named_instance() const {
        for (std::size_t index = 0U; index < instance_count; ++index) {
            if (!addresses.empty() && addresses.front() == ip(index) + ':' + port(caller_port_number)) {
                return index;
            }
        }
        FAIL("no instance is named to callers");
        return 0U;
    }

    /*! @brief Returns the text of an instance's settings. */
    std::string settings(const std::size_t index) const {
        return gateway_instances::settings(index, store->endpoint());
    }

    void start(const std::size_t index) {
        std::ofstream{settings_path(index)} << settings(index);
        launch(index);
    }

    /*! @brief Asks one instance until it answers. */
    void await_answer(const std::size_t index) {
        auto& answered = told[{index, "/get/"}][200];
        answered = 0;
        pass_until([this, index, &answered] {
            ask_directly(index, "/get/");
            pass(milliseconds{50});
            return answered > 0;
        });
        CHECK_TRUE_TEXT(answered > 0, instances[index]->output().c_str());
    }

    /*! @brief Starts an instance, sends it a signal while it opens its settings, and then lets it read them. */
    void signal_during_start(const std::size_t index, const int signal) {
        const auto path = settings_path(index);
        LONGS_EQUAL(0, ::mkfifo(path.c_str(), 0600));
        launch(index);
        // Opens once the instance has opened the other end.
        std::ofstream pipe{path};
        instances[index]->signal(signal);
        const auto complete = folder / "complete.yaml";
        std::ofstream{complete} << settings(index);
        std::filesystem::rename(complete, path);
        pipe << settings(index);
        pipe.close();
    }

    void pass(const duration length) {
        const auto end = time.now() + length;
        for (auto began = time.now(); began < end; began = time.now()) {
            loop.turn(milliseconds{5});
            longest_turn = std::max(longest_turn, time.now() - began);
        }
    }

    /*! @brief Runs the loop until a condition holds, 30 s at most; the length depends on how busy the machine is. */
    void pass_until(const std::function<bool()>& condition) {
        const auto end = time.now() + seconds{30};
        while (!condition() && time.now() < end) {
            pass(milliseconds{10});
        }
    }

    /*! @brief Sends one request over a connection of its own. */
    void call(const std::string& endpoint, const std::string& text,
              std::function<void(const exchange_outcome& outcome)> done) {
        const int caller = next_caller++;
        callers[caller] = std::make_unique<http_channel>(loop, endpoint, stream_timing{}, 100'000U);
        callers[caller]->send(text, false, {}, [this, caller, done = std::move(done)](exchange_outcome&& outcome) {
            done(outcome);
            // Destroyed by the next turn: this is the channel's own callback.
            loop.after(duration::zero(), [this, caller] { callers.erase(caller); });
        });
    }

    /*! @brief Sends one request to an address of the list and notes what becomes of it; tries another when it cannot
     * connect. */
    void ask(const std::string& method, const std::string& path, const std::string& id, const std::size_t tries = 2U) {
        const auto endpoint =
            addresses.empty() ? ip(0U) + ':' + port(caller_port_number) : addresses[next_instance++ % addresses.size()];
        judge.sent(id, endpoint, time.now());
        seen.open.insert(id);
        const auto text = method + " " + path + "x HTTP/1.1\r\nHost: h.example\r\nMangopulley-Request-Id: " + id +
                          "\r\nMangopulley-Deadline-Ms: 2000\r\n" +
                          (method == "PUT" ? "Content-Length: 2\r\n\r\nab" : "\r\n");
        call(endpoint, text, [=, this](const exchange_outcome& outcome) {
            if (outcome.failure == network_error::code::connect_failed && tries > 0U) {
                ask(method, path, id, tries - 1U);
            } else {
                note(id, outcome);
            }
        });
    }

    /*! @brief Asks one instance after the other for the addresses of the host, as callers do when their list is old. */
    void refresh_addresses() {
        if (time.now() < next_refresh) {
            return;
        }
        next_refresh = time.now() + milliseconds{300};
        const auto endpoint = ip(next_directory++ % instance_count) + ':' + port(directory_port_number);
        call(endpoint, "GET /v1/resolve?name=h.example&region=r&zone=z HTTP/1.1\r\nHost: d\r\n\r\n",
             [this](const exchange_outcome& outcome) {
                 if (!outcome.failure && outcome.response.status() == 200) {
                     const auto answer = json::parse(outcome.response.body);
                     addresses = answer.at("addresses").get<std::vector<std::string>>();
                     const duration lifetime = std::chrono::duration_cast<duration>(
                         std::chrono::duration<double>{answer.at("ttl_s").get<double>()});
                     next_refresh = time.now() + lifetime;
                 }
             });
    }

    void note(const std::string& id, const exchange_outcome& outcome) {
        const int status = outcome.failure ? 0 : outcome.response.status();
        if (status == 200) {
            ++seen.answered;
            seen.open.erase(id);
            seen.mixed += outcome.response.body == "ran " + id ? 0 : 1;
        } else if (status == 503 || status == 429) {
            ++seen.refused;
            seen.said_not_run.insert(id);
        } else if (status == 404) {
            ++seen.not_found;
        } else {
            ++seen.unknown;
        }
    }

    /*! @brief Floods the instance that callers use with requests that it answers at once. */
    void flood(const int requests) {
        constexpr int requests_per_turn = 40;
        for (int number = 1; number <= requests; ++number) {
            ask("GET", "/none/", "f" + std::to_string(number));
            if (number % requests_per_turn == 0) {
                refresh_addresses();
                pass(milliseconds{10});
            }
        }
        pass(milliseconds{300});
    }

    /*! @brief Returns the largest resident memory that a process has had, in MB. */
    static std::size_t peak_memory_mb(const standin::process& process) {
        std::ifstream status{"/proc/" + std::to_string(process.id()) + "/status"};
        for (std::string line{}; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                constexpr std::size_t kilobytes_per_mb = 1'000U;
                return std::stoul(line.substr(line.find_first_of("0123456789"))) / kilobytes_per_mb;
            }
        }
        return 0U;
    }

    /*! @brief Checks that an instance has kept to its memory and answers again. */
    void check_recovered_within_memory(const std::size_t index) {
        const auto peak = peak_memory_mb(*instances[index]);
        CHECK_TRUE_TEXT(peak > 0U && peak < memory_mb, std::to_string(peak).c_str());
        // Targets count as busy for 3 s with requests whose callers have left.
        pass(milliseconds{3'300});
        seen = {};
        ask("GET", "/get/", "after-1");
        pass_until([this] { return seen.answered + seen.refused + seen.unknown > 0; });
        LONGS_EQUAL(1, seen.answered);
    }

    /*! @brief Returns the lines of all instances that contain a text. */
    std::size_t count_lines(const std::string& text) const {
        std::size_t count = 0U;
        for (const auto& instance : instances) {
            std::istringstream lines{instance->output()};
            for (std::string line{}; std::getline(lines, line);) {
                count += line.find(text) == std::string::npos ? 0U : 1U;
            }
        }
        return count;
    }

    /*! @brief Sends about 100 requests in a second, half of them not idempotent. */
    void load(const duration length) {
        const auto end = time.now() + length;
        while (time.now() < end) {
            refresh_addresses();
            const auto id = std::to_string(++seen.asked);
            if (seen.asked % 2 == 0) {
                ask("PUT", prefix, "p" + id);
            } else {
                ask("GET", "/get/", "g" + id);
            }
            pass(milliseconds{10});
        }
    }

    [[nodiscard]] std::string describe_answers() const {
        return std::to_string(seen.asked) + " asked, " + std::to_string(seen.answered) + " answered, " +
               std::to_string(seen.refused) + " refused, " + std::to_string(seen.unknown) + " without a known outcome";
    }

    /*! @brief Returns what is known of the requests that were not answered. */
    [[nodiscard]] std::string describe_unanswered() const {
        const auto longest_ms = std::chrono::duration_cast<milliseconds>(longest_turn).count();
        auto text = describe_answers() + ", longest turn of the test's loop " + std::to_string(longest_ms) + " ms\n";
        for (const auto& id : seen.open) {
            text.append(id).append(":\n").append(lines_about(id));
        }
        return text;
    }

    void check_promises() const {
        for (const auto& [id, count] : seen.runs) {
            CHECK_TRUE_TEXT(id.front() != 'p' || count == 1, "a non-idempotent request runs once at most");
            CHECK_FALSE_TEXT(id.front() == 'p' && seen.said_not_run.contains(id), "a refused request has not run");
        }
        LONGS_EQUAL_TEXT(0, seen.mixed, "every answer belongs to its request");
    }

    /*! @brief Sends a request to one instance, whether or not it is named to callers, and counts the status. */
    void ask_directly(const std::size_t index, const std::string& path) {
        const auto id = "i" + std::to_string(index) + '-' + std::to_string(++seen.asked);
        call(ip(index) + ':' + port(caller_port_number),
             "GET " + path + "x HTTP/1.1\r\nHost: h.example\r\nMangopulley-Request-Id: " + id +
                 "\r\nMangopulley-Deadline-Ms: 2000\r\n\r\n",
             [this, index, path](const exchange_outcome& outcome) {
                 ++told[{index, path}][outcome.failure ? 0 : outcome.response.status()];
             });
    }

    /*! @brief Asks every instance directly; at times so much at once that it needs all targets that it may use. */
    void ask_all(const expected_state& expected, const duration length) {
        constexpr milliseconds period{50};
        constexpr milliseconds last_answers{200};
        constexpr int burst_rounds = 12;
        constexpr int burst = 9;
        told.clear();
        for (const auto& target : targets) {
            target->received.clear();
        }
        const auto end = time.now() + length - last_answers;
        for (int round = 0; time.now() < end; ++round) {
            for (std::size_t index = 0U; index < instance_count; ++index) {
                ask_directly(index, expected.current);
                ask_directly(index, expected.former);
                // This route is in every configuration.
                for (int count = round % burst_rounds == static_cast<int>(index) ? burst : 0; count > 0; --count) {
                    ask_directly(index, "/get/");
                }
            }
            pass(period);
        }
        pass(last_answers);
    }

    loopback_target& target_of(const std::string& id) const {
        return **std::find_if(targets.begin(), targets.end(), [&id](const auto& item) { return item->id == id; });
    }

    /*! @brief Returns how many requests of an instance a target got since the last `ask_all` began. */
    std::int64_t count_received(const std::string& id, const std::size_t index) const {
        const auto sender = "i" + std::to_string(index) + '-';
        const auto& received = target_of(id).received;
        return std::count_if(received.begin(), received.end(), [&sender](const http_request& request) {
            return request.head.get("Mangopulley-Request-Id", "").starts_with(sender);
        });
    }

    void expect(const bool holds, const std::string& when, const std::string& fault) {
        if (!holds) {
            faults += when + ": " + fault + '\n';
        }
    }

    void check_routes(const expected_state& expected, const std::size_t index, const std::string& when) {
        const auto unknown = told[{index, expected.current}][404];
        const auto served = told[{index, expected.former}][200];
        const auto name = "instance " + std::to_string(index);
        expect(unknown == 0, when, name + " has no route for " + expected.current + ": " + std::to_string(unknown));
        expect(served == 0, when, name + " still serves " + expected.former + ": " + std::to_string(served));
    }

    void check_answered(const expected_state& expected, const std::size_t index, const std::string& when) {
        int all = 0;
        std::string statuses{};
        for (const auto& [status, count] : told[{index, expected.current}]) {
            all += count;
            statuses += ' ' + std::to_string(status) + " x" + std::to_string(count);
        }
        const auto answered = told[{index, expected.current}][200];
        // One in ten, and one more because some phases have few requests.
        expect(answered > 0 && (all - answered) * 10 <= all + 10, when,
               "instance " + std::to_string(index) + " does not answer, statuses:" + statuses);
    }

    /*! @brief Checks that all instances act on what is in force; one that starts may answer nothing yet. */
    void check(const expected_state& expected, const std::string& when, const std::size_t starting = instance_count) {
        for (std::size_t index = 0U; index < instance_count; ++index) {
            check_routes(expected, index, when);
            if (index != starting) {
                check_answered(expected, index, when);
            }
            for (const auto& id : expected.departed) {
                const auto count = count_received(id, index);
                expect(count == 0, when,
                       "instance " + std::to_string(index) + " uses departed " + id + ": " + std::to_string(count));
            }
        }
    }

    void check_used(const std::string& joined, const std::string& when, const std::size_t starting = instance_count) {
        for (std::size_t index = 0U; index < instance_count; ++index) {
            expect(index == starting || count_received(joined, index) > 0, when,
                   "instance " + std::to_string(index) + " does not use " + joined);
        }
    }

    /*! @brief Waits until all instances answer requests. */
    void begin() {
        store->put_config(1U, prefix);
        for (std::size_t index = 0U; index < instance_count; ++index) {
            start(index);
        }
        const auto latest = time.now() + seconds{20};
        for (int good = 0; good < 12 && time.now() < latest;) {
            const auto before = seen.answered;
            refresh_addresses();
            ask("GET", "/get/", "g0");
            pass(milliseconds{100});
            good = seen.answered > before ? good + 1 : 0;
        }
        CHECK_TRUE(seen.answered >= 12);
        seen = {};
    }
};

} // namespace integration

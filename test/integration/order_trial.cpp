#include "order_trial.hpp"

#include <algorithm>
#include <fstream>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

#include <standin/common/journal.hpp>
#include <standin/common/wait_until.hpp>

namespace integration {

namespace {

// Upper bound for what must happen soon; a busy machine can stall a process for seconds.
constexpr milliseconds soon{20'000};
// An order that waits for its deadline is answered a little after it.
constexpr milliseconds reply_margin{500};

constexpr std::size_t most_listed = 3U;

constexpr const char* catalogue_text = R"(services:
  - name: payments
    owner: tests
    targets: {slots: 2, connections: 200}
    kinds:
      - {name: release, timeout_ms: 2000}
)";

[[nodiscard]] bool has_outcome(const order_record& record, const std::string_view outcome) {
    return std::any_of(record.told.begin(), record.told.end(),
                       [outcome](const told_outcome& told) { return told.outcome == outcome; });
}

/*! @brief Names an outcome with its problem's type. */
[[nodiscard]] std::string describe(const told_outcome& told) {
    if (told.outcome.empty()) {
        return "no response";
    }
    const auto json = nlohmann::json::parse(told.body, nullptr, false);
    const auto type = json.is_object() ? json.value("type", "") : std::string{};
    return told.outcome + (type.empty() ? "" : ' ' + type.substr(type.rfind(':') + 1U));
}

/*! @brief Names what callers were told about a key in order of arrival. */
[[nodiscard]] std::string describe(const order_record& record) {
    std::string text{};
    for (const auto& told : record.told) {
        text.append(text.empty() ? "" : ", ").append(told.lookup ? "lookup " : "").append(describe(told));
    }
    return text;
}

} // namespace

std::string order_record::outcome() const {
    for (const auto* outcome : {"answered", "not-run"}) {
        if (has_outcome(*this, outcome)) {
            return outcome;
        }
    }
    return "unknown";
}

bool order_record::open() const {
    return std::all_of(this->told.begin(), this->told.end(), [](const told_outcome& told) { return told.open; });
}

standin::cluster_options order_cluster(const std::size_t targets, const std::size_t service_time_us,
                                       const std::uint64_t seed) {
    standin::cluster_options options{};
    options.binary_folder = MANGOPULLEY_BINARY_DIR;
    options.seed = seed;
    options.entries = 5U;
    options.services = {
        {order_service_name, targets, {"--service-time-us", std::to_string(service_time_us), "--slots", "2"}}};
    options.link_store = true;
    options.link_peers = true;
    return options;
}

void start_order_cluster(standin::cluster& system) {
    const auto file = system.folder() / "catalogue.yaml";
    std::ofstream{file} << catalogue_text;
    const auto applied = system.run({"catalogue", "apply", file.string(), "--store", system.store().address(),
                                     "--based-on", "0", "--operator", "test"});
    if (applied.exit_code != 0) {
        throw std::runtime_error{"catalogue not applied: " + applied.output};
    }
    system.start_entries();
    if (!wait_all_known(system, soon)) {
        throw std::runtime_error{"the entry processes do not all know each other"};
    }
}

std::optional<address_list> list_addresses(const standin::cluster& system, const std::size_t entry) {
    const auto result =
        standin::http_get(system.caller_address(entry), std::string{"/v1/addresses?service="} + order_service_name,
                          {{}, milliseconds{500}});
    const auto json = result.json();
    if (result.status != 200 || json.is_discarded()) {
        return std::nullopt;
    }
    address_list list{json.at("order_token").get<std::string>(), {}};
    for (const auto& item : json.at("addresses")) {
        list.addresses.push_back(item.at("address").get<std::string>());
    }
    return list;
}

bool wait_all_known(const standin::cluster& system, const milliseconds limit) {
    const auto all_known = [&system] {
        std::vector<nlohmann::json> states{};
        for (std::size_t entry = 0U; entry < system.entries(); ++entry) {
            states.push_back(system.state(entry));
            const auto list = list_addresses(system, entry);
            if (!states.back().is_object() || !list || list->addresses.size() < most_listed) {
                return false;
            }
        }
        return std::all_of(states.begin(), states.end(), [&states](const nlohmann::json& asked) {
            std::set<std::string> known{asked.at("instance").at("incarnation")};
            for (const auto& member : asked.at("members").at("members")) {
                if (member.at("health") != "dead") {
                    known.insert(member.at("incarnation").get<std::string>());
                }
            }
            return std::all_of(states.begin(), states.end(), [&known](const nlohmann::json& other) {
                return known.contains(other.at("instance").at("incarnation").get<std::string>());
            });
        });
    };
    return standin::wait_until(all_known, limit, milliseconds{50});
}

std::size_t order_trial::add(const std::string_view token) {
    const std::lock_guard lock{this->guard};
    const auto number = this->records.size();
    auto& record = this->records.emplace_back();
    record.key = std::string{token} + "~order-" + std::to_string(number);
    record.body = nlohmann::json{{"order", number}}.dump();
    return number;
}

told_outcome order_trial::submit(const std::size_t order, const std::size_t entry, const milliseconds timeout) {
    const auto sent = this->record(order);
    const standin::http_options options{
        {{"Idempotency-Key", sent.key}, {"Mangopulley-Timeout-Ms", std::to_string(timeout.count())}},
        timeout + reply_margin};
    return this->keep(order, this->system.request(entry, order_service_name, order_kind, sent.body, options), false);
}

told_outcome order_trial::ask(const std::size_t order, const std::size_t entry) {
    const auto path = "/v1/orders/" + this->record(order).key;
    return this->keep(order, standin::http_get(this->system.caller_address(entry), path), true);
}

told_outcome order_trial::keep(const std::size_t order, const standin::http_result& result, const bool lookup) {
    told_outcome told{result.header("Mangopulley-Outcome"), result.body, true, lookup};
    // A settled unknown comes without `Retry-After`.
    told.open = result.status == 0 || (told.outcome == "unknown" && !result.header("Retry-After").empty());
    const std::lock_guard lock{this->guard};
    this->records.at(order).told.push_back(told);
    return told;
}

void order_trial::settle(const std::vector<std::size_t>& entries, const milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    for (std::size_t round = 0U;; ++round) {
        std::size_t open = 0U;
        for (std::size_t order = 0U; order < this->size(); ++order) {
            if (this->record(order).open()) {
                open += this->ask(order, entries.at((order + round) % entries.size())).open ? 1U : 0U;
            }
        }
        if (open == 0U || std::chrono::steady_clock::now() >= end) {
            return;
        }
        std::this_thread::sleep_for(milliseconds{200});
    }
}

order_record order_trial::record(const std::size_t order) const {
    const std::lock_guard lock{this->guard};
    return this->records.at(order);
}

std::size_t order_trial::size() const {
    const std::lock_guard lock{this->guard};
    return this->records.size();
}

order_verdict order_trial::judge() const {
    std::map<std::string, std::size_t> starts{};
    order_verdict verdict{};
    for (const auto& event : this->system.journal(order_service_name)) {
        if (event.at("event") == "start") {
            ++starts[event.at("digest").get<std::string>()];
            ++verdict.starts;
        }
    }
    const std::lock_guard lock{this->guard};
    std::size_t known_starts = 0U;
    verdict.orders = this->records.size();
    for (const auto& record : this->records) {
        const auto started = starts[standin::body_digest(record.body)];
        known_starts += started;
        const auto outcome = record.outcome();
        ++verdict.outcomes[outcome];
        verdict.unknown_started += outcome == "unknown" && started > 0U ? 1U : 0U;
        const auto report = [&](const std::string& text) {
            verdict.violations.push_back(record.key + ": " + text + " (" + describe(record) + ')');
        };
        if (started > 1U) {
            report("started " + std::to_string(started) + " times");
        }
        if (started > 0U && has_outcome(record, "not-run")) {
            report("told not-run, but started");
        }
        if (started == 0U && has_outcome(record, "answered")) {
            report("told answered, but never started");
        }
        for (const auto& told : record.told) {
            ++verdict.told[describe(told)];
            const auto json = nlohmann::json::parse(told.body, nullptr, false);
            if (told.outcome == "answered" && (!json.is_object() || json.value("body", "") != record.body)) {
                report("answer of another request or cut: " + told.body);
            }
        }
    }
    if (known_starts != verdict.starts) {
        verdict.violations.push_back(std::to_string(verdict.starts - known_starts) + " starts of unknown content");
    }
    return verdict;
}

} // namespace integration

#include <chrono>
#include <functional>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <mangopulley/store/http_store_client.hpp>
#include <nlohmann/json.hpp>
#include <standin/common/http.hpp>
#include <standin/common/standin_program.hpp>
#include <standin/common/temporary_folder.hpp>
#include <standin/common/wait_until.hpp>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using mangopulley::http_store_client;
using mangopulley::store_error;
using code = enum store_error::code;
using std::chrono::milliseconds;

constexpr milliseconds client_timeout{500};
// Upper bound for what must happen soon; a busy machine can stall a process for seconds.
constexpr milliseconds soon{10'000};

/*! @brief Value of a call or the code of its error. */
template <typename Type>
struct outcome {
    std::optional<Type> value{};
    std::optional<code> error{};

    [[nodiscard]] bool failed_with(const code expected) const { return this->error == expected; }
};

template <typename Call>
[[nodiscard]] auto attempt(Call&& call) {
    using value_type = std::decay_t<decltype(*call())>;
    return boost::leaf::try_handle_all(
        [&]() -> mangopulley::result<outcome<value_type>> {
            auto result = call();
            if (!result) {
                return result.error();
            }
            return outcome<value_type>{std::move(*result), std::nullopt};
        },
        [](const store_error& error) {
            return outcome<value_type>{std::nullopt, error.code};
        },
        [] {
            // An error without its type breaks the contract; no case expects this code.
            return outcome<value_type>{std::nullopt, static_cast<code>(255)};
        });
}

} // namespace

TEST_GROUP(store_contract) {
    standin::temporary_folder folder{};
    std::optional<standin::standin_program> store{};

    void start(const std::vector<std::string>& arguments = {}) {
        this->store.emplace(MANGOPULLEY_BINARY_DIR, "store", arguments, this->folder.path());
    }

    void set_faults(const nlohmann::json& faults) const {
        standin::control(this->store->address(), "/control/faults", faults);
    }

    [[nodiscard]] std::uint64_t count(const char* name) const {
        return standin::read_json(this->store->address(), "/control/counts").at(name);
    }

    [[nodiscard]] std::string value_of(const std::string& key) const {
        http_store_client reader{this->store->address(), soon};
        const auto read = attempt([&] { return reader.get(key); });
        return read.value ? read.value->value : std::string{};
    }
};

// Guards against a write that is reported as without effect although it took effect, or the other way round.
TEST(store_contract, tells_what_is_known_of_a_write) {
    enum class effect { none, now, when_fault_ends };
    struct fault_case {
        const char* name;
        nlohmann::json faults;
        std::uint64_t expected_version;
        std::optional<code> error;
        effect seen;
    };
    const std::vector<fault_case> cases{
        {"no fault", {{"down", false}}, 1U, std::nullopt, effect::now},
        {"slower but in time", {{"delay_ms", 30}}, 1U, std::nullopt, effect::now},
        {"stale version", {{"down", false}}, 7U, code::conflict, effect::none},
        {"object exists", {{"down", false}}, 0U, code::conflict, effect::none},
        {"reply lost", {{"lose_reply", 1}}, 1U, code::effect_unknown, effect::now},
        {"reply late", {{"reply_delay_ms", 5000}}, 1U, code::effect_unknown, effect::now},
        {"outage", {{"down", true}}, 1U, code::effect_unknown, effect::none},
        {"write late", {{"delay_ms", 1000}}, 1U, code::effect_unknown, effect::when_fault_ends},
        {"stall", {{"hang", true}}, 1U, code::effect_unknown, effect::when_fault_ends},
    };
    for (const auto& fault : cases) {
        this->start();
        http_store_client client{this->store->address(), client_timeout};
        CHECK_TRUE_TEXT(attempt([&] { return client.put("k", "old", 0U); }).value == 1U, fault.name);
        this->set_faults(fault.faults);
        const auto begin = std::chrono::steady_clock::now();
        const auto written = attempt([&] { return client.put("k", "new", fault.expected_version); });
        CHECK_TRUE_TEXT(std::chrono::steady_clock::now() - begin < client_timeout + soon, fault.name);
        CHECK_TRUE_TEXT(written.error == fault.error, fault.name);
        this->set_faults({{"down", false}, {"hang", false}, {"delay_ms", 0}, {"reply_delay_ms", 0}});
        if (fault.seen == effect::when_fault_ends) {
            CHECK_TRUE_TEXT(standin::wait_until([&] { return this->value_of("k") == "new"; }, soon), fault.name);
        } else {
            CHECK_TRUE_TEXT(this->value_of("k") == (fault.seen == effect::now ? "new" : "old"), fault.name);
        }
    }
}

// Guards against retrying or waiting without bound when reads fail.
TEST(store_contract, reports_failed_reads_in_time) {
    struct fault_case {
        const char* name;
        nlohmann::json faults;
        const char* key;
        std::optional<code> error;
    };
    const std::vector<fault_case> cases{
        {"no fault", {{"down", false}}, "k", std::nullopt},
        {"missing", {{"down", false}}, "other", code::missing},
        {"outage", {{"down", true}}, "k", code::unavailable},
        {"stall", {{"hang", true}}, "k", code::unavailable},
        {"slow", {{"delay_ms", 5000}}, "k", code::unavailable},
        {"slow reply", {{"reply_delay_ms", 5000}}, "k", code::unavailable},
    };
    for (const auto& fault : cases) {
        this->start();
        http_store_client client{this->store->address(), client_timeout};
        CHECK_TRUE_TEXT(attempt([&] { return client.put("k", "v", 0U); }).value.has_value(), fault.name);
        this->set_faults(fault.faults);
        const auto calls = this->count("reads");
        CHECK_TRUE_TEXT(attempt([&] { return client.get(fault.key); }).error == fault.error, fault.name);
        this->set_faults({{"down", false}, {"hang", false}, {"delay_ms", 0}, {"reply_delay_ms", 0}});
        CHECK_TRUE_TEXT(this->count("reads") <= calls + 1U, fault.name);
    }
}

// Guards against taking a refused connection for a write whose effect is open.
TEST(store_contract, knows_that_a_refused_write_had_no_effect) {
    this->start();
    http_store_client client{this->store->address(), client_timeout};
    this->store->program().kill();
    CHECK_TRUE(attempt([&] { return client.put("k", "v", 0U); }).failed_with(code::unavailable));
    CHECK_TRUE(attempt([&] { return client.get("k"); }).failed_with(code::unavailable));
    CHECK_TRUE(attempt([&] { return client.list("k"); }).failed_with(code::unavailable));
}

// Guards against a client that stays broken after its kept connections were closed in an outage.
TEST(store_contract, works_again_after_an_outage) {
    this->start();
    http_store_client client{this->store->address(), client_timeout};
    CHECK_TRUE(attempt([&] { return client.put("k", "v", 0U); }).value == 1U);
    for (int outage = 0; outage < 3; ++outage) {
        this->set_faults({{"down", true}});
        this->set_faults({{"down", false}});
        const auto read = attempt([&] { return client.get("k"); });
        CHECK_TRUE(read.value && read.value->value == "v");
    }
}

// Guards against giving the late reply to one call to the next one.
TEST(store_contract, does_not_mix_up_late_replies) {
    this->start();
    http_store_client client{this->store->address(), client_timeout};
    CHECK_TRUE(attempt([&] { return client.put("a", "value a", 0U); }).value.has_value());
    CHECK_TRUE(attempt([&] { return client.put("b", "value b", 0U); }).value.has_value());
    this->set_faults({{"reply_delay_ms", 1000}});
    CHECK_TRUE(attempt([&] { return client.get("a"); }).failed_with(code::unavailable));
    this->set_faults({{"reply_delay_ms", 0}});
    for (int call = 0; call < 200; ++call) {
        const auto read = attempt([&] { return client.get("b"); });
        CHECK_TRUE(read.value && read.value->value == "value b");
    }
}

// Guards against values that change on the way, and against values above the store's limit.
TEST(store_contract, keeps_values_whole) {
    this->start();
    http_store_client client{this->store->address(), soon};
    std::string binary{};
    for (int byte = 0; byte < 1'048'576; ++byte) {
        binary += static_cast<char>(byte * 7 % 256);
    }
    const std::vector<std::pair<std::string, std::string>> values{
        {"empty", ""}, {"orders/0123456789abcdef/1", binary}, {"odd ?#&%+ key", "v\r\n\r\n"}};
    for (const auto& entry : values) {
        const auto& key = entry.first;
        const auto& value = entry.second;
        const auto version = attempt([&] { return client.put(key, value, 0U); }).value;
        CHECK_TRUE_TEXT(version.has_value(), key.c_str());
        const auto read = attempt([&] { return client.get(key); });
        CHECK_TRUE_TEXT(read.value && read.value->value == value && read.value->version == *version, key.c_str());
    }
    CHECK_FALSE(attempt([&] { return client.put("large", binary + "x", 0U); }).value.has_value());
    const auto listed = attempt([&] { return client.list("orders/"); });
    CHECK_TRUE(listed.value && listed.value->size() == 1U && listed.value->front().key == values[1].first);
}

// Guards against calls above the store's rate that are not told apart from an outage.
TEST(store_contract, reports_calls_over_the_rate) {
    this->start({"--read-rate", "20", "--write-rate", "5"});
    http_store_client client{this->store->address(), soon};
    std::optional<code> error{};
    for (int call = 0; call < 2000 && !error; ++call) {
        error = attempt([&] { return client.put("k" + std::to_string(call), "v", 0U); }).error;
    }
    CHECK_TRUE(error == code::rate_limited);
    error.reset();
    for (int call = 0; call < 2000 && !error; ++call) {
        error = attempt([&] { return client.get("k0"); }).error;
    }
    CHECK_TRUE(error == code::rate_limited);
}

// Guards against counting waiting watches as free: each takes up a call a second.
TEST(store_contract, counts_waiting_watches) {
    this->start({"--read-rate", "3"});
    http_store_client client{this->store->address(), soon};
    std::vector<std::future<bool>> watches{};
    watches.reserve(3U);
    for (int watch = 0; watch < 3; ++watch) {
        watches.push_back(std::async(std::launch::async, [&client] {
            const auto seen = attempt([&] { return client.watch("k", 0U, soon); });
            return seen.value && *seen.value && (*seen.value)->value == "v";
        }));
    }
    CHECK_TRUE(standin::wait_until([this] { return this->count("waiting") == 3U; }, soon));
    CHECK_TRUE(attempt([&] { return client.get("k"); }).failed_with(code::rate_limited));
    CHECK_TRUE(attempt([&] { return client.put("k", "v", 0U); }).value.has_value());
    for (auto& watch : watches) {
        CHECK_TRUE(watch.get());
    }
    CHECK_EQUAL(0U, this->count("waiting"));
}

// Guards against watches that miss a change, end early or fail at their time limit.
TEST(store_contract, watches_end_with_a_change_or_at_their_time) {
    this->start();
    http_store_client client{this->store->address(), client_timeout};
    CHECK_TRUE(attempt([&] { return client.put("k", "1", 0U); }).value == 1U);
    const auto known = attempt([&] { return client.watch("k", 0U, 5000ms); });
    CHECK_TRUE(known.value && *known.value && (*known.value)->version == 1U);
    // Longer than the client's time limit for calls: the wait comes on top of it.
    const auto begin = std::chrono::steady_clock::now();
    const auto unchanged = attempt([&] { return client.watch("k", 1U, 2 * client_timeout); });
    CHECK_TRUE(unchanged.value && !unchanged.value->has_value());
    CHECK_TRUE(std::chrono::steady_clock::now() - begin >= 2 * client_timeout);
    auto watch = std::async(std::launch::async, [&client] {
        const auto seen = attempt([&] { return client.watch("k", 1U, soon); });
        return seen.value && *seen.value && (*seen.value)->value == "2" && (*seen.value)->version == 3U;
    });
    CHECK_TRUE(standin::wait_until([this] { return this->count("waiting") == 1U; }, soon));
    // A change of another object does not end the watch.
    CHECK_TRUE(attempt([&] { return client.put("other", "x", 0U); }).value == 2U);
    CHECK_EQUAL(1U, this->count("waiting"));
    CHECK_TRUE(attempt([&] { return client.put("k", "2", 1U); }).value == 3U);
    CHECK_TRUE(watch.get());
}

// Guards against a watch that hangs on after the store went away.
TEST(store_contract, outage_ends_a_waiting_watch) {
    this->start();
    http_store_client client{this->store->address(), client_timeout};
    auto watch = std::async(std::launch::async,
                            [&client] { return attempt([&] { return client.watch("k", 0U, 60'000ms); }).error; });
    CHECK_TRUE(standin::wait_until([this] { return this->count("waiting") == 1U; }, soon));
    this->set_faults({{"down", true}});
    CHECK_TRUE(watch.wait_for(soon) == std::future_status::ready);
    CHECK_TRUE(watch.get() == code::unavailable);
    CHECK_EQUAL(0U, this->count("waiting"));
}

// Guards against instance lists that arrive without all fields, or that do not wake the watch after their lag.
TEST(store_contract, shows_the_instance_list_after_its_lag) {
    this->start({"--list-lag-ms", "200"});
    http_store_client client{this->store->address(), client_timeout};
    const auto empty = attempt([&] { return client.watch_instances(0U, 0ms); });
    CHECK_TRUE(empty.value && !empty.value->has_value());
    const nlohmann::json instances{{{"id", "t1"},
                                    {"role", "target"},
                                    {"service", "proof"},
                                    {"address", "127.0.0.1:9"},
                                    {"zone", "zone-a"},
                                    {"region", "region-1"},
                                    {"state", "leaving"}}};
    const auto begin = std::chrono::steady_clock::now();
    standin::control(this->store->address(), "/control/instances", instances);
    const auto seen = attempt([&] { return client.watch_instances(0U, soon); });
    CHECK_TRUE(std::chrono::steady_clock::now() - begin >= 200ms);
    CHECK_TRUE(seen.value && *seen.value && (*seen.value)->revision == 1U);
    const mangopulley::instance_record expected{"t1", "target", "proof", "127.0.0.1:9", "zone-a", "region-1", true};
    CHECK_TRUE((*seen.value)->instances == std::vector{expected});
}

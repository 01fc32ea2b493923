#include <atomic>
#include <chrono>
#include <thread>

#include <mangopulley/core/clock.hpp>
#include <mangopulley/limit/admission.hpp>

#include <CppUTest/TestHarness.h>

using namespace mangopulley;
using namespace std::chrono_literals;

namespace {

class recording_sender final : public alert_sender {
public:
    [[nodiscard]] bool send(const alert& /*message*/) override {
        this->sent.fetch_add(1);
        return this->reachable.load();
    }

    std::atomic<int> sent{};
    std::atomic<bool> reachable{true};
};

enum class outcome { admitted, refused, timed_out };

[[nodiscard]] outcome try_admit(admission& limiter, const service_entry& service, const duration timeout,
                                permit& granted) {
    return boost::leaf::try_handle_all(
        [&]() -> result<outcome> {
            BOOST_LEAF_ASSIGN(granted, limiter.admit(service, std::chrono::steady_clock::now() + timeout));
            return outcome::admitted;
        },
        [](const refusal_error&) { return outcome::refused; },
        [](const admission_timeout_error&) { return outcome::timed_out; }, [] { return outcome::timed_out; });
}

/*! @brief System clock that advances by 7 ms at each reading, as if the host paused the thread between readings. */
class advancing_clock final : public mangopulley::clock {
public:
    [[nodiscard]] time_point now() const noexcept override {
        return this->source.now() + this->readings.fetch_add(1) * 7ms;
    }

    [[nodiscard]] std::chrono::system_clock::time_point wall() const noexcept override { return this->source.wall(); }

private:
    system_clock_source source{};
    mutable std::atomic<int> readings{};
};

} // namespace

TEST_GROUP(admission) {
    system_clock_source time{};
    recording_sender sender{};
    share_table shares{};
    alert_gate alerts{time, sender, "entry-1"};
    admission limiter{time, shares, alerts};
    service_entry service{};

    void setup() override {
        this->service.name = "seal";
        this->service.limits = {1000.0, 1U, 1U};
        this->shares.update("seal", demand_view{1.0, 0.0, 1000.0, 1U, true});
        this->alerts.start();
    }

    void teardown() override {
        this->alerts.stop();
    }
};

// Guards against refusing a caller although the director never acknowledged an alert.
TEST(admission, waits_instead_of_refusing_while_the_director_is_unreachable) {
    this->sender.reachable = false;
    permit first{};
    permit second{};
    permit third{};
    CHECK_TRUE(try_admit(this->limiter, this->service, 10ms, first) == outcome::admitted);
    CHECK_TRUE(try_admit(this->limiter, this->service, 10ms, second) == outcome::admitted);
    CHECK_TRUE(try_admit(this->limiter, this->service, 1500ms, third) == outcome::timed_out);
    CHECK_TRUE(this->sender.sent.load() > 0);
}

// Guards against refusing right after the alert, before the refusal delay, and against never refusing after it.
TEST(admission, refuses_only_after_an_acknowledged_alert_and_the_refusal_delay) {
    permit first{};
    permit second{};
    permit third{};
    CHECK_TRUE(try_admit(this->limiter, this->service, 10ms, first) == outcome::admitted);
    CHECK_TRUE(try_admit(this->limiter, this->service, 10ms, second) == outcome::admitted);
    const auto begin = std::chrono::steady_clock::now();
    CHECK_TRUE(try_admit(this->limiter, this->service, 5s, third) == outcome::refused);
    CHECK_TRUE(std::chrono::steady_clock::now() - begin >= 900ms);
    CHECK_TRUE(this->sender.sent.load() >= 1);
}

// Guards against a permit that is not released when its request finishes.
TEST(admission, admits_a_waiting_request_when_another_finishes) {
    this->sender.reachable = false;
    permit first{};
    permit second{};
    CHECK_TRUE(try_admit(this->limiter, this->service, 10ms, first) == outcome::admitted);
    CHECK_TRUE(try_admit(this->limiter, this->service, 10ms, second) == outcome::admitted);
    std::thread finisher{[&first] { first = permit{}; }};
    permit third{};
    CHECK_TRUE(try_admit(this->limiter, this->service, 2s, third) == outcome::admitted);
    finisher.join();
}

// Guards against a refusal with a retry delay of 0 because a token became available between two readings of the clock.
TEST(admission, returns_a_positive_retry_delay_with_each_refusal) {
    const advancing_clock advancing{};
    admission rate_limited{advancing, this->shares, this->alerts};
    // A token takes 100 ms, so that the steps of the clock determine the outcome and not the speed of the host. The
    // steps of 7 ms do not divide 100 ms, so that attempts are also made just before a token becomes available.
    this->service.limits = {10.0, 0U, 0U};
    int refused{};
    const auto deadline = advancing.now() + 1h;
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (refused < 200 && std::chrono::steady_clock::now() < end) {
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(granted, rate_limited.admit(this->service, deadline));
                static_cast<void>(granted);
                return {};
            },
            [&](const refusal_error& error) {
                ++refused;
                CHECK_TRUE(error.retry_after >= 1ms);
            },
            [] {});
    }
    CHECK_EQUAL(200, refused);
}

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

enum class verdict { admitted, refused, timed_out };

[[nodiscard]] verdict judge(admission& gate, const service_entry& service, const duration wait, permit& place) {
    return boost::leaf::try_handle_all(
        [&]() -> result<verdict> {
            BOOST_LEAF_ASSIGN(place, gate.admit(service, std::chrono::steady_clock::now() + wait));
            return verdict::admitted;
        },
        [](const refusal_error&) { return verdict::refused; },
        [](const admission_timeout_error&) { return verdict::timed_out; }, [] { return verdict::timed_out; });
}

/*! @brief System clock that also moves on at each reading, as on a host that pauses the thread between two of them. */
class moving_clock final : public mangopulley::clock {
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
    admission gate{time, shares, alerts};
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

// Guards against a caller that is refused although the director never acknowledged an alert.
TEST(admission, waits_instead_of_refusing_while_the_director_is_unreachable) {
    this->sender.reachable = false;
    permit first{};
    permit second{};
    permit third{};
    CHECK_TRUE(judge(this->gate, this->service, 10ms, first) == verdict::admitted);
    CHECK_TRUE(judge(this->gate, this->service, 10ms, second) == verdict::admitted);
    CHECK_TRUE(judge(this->gate, this->service, 1500ms, third) == verdict::timed_out);
    CHECK_TRUE(this->sender.sent.load() > 0);
}

// Guards against a refusal right after the alert, and against none at all once the director is alerted.
TEST(admission, refuses_only_after_an_acknowledged_alert_and_its_lead) {
    permit first{};
    permit second{};
    permit third{};
    CHECK_TRUE(judge(this->gate, this->service, 10ms, first) == verdict::admitted);
    CHECK_TRUE(judge(this->gate, this->service, 10ms, second) == verdict::admitted);
    const auto begin = std::chrono::steady_clock::now();
    CHECK_TRUE(judge(this->gate, this->service, 5s, third) == verdict::refused);
    CHECK_TRUE(std::chrono::steady_clock::now() - begin >= 900ms);
    CHECK_TRUE(this->sender.sent.load() >= 1);
}

// Guards against a place that is not given back when a request ends.
TEST(admission, gives_the_place_of_a_finished_request_to_a_waiting_one) {
    this->sender.reachable = false;
    permit first{};
    permit second{};
    CHECK_TRUE(judge(this->gate, this->service, 10ms, first) == verdict::admitted);
    CHECK_TRUE(judge(this->gate, this->service, 10ms, second) == verdict::admitted);
    std::thread ends{[&first] { first = permit{}; }};
    permit third{};
    CHECK_TRUE(judge(this->gate, this->service, 2s, third) == verdict::admitted);
    ends.join();
}

// Guards against a refusal that tells the caller to repeat in 0 s because a token came between two readings of the
// clock.
TEST(admission, names_a_time_to_wait_in_each_refusal) {
    const moving_clock moving{};
    admission limited{moving, this->shares, this->alerts};
    // A token takes 100 ms, so that the steps of the clock decide and not the speed of the host. The steps of 7 ms are
    // no part of it, so that attempts also come just before a token.
    this->service.limits = {10.0, 0U, 0U};
    int refused{};
    const auto deadline = moving.now() + 1h;
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (refused < 200 && std::chrono::steady_clock::now() < end) {
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(place, limited.admit(this->service, deadline));
                static_cast<void>(place);
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

#include <memory>
#include <random>
#include <vector>

#include <fake/fake_clock.hpp>
#include <fake/fake_store.hpp>
#include <mangopulley/lease/lease_manager.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::incarnation_id;
using mangopulley::lease_grant;
using mangopulley::lease_manager;
using namespace std::chrono_literals;

namespace {

using fault = fake::fake_store::write_fault;

/*! @brief Store that advances the clock before each call, and optionally after one write to simulate a frozen caller.
 */
class slow_store final : public mangopulley::store_client {
public:
    explicit slow_store(fake::fake_clock& source) : time{source} {}

    [[nodiscard]] mangopulley::result<mangopulley::stored_object> get(std::string_view key) override {
        this->time.advance(this->delay);
        return this->inner.get(key);
    }
    [[nodiscard]] mangopulley::result<std::uint64_t> put(std::string_view key, std::string_view value,
                                                         std::uint64_t expected) override {
        this->time.advance(this->delay);
        auto outcome = this->inner.put(key, value, expected);
        this->time.advance(std::exchange(this->freeze_after_write, mangopulley::duration::zero()));
        return outcome;
    }
    [[nodiscard]] mangopulley::result<std::optional<mangopulley::stored_object>>
    watch(std::string_view key, std::uint64_t after, mangopulley::milliseconds wait) override {
        return this->inner.watch(key, after, wait);
    }
    [[nodiscard]] mangopulley::result<std::vector<mangopulley::listed_object>> list(std::string_view prefix) override {
        return this->inner.list(prefix);
    }
    [[nodiscard]] mangopulley::result<std::optional<mangopulley::instance_list>>
    watch_instances(std::uint64_t after, mangopulley::milliseconds wait) override {
        return this->inner.watch_instances(after, wait);
    }

    fake::fake_store inner{};
    mangopulley::duration delay{};
    mangopulley::duration freeze_after_write{};

private:
    fake::fake_clock& time;
};

[[nodiscard]] std::optional<lease_grant> attempt(lease_manager& manager) {
    return boost::leaf::try_handle_all(
        [&]() -> mangopulley::result<std::optional<lease_grant>> {
            BOOST_LEAF_AUTO(grant, manager.acquire("probe/lots"));
            return std::optional{grant};
        },
        [] { return std::optional<lease_grant>{}; });
}

void release_lease(lease_manager& manager) {
    boost::leaf::try_handle_all([&] { return manager.release("probe/lots"); }, [] {});
}

} // namespace

TEST_GROUP(lease_manager) {
    fake::fake_clock time{};
    slow_store store{time};
    std::mt19937_64 random{5U};
    std::vector<std::unique_ptr<lease_manager>> managers{};

    lease_manager& add() {
        this->managers.push_back(
            std::make_unique<lease_manager>(this->time, this->store, incarnation_id{this->managers.size() + 1U},
                                            mangopulley::lease_timing{}, [this] { return this->random(); }));
        return *this->managers.back();
    }
};

// Guards against a takeover before the holder's lease has ended, and against a lapsed lease that is never taken over.
TEST(lease_manager, observer_takes_over_only_after_duration_and_margin) {
    auto& first = this->add();
    auto& second = this->add();
    CHECK_EQUAL(1U, attempt(first)->fence);
    CHECK_FALSE(attempt(second).has_value());
    this->time.advance(6400ms);
    CHECK_FALSE(attempt(second).has_value());
    CHECK_FALSE(first.current_grant("probe/lots").has_value());
    this->time.advance(100ms);
    const auto grant = attempt(second);
    CHECK_EQUAL(2U, grant->fence);
    CHECK_EQUAL(1U, grant->lapsed);
    CHECK_FALSE(attempt(first).has_value());
}

// Guards against observers that treat a renewed lease as abandoned.
TEST(lease_manager, renewal_keeps_the_lease_and_the_fence) {
    auto& first = this->add();
    auto& second = this->add();
    for (int round = 0; round < 20; ++round) {
        CHECK_EQUAL(1U, attempt(first)->fence);
        CHECK_FALSE(attempt(second).has_value());
        this->time.advance(2s);
    }
}

// Guards against waiting for the end of a released lease, and against reusing a fence.
TEST(lease_manager, released_lease_is_taken_at_once_with_the_next_fence) {
    auto& first = this->add();
    auto& second = this->add();
    CHECK_TRUE(attempt(first).has_value());
    release_lease(first);
    CHECK_FALSE(first.current_grant("probe/lots").has_value());
    const auto grant = attempt(second);
    CHECK_EQUAL(2U, grant->fence);
    CHECK_EQUAL(0U, grant->lapsed);
}

// Guards against measuring the lease from the response: the holder would act after an observer took over.
TEST(lease_manager, lease_is_measured_from_before_the_request) {
    auto& first = this->add();
    this->store.freeze_after_write = 5s;
    const auto sent = this->time.now();
    CHECK_TRUE(attempt(first)->until == sent + 6s);
    this->store.freeze_after_write = 7s;
    CHECK_FALSE(attempt(first).has_value());
    CHECK_FALSE(first.current_grant("probe/lots").has_value());
}

// Guards against a lost reply by which the holder loses its lease, or assumes a lease that it did not get.
TEST(lease_manager, lost_reply_neither_loses_nor_invents_a_lease) {
    const struct {
        fault what;
        bool renewal;
        bool held_after;
        std::uint64_t next_fence;
    } rows[] = {
        {fault::reply_lost_after_effect, false, true, 1U},
        {fault::reply_lost_before_effect, false, false, 1U},
        {fault::reply_lost_after_effect, true, true, 1U},
        {fault::reply_lost_before_effect, true, true, 1U},
    };
    for (const auto& row : rows) {
        this->store.inner.objects.clear();
        this->managers.clear();
        auto& first = this->add();
        auto& second = this->add();
        if (row.renewal) {
            CHECK_TRUE(attempt(first).has_value());
            this->time.advance(2s);
        }
        this->store.inner.fault = row.what;
        static_cast<void>(attempt(first));
        this->store.inner.fault = fault::none;
        CHECK_EQUAL(row.held_after, first.current_grant("probe/lots").has_value());
        if (row.held_after) {
            CHECK_FALSE(attempt(second).has_value());
        }
        CHECK_EQUAL(row.next_fence, attempt(first)->fence);
    }
}

// Guards against a holder that continues during a store outage after its lease has ended.
TEST(lease_manager, lease_ends_during_a_store_outage) {
    auto& first = this->add();
    CHECK_TRUE(attempt(first).has_value());
    this->store.inner.down = true;
    this->time.advance(5900ms);
    CHECK_FALSE(attempt(first).has_value());
    CHECK_TRUE(first.current_grant("probe/lots").has_value());
    this->time.advance(100ms);
    CHECK_FALSE(first.current_grant("probe/lots").has_value());
    this->store.inner.down = false;
    CHECK_EQUAL(2U, attempt(first)->fence);
}

// Guards against taking over a lease whose value is corrupt, since its fence is not known.
TEST(lease_manager, malformed_value_is_never_taken_over) {
    for (const char* text : {"", "[]", "{}", R"({"holder":"x","write":"y","fence":1,"duration_ms":1,"lapsed":[]})"}) {
        this->store.inner.objects["leases/probe/lots"] = {text, 77U};
        CHECK_FALSE(attempt(this->add()).has_value());
        this->time.advance(60s);
        CHECK_FALSE(attempt(*this->managers.back()).has_value());
        CHECK_TRUE(this->store.inner.objects["leases/probe/lots"].value == text);
    }
}

// Guards against two holders at once, or a decreasing fence, under random sequences of attempts, freezes and faults.
TEST(lease_manager, never_two_holders) {
    for (std::uint64_t seed = 0U; seed < 2000U; ++seed) {
        this->random.seed(seed);
        this->store.inner.objects.clear();
        this->managers.clear();
        for (int count = 0; count < 3; ++count) {
            this->add();
        }
        std::uint64_t highest{};
        for (int step = 0; step < 60; ++step) {
            this->store.delay = mangopulley::milliseconds{this->random() % 20U};
            this->store.inner.down = this->random() % 10U == 0U;
            this->store.inner.fault = this->random() % 6U == 0U   ? fault::reply_lost_after_effect
                                      : this->random() % 6U == 0U ? fault::reply_lost_before_effect
                                                                  : fault::none;
            this->store.freeze_after_write = this->random() % 8U == 0U ? 4s : 0s;
            auto& manager = *this->managers[this->random() % this->managers.size()];
            if (this->random() % 8U == 0U) {
                release_lease(manager);
            } else if (const auto grant = attempt(manager)) {
                CHECK_TRUE(grant->fence >= highest);
                highest = grant->fence;
            }
            std::size_t holders{};
            for (const auto& each : this->managers) {
                holders += each->current_grant("probe/lots").has_value() ? 1U : 0U;
            }
            CHECK_TRUE(holders <= 1U);
            this->time.advance(mangopulley::milliseconds{this->random() % 3000U});
        }
    }
}

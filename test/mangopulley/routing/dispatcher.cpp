#include <algorithm>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <fake/fake_clock.hpp>
#include <mangopulley/routing/dispatcher.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using mangopulley::attempt_outcome;
using mangopulley::dispatcher;
using mangopulley::queue_error;
using mangopulley::slot;
using mangopulley::target_record;
using mangopulley::wait_request;

namespace {

/*! @brief Thread that waits for a slot and stores the slot or the failure code. */
struct waiting_thread {
    dispatcher& owner;
    std::atomic<bool> done{};
    slot granted{};
    std::optional<enum queue_error::code> failure{};
    std::jthread thread{};

    waiting_thread(dispatcher& source, const wait_request& request)
        : owner{source}, thread{[this, &source, request] {
              boost::leaf::try_handle_all(
                  [&]() -> mangopulley::result<void> {
                      BOOST_LEAF_ASSIGN(this->granted, source.acquire(request));
                      return {};
                  },
                  [&](const queue_error& error) { this->failure = error.code; }, [] {});
              this->done = true;
          }} {}

    /*! @brief Ends the wait if a check has failed, so that the thread can be joined. */
    ~waiting_thread() {
        if (!this->done) {
            this->owner.stop();
        }
    }

    /*! @brief Waits up to 5 s of real time for the thread to get a slot or fail. */
    [[nodiscard]] bool ended() const {
        for (int round = 0; round < 5000 && !this->done; ++round) {
            std::this_thread::sleep_for(1ms);
        }
        return this->done;
    }
};

} // namespace

TEST_GROUP(dispatcher) {
    fake::fake_clock time{};
    mangopulley::service_entry entry{.name = "run-records", .owner = "records", .slots_per_target = 2};
    std::unique_ptr<dispatcher> tested{};

    void start(const int targets, const std::string& policy = "slot_aware") {
        this->tested = std::make_unique<dispatcher>(this->entry, mangopulley::make_policy(policy, 1U), this->time);
        this->list(targets);
    }

    void list(const int targets) {
        std::vector<target_record> records{};
        records.reserve(static_cast<std::size_t>(targets));
        for (int number = 0; number < targets; ++number) {
            const auto name = std::to_string(number);
            records.push_back({"t" + name, "127.0.0.1:" + name, "a", false});
        }
        this->tested->update(records);
    }

    /*! @brief Warms up every target with a few responses of 10 ms, then acquires all slots. */
    [[nodiscard]] std::vector<slot> acquire_all_warm() {
        for (int round = 0; round < 30; ++round) {
            auto acquired_slots = this->acquire_all();
            this->time.advance(10ms);
            for (auto& acquired : acquired_slots) {
                acquired.finish({attempt_outcome::answered});
            }
        }
        return this->acquire_all();
    }

    [[nodiscard]] std::vector<slot> acquire_all() {
        std::vector<slot> slots{};
        while (auto acquired = this->tested->try_acquire_untried(this->request(), {})) {
            slots.push_back(std::move(*acquired));
        }
        return slots;
    }

    /*! @brief Starts a thread that waits, and returns once it is queued. */
    [[nodiscard]] std::unique_ptr<waiting_thread> wait(const wait_request& request) {
        const auto before = this->tested->describe().waiting;
        auto waiting = std::make_unique<waiting_thread>(*this->tested, request);
        for (int round = 0; round < 5000 && this->tested->describe().waiting == before; ++round) {
            std::this_thread::sleep_for(1ms);
        }
        CHECK_EQUAL(before + 1U, this->tested->describe().waiting);
        return waiting;
    }

    [[nodiscard]] wait_request request(const mangopulley::duration timeout = 100ms) const {
        return {.kind = "read", .idempotent = true, .deadline = this->time.now() + timeout};
    }
};

// Guards against more requests in flight at a target than it has slots.
TEST(dispatcher, grants_no_more_than_the_free_slots) {
    this->start(3);
    // New targets get one request at a time until they have answered a few requests.
    CHECK_EQUAL(3U, this->acquire_all().size());
    CHECK_EQUAL(6U, this->acquire_all_warm().size());
}

// Guards against a wake-up of the wrong thread, and against a slot that is lost while requests wait.
TEST(dispatcher, grants_freed_slots_to_waiting_requests_in_order) {
    this->start(1);
    auto slots = this->acquire_all_warm();
    auto batch = this->request();
    batch.work = mangopulley::work_class::batch;
    const auto batch_waiter = this->wait(batch);
    const auto first = this->wait(this->request(50ms));
    const auto second = this->wait(this->request(60ms));
    for (const auto* next : {first.get(), second.get(), batch_waiter.get()}) {
        CHECK_FALSE(next->done);
        slots.back().finish({attempt_outcome::answered});
        slots.pop_back();
        CHECK_TRUE(next->ended());
        slots.push_back(std::move(const_cast<waiting_thread*>(next)->granted));
    }
    CHECK_EQUAL(3U, this->tested->describe().granted_after_wait);
}

// Guards against new requests to a target that starts to drain while requests wait.
TEST(dispatcher, skips_a_target_that_starts_to_drain_during_the_wait) {
    this->start(2);
    auto slots = this->acquire_all_warm();
    const auto waiting = this->wait(this->request());
    const auto drained = slots[0].target_id();
    slots[0].finish({attempt_outcome::answered, std::nullopt, true, std::nullopt});
    CHECK_FALSE(waiting->done);
    for (auto& acquired : slots) {
        acquired.finish({attempt_outcome::answered});
    }
    CHECK_TRUE(waiting->ended());
    CHECK_FALSE(waiting->granted.target_id() == drained);
}

// Guards against requests that wait indefinitely or fail with the wrong error code.
TEST(dispatcher, fails_waiting_requests_that_cannot_be_served) {
    struct expectation {
        const char* name;
        mangopulley::duration advance;
        bool gone;
        bool stopped;
        enum queue_error::code failure;
    };
    const expectation cases[] = {
        {"deadline", 100ms, false, false, queue_error::code::deadline_passed},
        {"deadline within the expected response time", 91ms, false, false, queue_error::code::deadline_passed},
        {"no target left", 0ms, true, false, queue_error::code::no_target},
        {"stopped", 0ms, false, true, queue_error::code::stopped},
    };
    for (const auto& item : cases) {
        this->start(2);
        auto slots = this->acquire_all_warm();
        const auto waiting = this->wait(this->request());
        this->time.advance(item.advance);
        if (item.gone) {
            this->list(0);
        }
        if (item.stopped) {
            this->tested->stop();
        }
        CHECK_TRUE_TEXT(waiting->ended(), item.name);
        CHECK_TRUE_TEXT(waiting->failure == item.failure, item.name);
        slots.clear();
    }
}

// Guards against an indefinite wait when all load at the targets is from other instances, so that no own request ends.
TEST(dispatcher, grants_slots_when_estimated_load_decays) {
    this->start(1);
    this->acquire_all_warm().clear();
    this->tested->report("t0", {3U, 0U});
    const auto waiting = this->wait(this->request());
    this->time.advance(60ms);
    CHECK_TRUE(waiting->ended());
    STRCMP_EQUAL("t0", waiting->granted.target_id().c_str());
}

// Guards against a non-idempotent request that is stuck on a suspect target while other targets would be free soon.
TEST(dispatcher, tries_suspect_targets_with_idempotent_requests_first) {
    this->start(4);
    auto slots = this->acquire_all_warm();
    this->time.advance(1ms);
    slots[0].finish({attempt_outcome::broken});
    const auto suspect = slots[0].target_id();
    for (auto& acquired : slots) {
        if (acquired.target_id() == suspect) {
            acquired.finish({});
        }
    }
    auto order = this->request();
    order.kind = "order";
    order.idempotent = false;
    order.worth = 100.0;
    const auto waiting = this->wait(order);
    const auto read = this->tested->acquire(this->request());
    CHECK_TRUE(read && read->target_id() == suspect);
    CHECK_FALSE(waiting->done);
    const auto waiting_read = this->wait(this->request());
    this->tested->stop();
    CHECK_TRUE(waiting->ended() && waiting_read->ended());
}

// Guards against drain notifications that are repeated for each response.
TEST(dispatcher, notifies_the_listener_once_that_a_target_drains) {
    std::vector<std::string> drained{};
    this->tested = std::make_unique<dispatcher>(this->entry, mangopulley::make_policy("slot_aware", 1U), this->time,
                                                [&](std::string_view id) { drained.emplace_back(id); });
    this->list(4);
    for (auto& acquired : this->acquire_all_warm()) {
        if (acquired.target_id() == "t2") {
            acquired.finish({attempt_outcome::shed, std::nullopt, true, std::nullopt});
        }
    }
    CHECK_EQUAL(1U, drained.size());
    STRCMP_EQUAL("t2", drained.front().c_str());
}

// Guards against a request that is stuck on a stalled target until its deadline because newer requests get all slots.
TEST(dispatcher, serves_a_hedge_claim_before_waiting_requests) {
    this->start(2);
    auto slots = this->acquire_all_warm();
    const auto waiting = this->wait(this->request());
    mangopulley::hedge_claim claim{*this->tested, this->request(), {slots[0].target_id()}};
    CHECK_FALSE(claim.poll().has_value());
    const auto other =
        std::ranges::find_if(slots, [&](const auto& acquired) { return acquired.target_id() != slots[0].target_id(); });
    other->finish({attempt_outcome::answered});
    CHECK_FALSE(waiting->done);
    auto second = claim.poll();
    CHECK_TRUE(second.has_value());
    second->finish({attempt_outcome::answered});
    CHECK_TRUE(waiting->ended());
}

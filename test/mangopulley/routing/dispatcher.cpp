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

/*! @brief Thread that waits for a slot; its outcome is the target or a failure code. */
struct pending {
    dispatcher& owner;
    std::atomic<bool> done{};
    slot got{};
    std::optional<enum queue_error::code> failure{};
    std::jthread thread{};

    pending(dispatcher& source, const wait_request& request)
        : owner{source}, thread{[this, &source, request] {
              boost::leaf::try_handle_all(
                  [&]() -> mangopulley::result<void> {
                      BOOST_LEAF_ASSIGN(this->got, source.acquire(request));
                      return {};
                  },
                  [&](const queue_error& error) { this->failure = error.code; }, [] {});
              this->done = true;
          }} {}

    /*! @brief Ends the wait when a check has failed, so that the thread can be joined. */
    ~pending() {
        if (!this->done) {
            this->owner.stop();
        }
    }

    /*! @brief Waits for the end of the wait, at most 5 s of real time. */
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

    /*! @brief Lets every target answer a few requests in 10 ms, and takes all slots. */
    [[nodiscard]] std::vector<slot> fill() {
        for (int round = 0; round < 30; ++round) {
            auto taken = this->take_all();
            this->time.advance(10ms);
            for (auto& one : taken) {
                one.finish({attempt_outcome::answered});
            }
        }
        return this->take_all();
    }

    [[nodiscard]] std::vector<slot> take_all() {
        std::vector<slot> held{};
        while (auto one = this->tested->try_acquire_other(this->request(), {})) {
            held.push_back(std::move(*one));
        }
        return held;
    }

    /*! @brief Starts a thread that waits, and returns when it does. */
    [[nodiscard]] std::unique_ptr<pending> wait(const wait_request& request) {
        const auto before = this->tested->describe().waiting;
        auto made = std::make_unique<pending>(*this->tested, request);
        for (int round = 0; round < 5000 && this->tested->describe().waiting == before; ++round) {
            std::this_thread::sleep_for(1ms);
        }
        CHECK_EQUAL(before + 1U, this->tested->describe().waiting);
        return made;
    }

    [[nodiscard]] wait_request request(const mangopulley::duration timeout = 100ms) const {
        return {.kind = "read", .idempotent = true, .deadline = this->time.now() + timeout};
    }
};

// Guards against more requests at a target than it has slots.
TEST(dispatcher, hands_out_no_more_than_the_free_slots) {
    this->start(3);
    // New targets get one request at a time until they have answered a few.
    CHECK_EQUAL(3U, this->take_all().size());
    CHECK_EQUAL(6U, this->fill().size());
}

// Guards against a wake-up for the wrong thread, and against a slot that is lost while requests wait.
TEST(dispatcher, gives_freed_slots_to_waiting_requests_in_order) {
    this->start(1);
    auto held = this->fill();
    auto batch = this->request();
    batch.work = mangopulley::work_class::batch;
    const auto late = this->wait(batch);
    const auto first = this->wait(this->request(50ms));
    const auto second = this->wait(this->request(60ms));
    for (const auto* next : {first.get(), second.get(), late.get()}) {
        CHECK_FALSE(next->done);
        held.back().finish({attempt_outcome::answered});
        held.pop_back();
        CHECK_TRUE(next->ended());
        held.push_back(std::move(const_cast<pending*>(next)->got));
    }
    CHECK_EQUAL(3U, this->tested->describe().granted_after_wait);
}

// Guards against new work for a target that starts to drain while requests wait for it.
TEST(dispatcher, passes_over_a_target_that_drains_during_the_wait) {
    this->start(2);
    auto held = this->fill();
    const auto waiting = this->wait(this->request());
    const auto drained = held[0].target_id();
    held[0].finish({attempt_outcome::answered, std::nullopt, true, std::nullopt});
    CHECK_FALSE(waiting->done);
    for (auto& one : held) {
        one.finish({attempt_outcome::answered});
    }
    CHECK_TRUE(waiting->ended());
    CHECK_FALSE(waiting->got.target_id() == drained);
}

// Guards against requests that wait for ever, or fail for the wrong reason.
TEST(dispatcher, ends_a_wait_that_has_become_pointless) {
    struct expectation {
        const char* name;
        mangopulley::duration advance;
        bool gone;
        bool stopped;
        enum queue_error::code failure;
    };
    const expectation cases[] = {
        {"deadline", 100ms, false, false, queue_error::code::deadline_passed},
        {"deadline within the expected answer time", 91ms, false, false, queue_error::code::deadline_passed},
        {"no target left", 0ms, true, false, queue_error::code::no_target},
        {"stopped", 0ms, false, true, queue_error::code::stopped},
    };
    for (const auto& item : cases) {
        this->start(2);
        auto held = this->fill();
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
        held.clear();
    }
}

// Guards against waiting for ever at targets whose only load is that of others, where no own request ends.
TEST(dispatcher, notices_targets_that_become_free_with_time) {
    this->start(1);
    this->fill().clear();
    this->tested->report("t0", {3U, 0U});
    const auto waiting = this->wait(this->request());
    this->time.advance(60ms);
    CHECK_TRUE(waiting->ended());
    STRCMP_EQUAL("t0", waiting->got.target_id().c_str());
}

// Guards against a non-idempotent request that is stuck on a suspect target while others would be free soon.
TEST(dispatcher, tries_suspect_targets_with_idempotent_requests_first) {
    this->start(4);
    auto held = this->fill();
    this->time.advance(1ms);
    held[0].finish({attempt_outcome::broken});
    const auto suspect = held[0].target_id();
    for (auto& one : held) {
        if (one.target_id() == suspect) {
            one.finish({});
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
    const auto read_waits = this->wait(this->request());
    this->tested->stop();
    CHECK_TRUE(waiting->ended() && read_waits->ended());
}

// Guards against drain notices that are repeated for each answer.
TEST(dispatcher, tells_the_listener_once_that_a_target_drains) {
    std::vector<std::string> told{};
    this->tested = std::make_unique<dispatcher>(this->entry, mangopulley::make_policy("slot_aware", 1U), this->time,
                                                [&](std::string_view id) { told.emplace_back(id); });
    this->list(4);
    for (auto& one : this->fill()) {
        if (one.target_id() == "t2") {
            one.finish({attempt_outcome::shed, std::nullopt, true, std::nullopt});
        }
    }
    CHECK_EQUAL(1U, told.size());
    STRCMP_EQUAL("t2", told.front().c_str());
}

// Guards against a request that is stuck on a stalled target until its deadline because younger ones get all slots.
TEST(dispatcher, serves_a_claim_for_a_second_attempt_before_waiting_requests) {
    this->start(2);
    auto held = this->fill();
    const auto waiting = this->wait(this->request());
    mangopulley::second_claim claim{*this->tested, this->request(), {held[0].target_id()}};
    CHECK_FALSE(claim.poll().has_value());
    const auto other =
        std::ranges::find_if(held, [&](const auto& one) { return one.target_id() != held[0].target_id(); });
    other->finish({attempt_outcome::answered});
    CHECK_FALSE(waiting->done);
    auto second = claim.poll();
    CHECK_TRUE(second.has_value());
    second->finish({attempt_outcome::answered});
    CHECK_TRUE(waiting->ended());
}

#include <memory>
#include <string>
#include <vector>

#include <fake/fake_clock.hpp>
#include <mangopulley/routing/dispatcher.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using mangopulley::attempt_outcome;
using mangopulley::dispatcher;
using mangopulley::slot;
using mangopulley::target_record;
using mangopulley::wait_request;

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

    [[nodiscard]] wait_request request(const mangopulley::duration timeout = 100ms) const {
        return {.kind = "read", .idempotent = true, .deadline = this->time.now() + timeout};
    }
};

// Guards against more requests at a target than it has slots.
TEST(dispatcher, hands_out_no_more_than_the_free_slots) {
    this->start(3);
    std::vector<slot> held{};
    while (auto one = this->tested->try_acquire_other(this->request(), {})) {
        held.push_back(std::move(*one));
    }
    // New targets get one request at a time until they have answered a few.
    CHECK_EQUAL(3U, held.size());
}

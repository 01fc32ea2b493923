#include <mangopulley/order/order_archive.hpp>

#include "../../fake/fake_clock.hpp"
#include "../../fake/fake_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace mangopulley;
using fake::fake_store;

namespace {

constexpr std::uint64_t start = 1'800'000'000U;

[[nodiscard]] order_key make_key(const std::uint64_t issued, const std::string& unique) {
    return {{incarnation_id{1U}, {incarnation_id{2U}, incarnation_id{3U}}, issued}, unique};
}

[[nodiscard]] std::shared_ptr<const order_outcome> make_answer(const std::string& body) {
    auto outcome = make_outcome(order_state::answered, order_reason::none, true);
    outcome.answer.body = body;
    return std::make_shared<const order_outcome>(std::move(outcome));
}

} // namespace

TEST_GROUP(order_archive) {
    fake::fake_clock time{};
    fake_store store{};

    [[nodiscard]] std::string read(order_archive & archive, const order_key& key) const {
        const auto found = archive.read(key);
        return !found ? "error" : !*found ? "missing" : (*found)->answer.body;
    }
    void next_interval(order_archive & archive) {
        this->time.advance(std::chrono::seconds{2});
        archive.write_if_due();
    }
};

// Guards against more than one write per interval, and against a lookup that reads segments of another time or home.
TEST(order_archive, writes_groups_at_its_interval_and_reads_them_back) {
    order_archive archive{incarnation_id{1U}, this->time, this->store, {}};
    for (int index = 0; index < 50; ++index) {
        archive.add(make_key(start, "k" + std::to_string(index)), make_answer("body" + std::to_string(index)));
        archive.write_if_due();
        archive.write_if_due();
    }
    CHECK_EQUAL(1U, this->store.writes);
    this->next_interval(archive);
    CHECK_EQUAL(2U, this->store.writes);
    CHECK_EQUAL(2U, this->store.objects.size());
    CHECK_EQUAL(0U, archive.count().pending + archive.count().pending_bytes);
    CHECK_TRUE(this->read(archive, make_key(start, "k0")) == "body0");
    CHECK_TRUE(this->read(archive, make_key(start, "k49")) == "body49");
    CHECK_TRUE(this->read(archive, make_key(start, "k50")) == "missing");
    const auto reads = this->store.reads;
    CHECK_TRUE(this->read(archive, make_key(start + 1U, "k0")) == "missing");
    CHECK_EQUAL(reads + 1U, this->store.reads);
}

// Guards against outcomes that are lost, written under two names or written over others when the store fails.
TEST(order_archive, store_faults_neither_lose_nor_duplicate_outcomes) {
    struct store_case {
        const char* name;
        bool down;
        fake_store::write_fault fault;
        bool name_taken;
    };
    const store_case cases[]{{"down", true, fake_store::write_fault::none, false},
                             {"lost before effect", false, fake_store::write_fault::reply_lost_before_effect, false},
                             {"lost after effect", false, fake_store::write_fault::reply_lost_after_effect, false},
                             {"name taken", false, fake_store::write_fault::none, true}};
    for (const auto& each : cases) {
        fake_store shared{};
        order_archive archive{incarnation_id{1U}, this->time, shared, {}};
        if (each.name_taken) {
            order_archive other{incarnation_id{1U}, this->time, shared, {}};
            other.add(make_key(start, "other"), make_answer("other"));
            other.write_if_due();
        }
        archive.add(make_key(start, "k"), make_answer("body"));
        shared.down = each.down;
        shared.fault = each.fault;
        this->next_interval(archive);
        CHECK_EQUAL_TEXT(1U, archive.count().pending, each.name);
        shared.down = false;
        shared.fault = fake_store::write_fault::none;
        this->next_interval(archive);
        CHECK_EQUAL_TEXT(0U, archive.count().pending, each.name);
        CHECK_EQUAL_TEXT(each.name_taken ? 2U : 1U, shared.objects.size(), each.name);
        CHECK_TEXT(this->read(archive, make_key(start, "k")) == "body", each.name);
        CHECK_TEXT(!each.name_taken || this->read(archive, make_key(start, "other")) == "other", each.name);
    }
}

// Guards against unbounded memory during a store outage, and against a segment that is too large for the store.
TEST(order_archive, stays_within_its_limits) {
    archive_limits bounds{};
    bounds.max_segment_bytes = 1'000U;
    bounds.max_pending_bytes = 2'000U;
    order_archive archive{incarnation_id{1U}, this->time, this->store, bounds};
    this->store.down = true;
    for (int index = 0; index < 20; ++index) {
        archive.add(make_key(start, "k" + std::to_string(index)), make_answer(std::string(400U, 'x')));
    }
    CHECK_TRUE(archive.count().pending_bytes <= 2'000U);
    CHECK_TRUE(archive.count().dropped > 0U);
    archive.add(make_key(start, "large"), make_answer(std::string(2'000U, 'x')));
    CHECK_FALSE(archive.flush());
    this->store.down = false;
    CHECK_TRUE(archive.flush());
    for (const auto& [name, object] : this->store.objects) {
        CHECK_TRUE(object.value.size() <= 1'000U);
    }
    CHECK_TRUE(archive.read(make_key(start, "large")).value()->reason == order_reason::answer_not_kept);
    CHECK_TRUE(this->read(archive, make_key(start, "k0")) == "missing");
}

// Guards against an unreadable store or segment that is reported as a key that was never archived.
TEST(order_archive, reports_unreadable_segments_and_outages) {
    order_archive archive{incarnation_id{1U}, this->time, this->store, {}};
    archive.add(make_key(start, "k"), make_answer("body"));
    archive.write_if_due();
    this->store.objects.begin()->second.value = "damaged";
    CHECK_TRUE(this->read(archive, make_key(start, "k")) == "error");
    this->store.down = true;
    CHECK_TRUE(this->read(archive, make_key(start, "k")) == "error");
}

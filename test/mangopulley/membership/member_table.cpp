#include <algorithm>

#include <fake/fake_clock.hpp>
#include <mangopulley/membership/member_table.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::evidence;
using mangopulley::incarnation_id;
using mangopulley::liveness;
using mangopulley::member;
using mangopulley::member_state;
using namespace std::chrono_literals;

namespace {

[[nodiscard]] member describe(const std::uint64_t id, const std::string& name, const mangopulley::duration uptime = 0s,
                              const mangopulley::duration age = 0s) {
    return {.incarnation = incarnation_id{id},
            .instance_name = name,
            .peer_endpoint = name + ":7100",
            .caller_address = name + ":7000",
            .zone = "riga-1",
            .region = "riga",
            .serving = true,
            .age = age,
            .uptime = uptime};
}

} // namespace

TEST_GROUP(member_table) {
    fake::fake_clock time{};
    mangopulley::member_table table{time, describe(1U, "self")};

    [[nodiscard]] std::optional<liveness> health(const std::uint64_t id) const {
        const auto found = this->table.find(incarnation_id{id});
        return found ? std::optional{found->health} : std::nullopt;
    }
};

// Guards against wrong age limits of the failure detector.
TEST(member_table, liveness_by_age) {
    const struct {
        mangopulley::milliseconds age;
        liveness expected;
    } rows[] = {{0ms, liveness::live},       {1499ms, liveness::live}, {1500ms, liveness::suspect},
                {2999ms, liveness::suspect}, {3000ms, liveness::dead}, {59'000ms, liveness::dead}};
    this->table.record_direct(describe(2U, "a"), this->time.now(), evidence::message);
    auto passed = 0ms;
    for (const auto& row : rows) {
        this->time.advance(row.age - passed);
        passed = row.age;
        CHECK_TRUE(this->health(2U) == row.expected);
    }
    this->time.advance(1s);
    CHECK_EQUAL(1U, this->table.members().size());
}

// Guards against an old incarnation that coexists with or displaces its successor, in any order of the reports.
TEST(member_table, a_new_incarnation_replaces_the_old_one) {
    const auto now = this->time.now();
    const struct {
        const char* label{};
        member first{};
        member second{};
        std::uint64_t kept{};
    } rows[] = {
        {"restart", describe(2U, "a", 60s), describe(3U, "a", 1s), 3U},
        {"delayed message of the old incarnation", describe(3U, "a", 1s), describe(2U, "a", 60s), 3U},
        {"indirect report of the old incarnation", describe(3U, "a", 1s), describe(2U, "a", 60s, 2s), 3U},
        {"indirect report of the new incarnation", describe(2U, "a", 60s), describe(3U, "a", 1s, 500ms), 3U},
    };
    for (const auto& row : rows) {
        mangopulley::member_table fresh{this->time, describe(1U, "self")};
        fresh.merge(row.first, now, evidence::reply);
        fresh.merge(row.second, now, evidence::reply);
        CHECK_EQUAL_TEXT(2U, fresh.members().size(), row.label);
        CHECK_TRUE_TEXT(fresh.find(incarnation_id{row.kept}).has_value(), row.label);
        // A report about the replaced incarnation is ignored, both as a digest and as a description.
        const mangopulley::member_digest digest{2U, 0s, false, true};
        CHECK_EQUAL_TEXT(1U, fresh.merge_digests({&digest, 1U}, now, evidence::reply).size(), row.label);
        fresh.merge(describe(2U, "a", 61s), now, evidence::reply);
        CHECK_FALSE_TEXT(fresh.find(incarnation_id{2U}).has_value(), row.label);
    }
    // A former incarnation of this instance itself is never a member.
    this->table.record_direct(describe(9U, "self", 60s), now, evidence::reply);
    CHECK_EQUAL(1U, this->table.members().size());
}

// Guards against indirect reports that make the last sign of life look more or less recent than it is.
TEST(member_table, ages_of_indirect_reports_add_up) {
    const auto start = this->time.now();
    this->table.record_direct(describe(2U, "a"), start, evidence::reply);
    this->time.advance(2s);
    const mangopulley::member_digest old{2U, 1900ms, false, true};
    CHECK_TRUE(this->table.merge_digests({&old, 1U}, this->time.now() - 200ms, evidence::reply).empty());
    CHECK_TRUE(this->table.find(incarnation_id{2U})->age == 2s);
    const mangopulley::member_digest young{2U, 300ms, true, false};
    CHECK_TRUE(this->table.merge_digests({&young, 1U}, this->time.now() - 200ms, evidence::reply).empty());
    const auto found = this->table.find(incarnation_id{2U});
    CHECK_TRUE(found->age == 500ms);
    CHECK_TRUE(found->state == member_state::leaving);
    CHECK_FALSE(found->serving);
    // The leaving state is final for an incarnation.
    this->table.record_direct(describe(2U, "a"), this->time.now(), evidence::reply);
    CHECK_TRUE(this->table.find(incarnation_id{2U})->state == member_state::leaving);
}

// Guards against messages of unknown transit time that count as proof of contact.
TEST(member_table, only_replies_prove_contact) {
    mangopulley::instance_list list{.revision = 3U};
    for (const char* name : {"self", "a", "b", "c"}) {
        list.instances.push_back({name, "entry", {}, std::string{name} + ":7100", "riga-1", "riga", false});
    }
    const auto since = this->time.now();
    CHECK_EQUAL(0U, this->table.contacts(since).known);
    CHECK_TRUE(this->table.set_instances(list));
    this->table.record_direct(describe(2U, "a"), since, evidence::message);
    CHECK_EQUAL(4U, this->table.contacts(since).known);
    CHECK_EQUAL(1U, this->table.contacts(since).in_contact);
    this->table.record_direct(describe(2U, "a"), since, evidence::reply);
    CHECK_EQUAL(2U, this->table.contacts(since).in_contact);
    CHECK_EQUAL(1U, this->table.contacts(since + 1ms).in_contact);
    // An instance that is not in the platform's list yet counts both as known and as in contact.
    this->table.record_direct(describe(5U, "new"), since, evidence::reply);
    CHECK_EQUAL(5U, this->table.contacts(since).known);
    CHECK_EQUAL(3U, this->table.contacts(since).in_contact);
}

// Guards against a platform list that reverts to an older revision, and against confusion of targets with entry
// instances.
TEST(member_table, platform_list_never_reverts) {
    mangopulley::instance_list list{.revision = 7U};
    list.instances.push_back({"a", "entry", {}, "a:7100", "riga-1", "riga", false});
    list.instances.push_back({"t1", "target", "stock", "t1:80", "riga-1", "riga", false});
    list.instances.push_back({"t2", "target", "seals", "t2:80", "riga-1", "riga", true});
    CHECK_TRUE(this->table.set_instances(list));
    CHECK_FALSE(this->table.set_instances(list));
    CHECK_FALSE(this->table.set_instances({.revision = 6U, .instances = {}}));
    CHECK_EQUAL(1U, this->table.targets_of("stock")->size());
    CHECK_TRUE(this->table.targets_of("seals")->front().leaving);
    CHECK_TRUE(this->table.targets_of("none")->empty());
    CHECK_EQUAL(1U, this->table.candidates().size());
    this->table.record_direct(describe(2U, "a"), this->time.now(), evidence::message);
    CHECK_TRUE(this->table.candidates().empty());
    this->time.advance(3s);
    CHECK_EQUAL(1U, this->table.candidates().size());
}

// Guards against members of a large fleet that never appear in digests.
TEST(member_table, digests_rotate_through_all_members) {
    for (std::uint64_t id = 2U; id < 102U; ++id) {
        this->table.record_direct(describe(id, std::to_string(id)), this->time.now() - mangopulley::milliseconds{id},
                                  evidence::reply);
    }
    std::vector<std::uint32_t> reported{};
    for (int round = 0; round < 25; ++round) {
        const auto digests = this->table.digests_to_send(16U);
        CHECK_EQUAL(16U, digests.size());
        for (const auto& digest : digests) {
            reported.push_back(digest.short_id);
        }
    }
    std::sort(reported.begin(), reported.end());
    reported.erase(std::unique(reported.begin(), reported.end()), reported.end());
    CHECK_EQUAL(100U, reported.size());
}

// Guards against digests that depend on where the entries lie in memory when their ages are equal: a run of a simulated
// fleet with one seed would then differ with the state of the heap.
TEST(member_table, digests_of_equal_age_do_not_depend_on_addresses) {
    mangopulley::member_table reversed{this->time, describe(1U, "self")};
    for (std::uint64_t id = 2U; id < 42U; ++id) {
        const auto mirrored = 43U - id;
        this->table.record_direct(describe(id, std::to_string(id)), this->time.now(), evidence::reply);
        reversed.record_direct(describe(mirrored, std::to_string(mirrored)), this->time.now(), evidence::reply);
    }
    for (int round = 0; round < 5; ++round) {
        const auto digests = this->table.digests_to_send(16U);
        const auto others = reversed.digests_to_send(16U);
        CHECK_EQUAL(16U, digests.size());
        CHECK_EQUAL(16U, others.size());
        for (std::size_t index = 0U; index < digests.size(); ++index) {
            CHECK_EQUAL(digests[index].short_id, others[index].short_id);
        }
    }
}

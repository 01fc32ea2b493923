#include <fake/fake_clock.hpp>
#include <mangopulley/membership/standing.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::contact_counts;
using mangopulley::incarnation_id;
using mangopulley::milliseconds;
using mangopulley::peer_report;
using mangopulley::standing;
using mangopulley::standing_state;
using mangopulley::time_point;
using namespace std::chrono_literals;
using enum mangopulley::standing_state;

TEST_GROUP(standing) {
    fake::fake_clock time{};
    std::uint64_t version{5U};
    contact_counts counts{5U, 5U};
    time_point asked_since{};
    standing proof{time,
                   {.own_version = [this] { return this->version; },
                    .contacts =
                        [this](time_point since) {
                            this->asked_since = since;
                            return this->counts;
                        }}};

    /*! @brief Lets time pass with ticks as in a process that is not frozen. */
    void pass(const milliseconds length) {
        for (auto left = length; left > 0ms; left -= 100ms) {
            this->time.advance(std::min(left, 100ms));
            this->proof.tick();
        }
    }

    void hear(const std::uint64_t peer, const std::uint64_t its_version,
              const std::optional<mangopulley::duration> confirmed = std::nullopt,
              const std::optional<mangopulley::duration> store = std::nullopt) {
        this->proof.peer_answered({incarnation_id{peer}, this->time.now(), its_version, confirmed, store});
    }
};

// Guards against confirmation by a peer that proves nothing: unconfirmed, of old confirmation, or of a higher version.
TEST(standing, what_a_peer_confirms) {
    const struct {
        std::optional<mangopulley::duration> confirmation;
        std::uint64_t version{};
        standing_state expected{};
    } rows[] = {
        {0ms, 5U, confirmed}, {3999ms, 5U, confirmed},      {0ms, 4U, confirmed},
        {0ms, 0U, confirmed}, {std::nullopt, 5U, isolated}, {4001ms, 5U, isolated},
        {0ms, 6U, isolated},  {3999ms, 6U, isolated},       {std::nullopt, 99U, isolated},
    };
    for (const auto& row : rows) {
        standing fresh{this->time,
                       {.own_version = [] { return 5U; },
                        .contacts =
                            [](time_point) {
                                return contact_counts{5U, 2U};
                            }}};
        fresh.peer_answered({incarnation_id{1U}, this->time.now(), row.version, row.confirmation, std::nullopt});
        CHECK_TRUE(fresh.state() == row.expected);
        CHECK_EQUAL(row.expected == confirmed, fresh.serving());
    }
}

// Guards against ages that are lost on the way: the age at the peer and the time of the exchange add up.
TEST(standing, ages_add_up_from_before_the_request) {
    const auto sent = this->time.now();
    this->pass(400ms);
    this->proof.peer_answered({incarnation_id{1U}, sent, 5U, 1500ms, 1200ms});
    CHECK_TRUE(this->proof.age_of_confirmation() == 1900ms);
    CHECK_TRUE(this->proof.age_of_contact() == 400ms);
    CHECK_FALSE(this->proof.age_of_store_contact().has_value());
    this->proof.store_answered(sent + 100ms, 5U);
    CHECK_TRUE(this->proof.age_of_confirmation() == 300ms);
    CHECK_TRUE(this->proof.age_of_store_contact() == 300ms);
    this->hear(2U, 5U, 3s);
    CHECK_TRUE(this->proof.age_of_confirmation() == 300ms);
}

// Guards against an answer of the store about a higher version that is not in force yet.
TEST(standing, store_confirms_only_the_version_in_force) {
    this->proof.store_answered(this->time.now(), 6U);
    CHECK_FALSE(this->proof.age_of_confirmation().has_value());
    this->version = 6U;
    this->proof.store_answered(this->time.now(), 6U);
    CHECK_TRUE(this->proof.state() == confirmed);
}

// Guards against wrong judgement 4 s after the last confirmation, and against serving 4.5 s after it when isolated.
TEST(standing, after_the_last_confirmation) {
    const struct {
        const char* what{};
        contact_counts counts{};
        bool peer_reaches_store{};
        std::uint64_t peer_version{};
        standing_state expected{};
    } rows[] = {
        {"store down for all", {5U, 5U}, false, 5U, store_outage},
        {"store down, bare majority", {5U, 3U}, false, 5U, store_outage},
        {"one instance cut off", {5U, 1U}, false, 0U, isolated},
        {"minority cut off", {5U, 2U}, false, 5U, isolated},
        {"half cut off", {4U, 2U}, false, 5U, isolated},
        {"no list of instances", {0U, 0U}, false, 5U, isolated},
        {"a peer reaches the store, this instance is behind", {5U, 5U}, true, 6U, isolated},
        {"a peer reaches the store but is not confirmed", {5U, 5U}, true, 5U, isolated},
        {"store down, a peer is ahead", {5U, 5U}, false, 6U, isolated},
        {"store down, a peer is behind", {5U, 5U}, false, 4U, store_outage},
    };
    std::uint64_t peer{};
    for (const auto& row : rows) {
        ++peer; // versions of a peer never fall
        this->counts = row.counts;
        this->proof.store_answered(this->time.now(), 5U);
        for (auto passed = 0ms; passed < 4400ms; passed += 100ms) {
            CHECK_TRUE_TEXT(this->proof.serving(), row.what);
            this->pass(100ms);
            this->hear(peer, row.peer_version, std::nullopt,
                       row.peer_reaches_store ? std::optional<mangopulley::duration>{10ms} : std::nullopt);
        }
        CHECK_TRUE_TEXT(this->proof.state() == row.expected, row.what);
        this->pass(100ms);
        CHECK_EQUAL_TEXT(row.expected == store_outage, this->proof.serving(), row.what);
        CHECK_TRUE_TEXT(this->proof.serving(5s), row.what);
        CHECK_EQUAL_TEXT(row.expected == store_outage, this->proof.serving(1s), row.what);
        this->pass(500ms);
        CHECK_EQUAL_TEXT(row.expected == store_outage, this->proof.serving(5s), row.what);
        // The contact with the peer's store must have aged before the next row.
        this->pass(5s);
    }
}

// Guards against a restarted instance that serves during a store outage with a version that others have replaced: it
// needs the versions of more than half of the instances, its own included.
TEST(standing, restarted_while_the_store_is_down) {
    const struct {
        std::uint64_t own{};
        std::vector<std::uint64_t> heard;
        bool expected{};
    } rows[] = {
        {0U, {}, false},           {5U, {5U}, false},         {5U, {5U, 5U}, true}, {5U, {5U, 4U}, true},
        {0U, {5U, 5U, 5U}, false}, {4U, {4U, 4U, 5U}, false}, {0U, {0U, 0U}, true},
    };
    for (const auto& row : rows) {
        standing restarted{this->time,
                           {.own_version = [&row] { return row.own; },
                            .contacts =
                                [](time_point) {
                                    return contact_counts{5U, 4U};
                                }}};
        restarted.tick();
        std::uint64_t peer{};
        for (const auto heard : row.heard) {
            this->time.advance(100ms);
            restarted.tick();
            restarted.peer_answered({incarnation_id{++peer}, this->time.now(), heard, std::nullopt, std::nullopt});
        }
        CHECK_EQUAL(row.expected, restarted.serving());
        CHECK_FALSE(restarted.serving() && restarted.state() == confirmed);
    }
}

// Guards against versions heard before an edit: those heard while the store was up, or without a majority, do not
// count.
TEST(standing, versions_heard_before_the_outage_do_not_count) {
    this->hear(1U, 5U, std::nullopt, 0ms);
    this->hear(2U, 5U, std::nullopt, 0ms);
    this->pass(4500ms);
    CHECK_FALSE(this->proof.serving());
    this->hear(1U, 5U);
    CHECK_FALSE(this->proof.serving());
    this->hear(2U, 5U);
    CHECK_TRUE(this->proof.state() == store_outage);
}

// Guards against a frozen instance that acts on waking, even before its first tick, on what it knew before.
TEST(standing, gap_voids_all_until_renewed) {
    for (const bool outage : {false, true}) {
        this->proof.store_answered(this->time.now(), 5U);
        if (outage) {
            this->pass(4500ms);
            CHECK_TRUE(this->proof.state() == store_outage);
            this->proof.peer_answered({incarnation_id{3U}, this->time.now(), 5U, std::nullopt, std::nullopt});
        }
        const auto before = this->time.now();
        const auto gaps = this->proof.gaps();
        this->time.advance(501ms);
        CHECK_FALSE(this->proof.serving());
        CHECK_TRUE(this->proof.state() == isolated);
        CHECK_FALSE(this->proof.age_of_contact().has_value());
        this->proof.tick();
        CHECK_EQUAL(gaps + 1U, this->proof.gaps());
        CHECK_FALSE(this->proof.serving());
        CHECK_TRUE(this->proof.serving(60s));
        // Replies to requests from before the gap renew nothing.
        this->proof.peer_answered({incarnation_id{1U}, before, 5U, 0ms, std::nullopt});
        this->proof.store_answered(before, 5U);
        CHECK_FALSE(this->proof.serving());
        CHECK_FALSE(this->proof.age_of_confirmation().has_value());
        // Contacts proved before the gap do not count either.
        static_cast<void>(this->proof.state());
        CHECK_TRUE(this->asked_since > before);
        this->pass(100ms);
        this->hear(1U, 5U, 100ms);
        CHECK_TRUE(this->proof.state() == confirmed);
    }
}

// Guards against taking a busy host for a frozen process.
TEST(standing, late_ticks_up_to_the_limit_are_no_gap) {
    this->proof.store_answered(this->time.now(), 5U);
    for (int count = 0; count < 8; ++count) {
        this->time.advance(500ms);
        this->proof.tick();
        CHECK_TRUE(this->proof.serving());
    }
    CHECK_EQUAL(0U, this->proof.gaps());
}

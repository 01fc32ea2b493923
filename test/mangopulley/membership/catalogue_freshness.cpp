#include <fake/fake_clock.hpp>
#include <mangopulley/membership/catalogue_freshness.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::catalogue_freshness;
using mangopulley::contact_counts;
using mangopulley::freshness_state;
using mangopulley::incarnation_id;
using mangopulley::milliseconds;
using mangopulley::peer_report;
using mangopulley::time_point;
using namespace std::chrono_literals;
using enum mangopulley::freshness_state;

TEST_GROUP(catalogue_freshness) {
    fake::fake_clock time{};
    std::uint64_t version{5U};
    contact_counts counts{5U, 5U};
    time_point contacts_since{};
    catalogue_freshness freshness{time,
                                  {.own_version = [this] { return this->version; },
                                   .contacts =
                                       [this](time_point since) {
                                           this->contacts_since = since;
                                           return this->counts;
                                       }}};

    /*! @brief Advances the time with ticks as in a process that is not frozen. */
    void advance_with_ticks(const milliseconds length) {
        for (auto left = length; left > 0ms; left -= 100ms) {
            this->time.advance(std::min(left, 100ms));
            this->freshness.tick();
        }
    }

    void record_reply(const std::uint64_t peer, const std::uint64_t peer_version,
                      const std::optional<mangopulley::duration> confirmed = std::nullopt,
                      const std::optional<mangopulley::duration> store = std::nullopt) {
        this->freshness.record_peer_reply({incarnation_id{peer}, this->time.now(), peer_version, confirmed, store});
    }
};

// Guards against confirmation by a peer that is unconfirmed, has an old confirmation, or has a higher version.
TEST(catalogue_freshness, peer_confirmation_rules) {
    const struct {
        std::optional<mangopulley::duration> confirmation;
        std::uint64_t version{};
        freshness_state expected{};
    } rows[] = {
        {0ms, 5U, confirmed}, {3999ms, 5U, confirmed},      {0ms, 4U, confirmed},
        {0ms, 0U, confirmed}, {std::nullopt, 5U, isolated}, {4001ms, 5U, isolated},
        {0ms, 6U, isolated},  {3999ms, 6U, isolated},       {std::nullopt, 99U, isolated},
    };
    for (const auto& row : rows) {
        catalogue_freshness fresh{this->time,
                                  {.own_version = [] { return 5U; },
                                   .contacts =
                                       [](time_point) {
                                           return contact_counts{5U, 2U};
                                       }}};
        fresh.record_peer_reply({incarnation_id{1U}, this->time.now(), row.version, row.confirmation, std::nullopt});
        CHECK_TRUE(fresh.state() == row.expected);
        CHECK_EQUAL(row.expected == confirmed, fresh.serving());
    }
}

// Guards against ages that look too low: the age reported by the peer and the time since the request was sent add up.
TEST(catalogue_freshness, ages_add_up_from_before_the_request) {
    const auto sent = this->time.now();
    this->advance_with_ticks(400ms);
    this->freshness.record_peer_reply({incarnation_id{1U}, sent, 5U, 1500ms, 1200ms});
    CHECK_TRUE(this->freshness.age_of_confirmation() == 1900ms);
    CHECK_TRUE(this->freshness.age_of_contact() == 400ms);
    CHECK_FALSE(this->freshness.age_of_store_contact().has_value());
    this->freshness.record_store_response(sent + 100ms, 5U);
    CHECK_TRUE(this->freshness.age_of_confirmation() == 300ms);
    CHECK_TRUE(this->freshness.age_of_store_contact() == 300ms);
    this->record_reply(2U, 5U, 3s);
    CHECK_TRUE(this->freshness.age_of_confirmation() == 300ms);
}

// Guards against confirmation by a store response with a higher version that is not in force yet.
TEST(catalogue_freshness, store_confirms_only_the_version_in_force) {
    this->freshness.record_store_response(this->time.now(), 6U);
    CHECK_FALSE(this->freshness.age_of_confirmation().has_value());
    this->version = 6U;
    this->freshness.record_store_response(this->time.now(), 6U);
    CHECK_TRUE(this->freshness.state() == confirmed);
}

// Guards against a wrong state 4 s after the last confirmation, and against serving 4.5 s after it when isolated.
TEST(catalogue_freshness, state_after_the_last_confirmation) {
    const struct {
        const char* label{};
        contact_counts counts{};
        bool peer_reaches_store{};
        std::uint64_t peer_version{};
        freshness_state expected{};
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
        ++peer; // the version of a peer never decreases
        this->counts = row.counts;
        this->freshness.record_store_response(this->time.now(), 5U);
        for (auto passed = 0ms; passed < 4400ms; passed += 100ms) {
            CHECK_TRUE_TEXT(this->freshness.serving(), row.label);
            this->advance_with_ticks(100ms);
            this->record_reply(peer, row.peer_version, std::nullopt,
                               row.peer_reaches_store ? std::optional<mangopulley::duration>{10ms} : std::nullopt);
        }
        CHECK_TRUE_TEXT(this->freshness.state() == row.expected, row.label);
        this->advance_with_ticks(100ms);
        CHECK_EQUAL_TEXT(row.expected == store_outage, this->freshness.serving(), row.label);
        CHECK_TRUE_TEXT(this->freshness.serving(5s), row.label);
        CHECK_EQUAL_TEXT(row.expected == store_outage, this->freshness.serving(1s), row.label);
        this->advance_with_ticks(500ms);
        CHECK_EQUAL_TEXT(row.expected == store_outage, this->freshness.serving(5s), row.label);
        // Lets the peer's contact with the store expire before the next row.
        this->advance_with_ticks(5s);
    }
}

// Guards against a restarted instance that serves an outdated version during a store outage: it needs the versions of
// more than half of the instances, its own included.
TEST(catalogue_freshness, restarted_while_the_store_is_down) {
    const struct {
        std::uint64_t own{};
        std::vector<std::uint64_t> peer_versions;
        bool expected{};
    } rows[] = {
        {0U, {}, false},           {5U, {5U}, false},         {5U, {5U, 5U}, true}, {5U, {5U, 4U}, true},
        {0U, {5U, 5U, 5U}, false}, {4U, {4U, 4U, 5U}, false}, {0U, {0U, 0U}, true},
    };
    for (const auto& row : rows) {
        catalogue_freshness restarted{this->time,
                                      {.own_version = [&row] { return row.own; },
                                       .contacts =
                                           [](time_point) {
                                               return contact_counts{5U, 4U};
                                           }}};
        restarted.tick();
        std::uint64_t peer{};
        for (const auto peer_version : row.peer_versions) {
            this->time.advance(100ms);
            restarted.tick();
            restarted.record_peer_reply(
                {incarnation_id{++peer}, this->time.now(), peer_version, std::nullopt, std::nullopt});
        }
        CHECK_EQUAL(row.expected, restarted.serving());
        CHECK_FALSE(restarted.serving() && restarted.state() == confirmed);
    }
}

// Guards against versions reported before an edit: those from a time with a reachable store or without a majority do
// not count.
TEST(catalogue_freshness, versions_reported_before_the_outage_do_not_count) {
    this->record_reply(1U, 5U, std::nullopt, 0ms);
    this->record_reply(2U, 5U, std::nullopt, 0ms);
    this->advance_with_ticks(4500ms);
    CHECK_FALSE(this->freshness.serving());
    this->record_reply(1U, 5U);
    CHECK_FALSE(this->freshness.serving());
    this->record_reply(2U, 5U);
    CHECK_TRUE(this->freshness.state() == store_outage);
}

// Guards against an instance that resumes after a freeze and acts on outdated information, even before its first tick.
TEST(catalogue_freshness, tick_gap_invalidates_evidence_until_renewed) {
    for (const bool outage : {false, true}) {
        this->freshness.record_store_response(this->time.now(), 5U);
        if (outage) {
            this->advance_with_ticks(4500ms);
            CHECK_TRUE(this->freshness.state() == store_outage);
            this->freshness.record_peer_reply({incarnation_id{3U}, this->time.now(), 5U, std::nullopt, std::nullopt});
        }
        const auto before = this->time.now();
        const auto tick_gaps = this->freshness.tick_gaps();
        this->time.advance(501ms);
        CHECK_FALSE(this->freshness.serving());
        CHECK_TRUE(this->freshness.state() == isolated);
        CHECK_FALSE(this->freshness.age_of_contact().has_value());
        this->freshness.tick();
        CHECK_EQUAL(tick_gaps + 1U, this->freshness.tick_gaps());
        CHECK_FALSE(this->freshness.serving());
        CHECK_TRUE(this->freshness.serving(60s));
        // Replies to requests sent before the gap renew nothing.
        this->freshness.record_peer_reply({incarnation_id{1U}, before, 5U, 0ms, std::nullopt});
        this->freshness.record_store_response(before, 5U);
        CHECK_FALSE(this->freshness.serving());
        CHECK_FALSE(this->freshness.age_of_confirmation().has_value());
        // Contacts proved before the gap do not count either.
        static_cast<void>(this->freshness.state());
        CHECK_TRUE(this->contacts_since > before);
        this->advance_with_ticks(100ms);
        this->record_reply(1U, 5U, 100ms);
        CHECK_TRUE(this->freshness.state() == confirmed);
    }
}

// Guards against mistaking a busy host for a frozen process.
TEST(catalogue_freshness, delayed_ticks_up_to_the_limit_are_no_gap) {
    this->freshness.record_store_response(this->time.now(), 5U);
    for (int count = 0; count < 8; ++count) {
        this->time.advance(500ms);
        this->freshness.tick();
        CHECK_TRUE(this->freshness.serving());
    }
    CHECK_EQUAL(0U, this->freshness.tick_gaps());
}

#include <array>
#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <fake/fake_clock.hpp>
#include <fake/fake_store.hpp>
#include <mangopulley/catalogue/catalogue_editor.hpp>
#include <mangopulley/catalogue/parse.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::catalogue_editor;
using mangopulley::catalogue_key;
using mangopulley::decode_catalogue;
using mangopulley::edit_receipt;
using mangopulley::edit_unknown_error;
using mangopulley::input_error;
using mangopulley::milliseconds;
using mangopulley::result;
using mangopulley::stale_edit_error;
using mangopulley::store_error;

namespace {

using write_fault = fake::fake_store::write_fault;

[[nodiscard]] std::string text_with_slots(const unsigned slots) {
    return "services: [{name: a, owner: o, targets: {slots: " + std::to_string(slots) + "}}]\n";
}

/*! @brief Store that passes writes of the current catalogue to a script and all other calls to `inner`. */
class scripted_store final : public mangopulley::store_client {
public:
    using script = result<std::uint64_t> (*)(scripted_store&, unsigned number, std::string_view value,
                                             std::uint64_t expected);

    [[nodiscard]] result<mangopulley::stored_object> get(std::string_view key) override { return this->inner.get(key); }
    [[nodiscard]] result<std::uint64_t> put(std::string_view key, std::string_view value,
                                            std::uint64_t expected) override {
        if (key == catalogue_key && this->write != nullptr) {
            return this->write(*this, ++this->number, value, expected);
        }
        return this->inner.put(key, value, expected);
    }
    [[nodiscard]] result<std::optional<mangopulley::stored_object>> watch(std::string_view key, std::uint64_t after,
                                                                          milliseconds wait) override {
        return this->inner.watch(key, after, wait);
    }
    [[nodiscard]] result<std::vector<mangopulley::listed_object>> list(std::string_view prefix) override {
        return this->inner.list(prefix);
    }
    [[nodiscard]] result<std::optional<mangopulley::instance_list>> watch_instances(std::uint64_t after,
                                                                                    milliseconds wait) override {
        return this->inner.watch_instances(after, wait);
    }

    /*! @brief Writes to `inner` with an injected fault. */
    [[nodiscard]] result<std::uint64_t> put_with_fault(const write_fault fault, std::string_view value,
                                                       std::uint64_t expected) {
        this->inner.fault = fault;
        auto outcome = this->inner.put(catalogue_key, value, expected);
        this->inner.fault = write_fault::none;
        return outcome;
    }

    /*! @brief Applies edits by another operator, each based on the version current at the time. */
    void apply_other_edits(const unsigned count) {
        const fake::fake_clock other_clock{};
        catalogue_editor other{this->inner, other_clock};
        for (unsigned edit = 0U; edit < count; ++edit) {
            const auto version = other.current()->version;
            CHECK_TRUE(other.apply(text_with_slots(100U + edit), version, "other").has_value());
        }
    }

    fake::fake_store inner{};
    script write{};
    unsigned number{};
    /*! @brief Number of the pause after which the store is up again; 0 for never. */
    unsigned up_after_pause{};
    /*! @brief Value whose write takes effect after a delay. */
    std::string delayed{};
};

struct outcome {
    std::string kind{};
    std::uint64_t version{};
    std::string edit_id{};
    bool history_written{};
    /*! @brief Number of changes listed; -1 when they are not known. */
    int changes{-1};
};

template <typename Changes>
[[nodiscard]] int count_of(const Changes& changes) {
    return changes ? static_cast<int>(changes->size()) : -1;
}

[[nodiscard]] outcome run_edit(catalogue_editor& editor, const std::string_view text, const std::uint64_t based_on) {
    return boost::leaf::try_handle_all(
        [&]() -> result<outcome> {
            BOOST_LEAF_AUTO(receipt, editor.apply(text, based_on, "operator"));
            return outcome{"accepted", receipt.version, receipt.edit_id, receipt.history_written,
                           count_of(receipt.changes)};
        },
        [](const stale_edit_error& error) {
            return outcome{"stale", error.current, {}, false, count_of(error.changes)};
        },
        [](const edit_unknown_error& error) {
            return outcome{"unknown", error.version, error.edit_id, false, -1};
        },
        [](const input_error&) {
            return outcome{"input", 0U, {}, false, -1};
        },
        [](const store_error&) {
            return outcome{"store", 0U, {}, false, -1};
        },
        [] {
            return outcome{"untyped", 0U, {}, false, -1};
        });
}

struct fault_case {
    const char* name;
    void (*prepare)(scripted_store& store);
    scripted_store::script write;
    std::uint64_t based_on;
    const char* kind;
    /*! @brief Version in the receipt or in the error. */
    std::uint64_t version;
    int changes;
    /*! @brief Version in the store afterwards. */
    std::uint64_t stored;
};

void no_preparation(scripted_store& /*store*/) {}

using view = std::string_view;
using number_type = std::uint64_t;

// The catalogue is at version 1 with 2 slots; the edit under test is based on it and sets 3 slots.
const std::array<fault_case, 19U> fault_cases{{
    {"no fault", no_preparation, nullptr, 1U, "accepted", 2U, 1, 2U},
    {"based on an older version", [](scripted_store& store) { store.apply_other_edits(2U); }, nullptr, 1U, "stale", 3U,
     1, 3U},
    {"based on a version that is not in the history",
     [](scripted_store& store) {
         store.apply_other_edits(1U);
         store.inner.objects.erase("catalogue/history/1");
     },
     nullptr, 1U, "stale", 2U, -1, 2U},
    {"based on a later version than the current one", no_preparation, nullptr, 9U, "stale", 1U, -1, 1U},
    {"other operator between read and write", no_preparation,
     [](scripted_store& store, unsigned number, view value, number_type expected) {
         store.apply_other_edits(number == 1U ? 1U : 0U);
         return store.inner.put(catalogue_key, value, expected);
     },
     1U, "stale", 2U, 1, 2U},
    {"reply lost after the effect", no_preparation,
     [](scripted_store& store, unsigned /*number*/, view value, number_type expected) {
         return store.put_with_fault(write_fault::reply_lost_after_effect, value, expected);
     },
     1U, "accepted", 2U, 1, 2U},
    {"reply lost after the effect, a later edit followed", no_preparation,
     [](scripted_store& store, unsigned /*number*/, view value, number_type expected) {
         auto lost = store.put_with_fault(write_fault::reply_lost_after_effect, value, expected);
         store.apply_other_edits(1U);
         return lost;
     },
     1U, "accepted", 2U, 1, 3U},
    {"reply lost after the effect, more edits followed than are listed", no_preparation,
     [](scripted_store& store, unsigned /*number*/, view value, number_type expected) {
         auto lost = store.put_with_fault(write_fault::reply_lost_after_effect, value, expected);
         store.apply_other_edits(70U);
         return lost;
     },
     1U, "accepted", 2U, 1, 72U},
    {"as before, and the version is missing from the history", no_preparation,
     [](scripted_store& store, unsigned /*number*/, view value, number_type expected) {
         auto lost = store.put_with_fault(write_fault::reply_lost_after_effect, value, expected);
         store.apply_other_edits(70U);
         store.inner.objects.erase("catalogue/history/2");
         return lost;
     },
     1U, "unknown", 2U, -1, 72U},
    {"reply lost before the effect, more edits followed than are listed", no_preparation,
     [](scripted_store& store, unsigned /*number*/, view value, number_type expected) {
         auto lost = store.put_with_fault(write_fault::reply_lost_before_effect, value, expected);
         store.apply_other_edits(70U);
         return lost;
     },
     1U, "stale", 71U, 1, 71U},
    {"reply lost before the effect", no_preparation,
     [](scripted_store& store, unsigned number, view value, number_type expected) {
         return store.put_with_fault(number == 1U ? write_fault::reply_lost_before_effect : write_fault::none, value,
                                     expected);
     },
     1U, "accepted", 2U, 1, 2U},
    {"reply lost before the effect, another edit followed", no_preparation,
     [](scripted_store& store, unsigned /*number*/, view value, number_type expected) {
         auto lost = store.put_with_fault(write_fault::reply_lost_before_effect, value, expected);
         store.apply_other_edits(1U);
         return lost;
     },
     1U, "stale", 2U, 1, 2U},
    {"every reply lost before the effect", no_preparation,
     [](scripted_store& store, unsigned /*number*/, view value, number_type expected) {
         return store.put_with_fault(write_fault::reply_lost_before_effect, value, expected);
     },
     1U, "unknown", 2U, -1, 1U},
    {"effect comes after the read that follows the lost reply", no_preparation,
     [](scripted_store& store, unsigned number, view value, number_type expected) {
         if (number == 1U) {
             store.delayed = value;
             return store.put_with_fault(write_fault::reply_lost_before_effect, value, expected);
         }
         CHECK_TRUE(store.inner.put(catalogue_key, store.delayed, expected).has_value());
         return store.inner.put(catalogue_key, value, expected);
     },
     1U, "accepted", 2U, 1, 2U},
    {"reply lost after the effect, store down for good", no_preparation,
     [](scripted_store& store, unsigned /*number*/, view value, number_type expected) {
         auto lost = store.put_with_fault(write_fault::reply_lost_after_effect, value, expected);
         store.inner.down = true;
         return lost;
     },
     1U, "unknown", 2U, -1, 2U},
    {"reply lost after the effect, store down for some pauses", no_preparation,
     [](scripted_store& store, unsigned /*number*/, view value, number_type expected) {
         auto lost = store.put_with_fault(write_fault::reply_lost_after_effect, value, expected);
         store.inner.down = true;
         store.up_after_pause = 4U;
         return lost;
     },
     1U, "accepted", 2U, 1, 2U},
    {"store down from the start", [](scripted_store& store) { store.inner.down = true; }, nullptr, 1U, "store", 0U, -1,
     1U},
    {"store down for some pauses",
     [](scripted_store& store) {
         store.inner.down = true;
         store.up_after_pause = 4U;
     },
     nullptr, 1U, "accepted", 2U, 1, 2U},
    {"malformed object", [](scripted_store& store) { store.inner.objects["catalogue/current"].value = "{"; }, nullptr,
     1U, "input", 0U, -1, 0U},
}};

[[nodiscard]] std::uint64_t stored_version(scripted_store& store) {
    const auto read = decode_catalogue("test", store.inner.objects[std::string{catalogue_key}].value);
    return read ? read->version : 0U;
}

/*! @brief Counts in the object how often an edit was listed. */
[[nodiscard]] std::size_t times_listed(catalogue_editor& editor, const std::string& id) {
    std::size_t count = 0U;
    const auto history = editor.history();
    CHECK_TRUE(history.has_value());
    for (const auto& edit : history->edits) {
        count += edit.id == id ? 1U : 0U;
    }
    return count;
}

} // namespace

TEST_GROUP(catalogue_editor){};

// Guards against a wrongly reported acceptance or rejection after a store fault.
TEST(catalogue_editor, reports_the_actual_outcome_after_each_fault) {
    for (const auto& fault : fault_cases) {
        scripted_store store{};
        fake::fake_clock time{};
        unsigned pauses = 0U;
        catalogue_editor editor{store, time, {}, [&](const milliseconds delay) {
                                    time.advance(delay);
                                    if (++pauses == store.up_after_pause) {
                                        store.inner.down = false;
                                    }
                                }};
        CHECK_TRUE_TEXT(run_edit(editor, text_with_slots(2U), 0U).kind == "accepted", fault.name);
        fault.prepare(store);
        store.write = fault.write;
        const auto begin = time.now();

        const auto found = run_edit(editor, text_with_slots(3U), fault.based_on);

        STRCMP_EQUAL_TEXT(fault.kind, found.kind.c_str(), fault.name);
        LONGS_EQUAL_TEXT(fault.version, found.version, fault.name);
        LONGS_EQUAL_TEXT(fault.changes, found.changes, fault.name);
        LONGS_EQUAL_TEXT(fault.stored, stored_version(store), fault.name);
        CHECK_TRUE_TEXT(time.now() - begin <= std::chrono::seconds{10}, fault.name);
        store.inner.down = false;
        if (found.kind == "accepted" && fault.stored < 64U) {
            CHECK_TRUE_TEXT(found.history_written, fault.name);
            LONGS_EQUAL_TEXT(1, times_listed(editor, found.edit_id), fault.name);
        }
        if (found.kind == "unknown" && fault.stored < 64U) {
            // The history shows later whether the edit took effect.
            LONGS_EQUAL_TEXT(fault.stored - 1U, times_listed(editor, found.edit_id), fault.name);
        }
    }
}

// Guards against writing a catalogue or an operator name that must be rejected.
TEST(catalogue_editor, rejects_invalid_input_without_writing) {
    fake::fake_store store{};
    fake::fake_clock time{};
    catalogue_editor editor{store, time};
    CHECK_TRUE(run_edit(editor, "services: 7", 0U).kind == "input");
    // The text is within its own limit, but its JSON escapes exceed the limit of the store.
    const auto quotes = "services: []\n#" + std::string(600'000U, '"') + '\n';
    CHECK_TRUE(mangopulley::parse_catalogue("test", quotes).has_value());
    STRCMP_EQUAL("input", run_edit(editor, quotes, 0U).kind.c_str());
    CHECK_FALSE(editor.apply("services: []", 0U, "").has_value());
    CHECK_FALSE(editor.apply("services: []", 0U, "a\nb").has_value());
    CHECK_EQUAL(0U, store.writes);
}

// Guards against reporting an accepted edit as failed because its copy in the history could not be written.
TEST(catalogue_editor, accepts_without_history) {
    scripted_store store{};
    fake::fake_clock time{};
    catalogue_editor editor{store, time};
    store.write = [](scripted_store& target, unsigned /*number*/, view value, number_type expected) {
        auto written = target.inner.put(catalogue_key, value, expected);
        target.inner.down = true;
        return written;
    };
    const auto first = run_edit(editor, text_with_slots(2U), 0U);
    CHECK_TRUE(first.kind == "accepted");
    CHECK_FALSE(first.history_written);
    store.inner.down = false;
    store.write = nullptr;
    // The next edit writes the previous version to the history as well.
    CHECK_TRUE(run_edit(editor, text_with_slots(3U), 1U).kind == "accepted");
    const auto history = editor.history();
    CHECK_TRUE(history.has_value() && history->stored_versions.has_value());
    CHECK_TRUE(*history->stored_versions == std::vector<std::uint64_t>({1U, 2U}));
}

// Guards against reporting the same version as accepted to two operators, also when replies are lost.
TEST(catalogue_editor, accepts_each_version_from_only_one_operator) {
    scripted_store store{};
    static std::atomic<unsigned> writes{};
    // `fake_store::fault` is not thread-safe, so the script itself drops the reply of every third write after the write
    // took effect.
    store.write = [](scripted_store& target, unsigned /*number*/, view value,
                     number_type expected) -> result<std::uint64_t> {
        BOOST_LEAF_AUTO(version, target.inner.put(catalogue_key, value, expected));
        if (++writes % 3U == 0U) {
            return boost::leaf::new_error(store_error{store_error::code::effect_unknown, "test", "injected"});
        }
        return version;
    };
    std::mutex guard{};
    std::multiset<std::uint64_t> accepted{};
    const auto operate = [&] {
        const mangopulley::system_clock_source time{};
        catalogue_editor editor{store, time, {milliseconds{10'000}, milliseconds{1}, milliseconds{2}}};
        for (unsigned round = 0U; round < 40U; ++round) {
            const auto current = editor.current();
            const auto found = run_edit(editor, text_with_slots(round + 1U), current ? current->version : 0U);
            if (found.kind == "accepted") {
                const std::lock_guard lock{guard};
                accepted.insert(found.version);
            } else if (found.kind != "stale") {
                const std::lock_guard lock{guard};
                accepted.insert(0U);
            }
        }
    };
    std::thread first{operate};
    std::thread second{operate};
    first.join();
    second.join();
    CHECK_EQUAL(0U, accepted.count(0U));
    CHECK_EQUAL(accepted.size(), stored_version(store));
    for (std::uint64_t version = 1U; version <= accepted.size(); ++version) {
        CHECK_EQUAL(1U, accepted.count(version));
    }
}

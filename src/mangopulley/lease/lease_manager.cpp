#include "lease_manager.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "../store/store_client.hpp"

namespace mangopulley {

namespace internal {

// Writes whose effect is unknown and that may still appear in the store; older ones have lapsed by then.
constexpr std::size_t max_pending_writes = 8U;

// Limits how long a corrupt value can make observers wait.
constexpr std::uint64_t max_duration_ms = 600'000U;

/*! @brief Former holder and the fence of its tenure, which lapsed without a release. */
struct lapsed_tenure {
    incarnation_id holder{};
    std::uint64_t fence{};
};

struct lease_value {
    incarnation_id holder{};
    /*! @brief Random id of the write; tells apart values that are otherwise equal. */
    std::uint64_t write_id{};
    std::uint64_t fence{};
    milliseconds duration{};
    std::vector<lapsed_tenure> lapsed{};
};

[[nodiscard]] std::string serialize(const lease_value& value) {
    auto lapsed = nlohmann::json::array();
    for (const auto& tenure : value.lapsed) {
        lapsed.push_back({{"holder", tenure.holder.to_string()}, {"fence", tenure.fence}});
    }
    return nlohmann::json{{"holder", value.holder.to_string()},
                          {"write", incarnation_id{value.write_id}.to_string()},
                          {"fence", value.fence},
                          {"duration_ms", value.duration.count()},
                          {"lapsed", std::move(lapsed)}}
        .dump();
}

[[nodiscard]] std::optional<incarnation_id> parse_id(const nlohmann::json& value) {
    return value.is_string() ? incarnation_id::parse(value.get_ref<const std::string&>()) : std::nullopt;
}

[[nodiscard]] std::optional<lease_value> parse_value(const std::string& text) {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("holder") || !json.contains("write") || !json.contains("fence") ||
        !json.contains("duration_ms") || !json.contains("lapsed") || !json["fence"].is_number_unsigned() ||
        !json["duration_ms"].is_number_unsigned() || !json["lapsed"].is_array()) {
        return std::nullopt;
    }
    const auto holder = parse_id(json["holder"]);
    const auto write_id = parse_id(json["write"]);
    if (!holder || !write_id) {
        return std::nullopt;
    }
    lease_value value{*holder,
                      write_id->value(),
                      json["fence"].get<std::uint64_t>(),
                      milliseconds{std::min(json["duration_ms"].get<std::uint64_t>(), max_duration_ms)},
                      {}};
    for (const auto& entry : json["lapsed"]) {
        if (!entry.is_object() || !entry.contains("holder") || !entry.contains("fence") ||
            !entry["fence"].is_number_unsigned()) {
            return std::nullopt;
        }
        const auto former = parse_id(entry["holder"]);
        if (!former) {
            return std::nullopt;
        }
        value.lapsed.push_back({*former, entry["fence"].get<std::uint64_t>()});
    }
    return value;
}

struct pending_write {
    lease_value value{};
    time_point sent{};
};

struct lease_record {
    bool busy{};
    /*! @brief Version of the object as last seen; 0 if there is none. */
    std::uint64_t version{};
    std::optional<lease_value> value{};
    /*! @brief Time at which this version was first seen, taken after the response arrived. */
    time_point seen{};
    /*! @brief Whether `version` and `value` are the latest as far as this instance knows. */
    bool known{};
    std::optional<lease_grant> grant{};
    /*! @brief Own writes whose effect is unknown. */
    std::deque<pending_write> pending{};
    /*! @brief Time since which this instance knows of each lapsed tenure, by fence. */
    std::map<std::uint64_t, time_point> lapsed_since{};
};

/*! @brief Clears the `busy` flag of a record on destruction. */
class busy_guard {
public:
    busy_guard(std::mutex& lock, lease_record& locked) : guard{lock}, record{locked} {}
    busy_guard(const busy_guard&) = delete;
    busy_guard& operator=(const busy_guard&) = delete;
    ~busy_guard() {
        const std::lock_guard lock{this->guard};
        this->record.busy = false;
    }

private:
    std::mutex& guard;
    lease_record& record;
};

} // namespace internal

struct lease_manager::implementation {
    const clock& time;
    store_client& store;
    incarnation_id own;
    lease_timing timing;
    std::function<std::uint64_t()> generate_write_id;
    mutable std::mutex guard{};
    /*! @brief Records by lease name, never erased. Fields other than `busy` and `grant` belong to the thread that set
     * `busy`. */
    std::map<std::string, internal::lease_record, std::less<>> records{};

    implementation(const clock& source, store_client& client, const incarnation_id self, const lease_timing durations,
                   std::function<std::uint64_t()> generate)
        : time{source}, store{client}, own{self}, timing{durations}, generate_write_id{std::move(generate)} {}

    [[nodiscard]] internal::lease_record* try_lock_record(const std::string_view name) {
        const std::lock_guard lock{this->guard};
        auto& record = this->records[std::string{name}];
        return std::exchange(record.busy, true) ? nullptr : &record;
    }

    void set_grant(internal::lease_record& record, const std::optional<lease_grant>& grant) {
        const std::lock_guard lock{this->guard};
        record.grant = grant;
    }

    [[nodiscard]] static boost::leaf::error_id fail(const enum lease_error::code code, const std::string_view name,
                                                    const incarnation_id holder = {}) {
        return boost::leaf::new_error(lease_error{code, std::string{name}, holder});
    }

    /*! @brief Reads the object, records when its version was first seen, and detects own writes in it. */
    [[nodiscard]] result<void> read(const std::string_view name, internal::lease_record& record) {
        record.known = false;
        BOOST_LEAF_AUTO(object,
                        boost::leaf::try_handle_some([&] { return this->store.get("leases/" + std::string{name}); },
                                                     [](const store_error& error) -> result<stored_object> {
                                                         if (error.code == store_error::code::missing) {
                                                             return stored_object{};
                                                         }
                                                         return boost::leaf::new_error(error);
                                                     }));
        auto value = internal::parse_value(object.value);
        if (object.version != 0U && !value) {
            return fail(lease_error::code::malformed, name);
        }
        if (object.version != record.version) {
            record.version = object.version;
            record.seen = this->time.now();
        }
        record.value = std::move(value);
        record.known = true;
        this->detect_own_write(record);
        return {};
    }

    void detect_own_write(internal::lease_record& record) {
        const auto position =
            std::find_if(record.pending.begin(), record.pending.end(), [&](const internal::pending_write& write) {
                return record.value && write.value.write_id == record.value->write_id;
            });
        if (position != record.pending.end()) {
            this->apply_own_write(record, position->value, position->sent);
        }
    }

    /*! @brief Applies an own write that took effect; the grant is measured from the time at which it was sent. */
    void apply_own_write(internal::lease_record& record, const internal::lease_value& value, const time_point sent) {
        record.value = value;
        record.known = true;
        this->set_grant(record, lease_grant{value.fence, sent + value.duration, value.lapsed.size()});
        record.pending.clear();
    }

    /*! @brief Returns the value of the next own write, or nothing while another incarnation may hold the lease. */
    [[nodiscard]] std::optional<internal::lease_value> next_value(internal::lease_record& record) {
        const auto now = this->time.now();
        internal::lease_value next{this->own, this->generate_write_id(), 1U, this->timing.duration, {}};
        if (!record.value) {
            return next;
        }
        const auto& current = *record.value;
        next.fence = current.fence + 1U;
        next.lapsed = current.lapsed;
        if (current.holder == this->own) {
            // A lapsed tenure cannot be renewed; the next one gets a new fence.
            const bool unbroken = record.grant && record.grant->fence == current.fence && now < record.grant->until;
            next.fence = unbroken ? current.fence : next.fence;
        } else if (current.holder != incarnation_id{}) {
            if (now - record.seen < current.duration + this->timing.takeover_margin) {
                return std::nullopt;
            }
            next.lapsed.push_back({current.holder, current.fence});
        }
        this->drop_former_holders(record, next.lapsed, now);
        return next;
    }

    /*! @brief Drops former holders that can no longer act: this instance itself, and those that this instance has known
     * as lapsed for at least `max_freeze`. */
    void drop_former_holders(internal::lease_record& record, std::vector<internal::lapsed_tenure>& lapsed,
                             const time_point now) const {
        std::map<std::uint64_t, time_point> since{};
        std::erase_if(lapsed, [&](const internal::lapsed_tenure& tenure) {
            const auto known = record.lapsed_since.find(tenure.fence);
            const auto start = known == record.lapsed_since.end() ? now : known->second;
            since.emplace(tenure.fence, start);
            return tenure.holder == this->own || now - start >= this->timing.max_freeze;
        });
        record.lapsed_since = std::move(since);
    }

    [[nodiscard]] result<void> write(const std::string_view name, internal::lease_record& record,
                                     const internal::lease_value& value) {
        const auto sent = this->time.now();
        const auto text = internal::serialize(value);
        return boost::leaf::try_handle_some(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(version, this->store.put("leases/" + std::string{name}, text, record.version));
                record.version = version;
                record.seen = this->time.now();
                this->apply_own_write(record, value, sent);
                return {};
            },
            [&](const store_error& error) -> result<void> {
                if (error.code == store_error::code::effect_unknown) {
                    record.pending.push_back({value, sent});
                    if (record.pending.size() > internal::max_pending_writes) {
                        record.pending.pop_front();
                    }
                } else if (error.code != store_error::code::conflict) {
                    return boost::leaf::new_error(error);
                }
                if (auto outcome = this->read(name, record); !outcome) {
                    return outcome.error();
                }
                if (record.value && record.value->holder == this->own && record.grant &&
                    record.grant->fence == record.value->fence) {
                    return {};
                }
                if (error.code == store_error::code::effect_unknown) {
                    return boost::leaf::new_error(error);
                }
                return fail(lease_error::code::lost_race, name, record.value ? record.value->holder : incarnation_id{});
            });
    }
};

lease_manager::lease_manager(const clock& time, store_client& store, const incarnation_id own,
                             const lease_timing timing, std::function<std::uint64_t()> generate_write_id)
    : self{std::make_unique<implementation>(time, store, own, timing, std::move(generate_write_id))} {}

lease_manager::~lease_manager() = default;

const lease_timing& lease_manager::timing() const noexcept {
    return this->self->timing;
}

result<lease_grant> lease_manager::acquire(const std::string_view name) {
    auto* record = this->self->try_lock_record(name);
    if (record == nullptr) {
        return implementation::fail(lease_error::code::busy, name);
    }
    const internal::busy_guard busy{this->self->guard, *record};
    const bool own = record->known && record->value && record->value->holder == this->self->own;
    if (!own) {
        if (auto outcome = this->self->read(name, *record); !outcome) {
            return outcome.error();
        }
    }
    const auto next = this->self->next_value(*record);
    if (!next) {
        return implementation::fail(lease_error::code::held_elsewhere, name, record->value->holder);
    }
    if (auto outcome = this->self->write(name, *record, *next); !outcome) {
        return outcome.error();
    }
    if (const auto grant = this->current_grant(name)) {
        return *grant;
    }
    // The response came so late that the lease has already lapsed.
    return implementation::fail(lease_error::code::lost_race, name, this->self->own);
}

std::optional<lease_grant> lease_manager::current_grant(const std::string_view name) const {
    const auto now = this->self->time.now();
    const std::lock_guard lock{this->self->guard};
    const auto position = this->self->records.find(name);
    if (position == this->self->records.end() || !position->second.grant || now >= position->second.grant->until) {
        return std::nullopt;
    }
    return position->second.grant;
}

result<void> lease_manager::release(const std::string_view name) {
    auto* record = this->self->try_lock_record(name);
    if (record == nullptr) {
        return implementation::fail(lease_error::code::busy, name);
    }
    const internal::busy_guard busy{this->self->guard, *record};
    this->self->set_grant(*record, std::nullopt);
    record->pending.clear();
    if (!record->known || !record->value || record->value->holder != this->self->own) {
        return {};
    }
    auto value = *record->value;
    value.holder = {};
    value.write_id = this->self->generate_write_id();
    // Whether or not the write takes effect, the next attempt reads first.
    record->known = false;
    BOOST_LEAF_AUTO(version,
                    this->self->store.put("leases/" + std::string{name}, internal::serialize(value), record->version));
    static_cast<void>(version);
    return {};
}

} // namespace mangopulley

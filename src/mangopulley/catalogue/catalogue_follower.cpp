#include "catalogue_follower.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <stop_token>
#include <thread>
#include <utility>

#include "../membership/catalogue_freshness.hpp"
#include "../membership/instance_selector.hpp"
#include "../membership/member_table.hpp"
#include "../peer/peer_transport.hpp"
#include "../store/store_client.hpp"

namespace mangopulley {

namespace internal {

constexpr std::string_view catalogue_key = "catalogue/current";
// Pulling a whole catalogue within a zone takes a few milliseconds; a frozen peer must not block the caller for long.
constexpr milliseconds pull_timeout{500};
// Pause after a failed call or when no call is due; limits calls to 5 per second while the store is down.
constexpr milliseconds poll_pause{200};
// Minimum time between store calls of an instance that is not a watcher, so that a large fleet does not overload the
// store when it recovers from an outage.
constexpr milliseconds min_query_period{1000};
constexpr std::uint32_t max_instances = 10'000U;
constexpr std::uint32_t fields_per_record = 7U;

/*! @brief Non-blocking scoped lock on a flag; a thread that does not get the lock skips the work. */
class flag_try_lock {
public:
    explicit flag_try_lock(std::atomic_flag& flag) : lock_flag{flag}, locked{!flag.test_and_set()} {}
    flag_try_lock(const flag_try_lock&) = delete;
    flag_try_lock& operator=(const flag_try_lock&) = delete;
    ~flag_try_lock() {
        if (this->locked) {
            this->lock_flag.clear();
        }
    }

    [[nodiscard]] explicit operator bool() const noexcept { return this->locked; }

private:
    std::atomic_flag& lock_flag;
    bool locked;
};

} // namespace internal

struct catalogue_follower::implementation {
    dependencies deps;
    decoder decode;
    std::function<void()> version_listener{[] {}};
    std::atomic<std::uint64_t> store_version{};
    /*! @brief Times of the last store calls made while not a watcher; each is used by one polling thread only. */
    std::optional<time_point> last_catalogue_query{};
    std::optional<time_point> last_instances_query{};
    std::atomic<std::uint64_t> calls{};
    std::atomic<std::uint64_t> decode_failures{};
    std::atomic_flag pulling_catalogue{};
    std::atomic_flag pulling_instances{};
    std::mutex guard{};
    std::condition_variable_any wake{};
    std::jthread catalogue_thread{};
    std::jthread instances_thread{};

    implementation(const dependencies& collaborators, decoder decode_function)
        : deps{collaborators}, decode{std::move(decode_function)} {}

    /*! @brief Decodes a value and applies it if its version is newer; returns its version. */
    [[nodiscard]] std::optional<std::uint64_t> apply(const std::string& value) {
        auto next = boost::leaf::try_handle_all(
            [&]() -> result<std::shared_ptr<const catalogue_document>> {
                BOOST_LEAF_AUTO(parsed, this->decode(value));
                return std::make_shared<const catalogue_document>(std::move(parsed));
            },
            [] { return std::shared_ptr<const catalogue_document>{}; });
        if (!next) {
            this->decode_failures.fetch_add(1U);
            return std::nullopt;
        }
        const auto version = next->version;
        if (this->deps.holder.advance(std::move(next), value)) {
            this->version_listener();
        }
        return version;
    }

    [[nodiscard]] bool confirmation_expired() const {
        const auto age = this->deps.freshness.age_of_confirmation();
        return !age || *age > store_query_age;
    }

    /*! @brief Returns how long a store call may wait; empty optional when no call is due. */
    [[nodiscard]] std::optional<milliseconds> due_wait(const milliseconds max_wait,
                                                       std::optional<time_point>& last_query, const bool needed) const {
        if (this->deps.selector.is_watcher()) {
            return max_wait;
        }
        const auto now = this->deps.time.now();
        if (!needed || (last_query && now - *last_query < internal::min_query_period)) {
            return std::nullopt;
        }
        last_query = now;
        return milliseconds{0};
    }

    [[nodiscard]] bool query_catalogue(const milliseconds wait) {
        const auto sent = this->deps.time.now();
        const auto own_version = this->deps.holder.current()->version;
        this->calls.fetch_add(1U);
        return boost::leaf::try_handle_all(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(found, this->deps.store.watch(internal::catalogue_key, this->store_version, wait));
                if (!found) {
                    // The store still holds the object read last, whose version is active here or was replaced by a
                    // newer one.
                    this->deps.freshness.record_store_response(sent, own_version);
                    return true;
                }
                const auto version = this->apply(found->value);
                if (!version) {
                    this->deps.freshness.record_store_contact(sent);
                    return false;
                }
                this->store_version = found->version;
                this->deps.freshness.record_store_response(sent, *version);
                return true;
            },
            [&](const store_error& error) {
                if (error.code == store_error::code::missing) {
                    this->deps.freshness.record_store_response(sent, 0U);
                }
                return false;
            },
            [] { return false; });
    }

    [[nodiscard]] bool query_instances(const milliseconds wait) {
        const auto sent = this->deps.time.now();
        this->calls.fetch_add(1U);
        return boost::leaf::try_handle_all(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(found,
                                this->deps.store.watch_instances(this->deps.members.instances()->revision, wait));
                if (found) {
                    this->deps.members.set_instances(std::move(*found));
                }
                this->deps.freshness.record_store_contact(sent);
                return true;
            },
            [] { return false; });
    }

    void pull_catalogue(const std::string_view endpoint) {
        const internal::flag_try_lock lock{this->pulling_catalogue};
        if (!lock) {
            return;
        }
        message_writer request{};
        request.array(1U).number(this->deps.holder.current()->version);
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(reply, this->deps.transport.call(endpoint, message_type::catalogue_pull, request.take(),
                                                                 internal::pull_timeout));
                message_reader reader{reply};
                reader.array(1U);
                const auto value = reader.text();
                if (reader.valid() && !value.empty()) {
                    static_cast<void>(this->apply(value));
                }
                return {};
            },
            [] {});
    }

    void pull_instances(const std::string_view endpoint) {
        const internal::flag_try_lock lock{this->pulling_instances};
        if (!lock) {
            return;
        }
        message_writer request{};
        request.array(1U).number(this->deps.members.instances()->revision);
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(reply, this->deps.transport.call(endpoint, message_type::instances_pull, request.take(),
                                                                 internal::pull_timeout));
                message_reader reader{reply};
                reader.array(2U);
                instance_list list{.revision = reader.number()};
                const auto values = reader.array(internal::max_instances * internal::fields_per_record);
                for (std::uint32_t index = 0U; reader.valid() && index < values / internal::fields_per_record;
                     ++index) {
                    instance_record record{};
                    record.id = reader.text();
                    record.role = reader.text();
                    record.service = reader.text();
                    record.address = reader.text();
                    record.zone = reader.text();
                    record.region = reader.text();
                    record.leaving = reader.boolean();
                    list.instances.push_back(std::move(record));
                }
                if (reader.valid() && reader.finished()) {
                    this->deps.members.set_instances(std::move(list));
                }
                return {};
            },
            [] {});
    }

    template <typename Poll>
    void loop(const std::stop_token& stop, Poll poll) {
        while (!stop.stop_requested()) {
            if (!poll()) {
                std::unique_lock lock{this->guard};
                this->wake.wait_for(lock, stop, internal::poll_pause, [] { return false; });
            }
        }
    }
};

catalogue_follower::catalogue_follower(const dependencies& collaborators, decoder decode)
    : self{std::make_unique<implementation>(collaborators, std::move(decode))} {}

catalogue_follower::~catalogue_follower() {
    this->stop();
}

void catalogue_follower::on_advance(std::function<void()> listener) {
    this->self->version_listener = std::move(listener);
}

std::string_view catalogue_follower::name() const noexcept {
    return "catalogue_follower";
}

void catalogue_follower::start() {
    this->self->catalogue_thread = std::jthread{
        [this](const std::stop_token& stop) { this->self->loop(stop, [this] { return this->poll_catalogue(); }); }};
    this->self->instances_thread = std::jthread{
        [this](const std::stop_token& stop) { this->self->loop(stop, [this] { return this->poll_instances(); }); }};
}

void catalogue_follower::stop() noexcept {
    for (auto* thread : {&this->self->catalogue_thread, &this->self->instances_thread}) {
        thread->request_stop();
    }
    for (auto* thread : {&this->self->catalogue_thread, &this->self->instances_thread}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

bool catalogue_follower::poll_catalogue() {
    const auto wait =
        this->self->due_wait(catalogue_wait, this->self->last_catalogue_query, this->self->confirmation_expired());
    return wait && this->self->query_catalogue(*wait) && *wait > milliseconds{0};
}

bool catalogue_follower::poll_instances() {
    const bool needed = this->self->confirmation_expired() || this->self->deps.members.instances()->revision == 0U;
    const auto wait = this->self->due_wait(instances_wait, this->self->last_instances_query, needed);
    return wait && this->self->query_instances(*wait) && *wait > milliseconds{0};
}

void catalogue_follower::pull_newer_from(const std::string_view endpoint, const std::uint64_t version,
                                         const std::uint64_t revision) {
    if (version > this->self->deps.holder.current()->version) {
        this->self->pull_catalogue(endpoint);
    }
    if (revision > this->self->deps.members.instances()->revision) {
        this->self->pull_instances(endpoint);
    }
}

std::optional<std::string> catalogue_follower::handle_catalogue_pull(const std::string_view body) const {
    message_reader reader{body};
    reader.array(1U);
    const auto peer_version = reader.number();
    if (!reader.valid()) {
        return std::nullopt;
    }
    message_writer writer{};
    const bool newer = this->self->deps.holder.current()->version > peer_version;
    writer.array(1U).text(newer ? this->self->deps.holder.text() : std::string{});
    return writer.take();
}

std::optional<std::string> catalogue_follower::handle_instances_pull(const std::string_view body) const {
    message_reader reader{body};
    reader.array(1U);
    const auto peer_version = reader.number();
    if (!reader.valid()) {
        return std::nullopt;
    }
    const auto list = this->self->deps.members.instances();
    const auto count =
        list->revision > peer_version ? std::min<std::size_t>(list->instances.size(), internal::max_instances) : 0U;
    message_writer writer{};
    writer.array(2U).number(count == 0U ? 0U : list->revision);
    writer.array(static_cast<std::uint32_t>(count) * internal::fields_per_record);
    for (std::size_t index = 0U; index < count; ++index) {
        const auto& record = list->instances[index];
        writer.text(record.id).text(record.role).text(record.service).text(record.address);
        writer.text(record.zone).text(record.region).boolean(record.leaving);
    }
    return writer.take();
}

std::uint64_t catalogue_follower::store_calls() const noexcept {
    return this->self->calls.load();
}

std::uint64_t catalogue_follower::decode_failures() const noexcept {
    return this->self->decode_failures.load();
}

} // namespace mangopulley

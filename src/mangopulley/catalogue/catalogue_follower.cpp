#include "catalogue_follower.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <stop_token>
#include <thread>
#include <utility>

#include "../membership/address_book.hpp"
#include "../membership/member_table.hpp"
#include "../membership/standing.hpp"
#include "../peer/peer_transport.hpp"
#include "../store/store_client.hpp"

namespace mangopulley {

namespace internal {

constexpr std::string_view catalogue_key = "catalogue/current";
// A pull of a whole catalogue within a zone takes a few milliseconds; a frozen peer must not hold one up for long.
constexpr milliseconds pull_timeout{500};
// Pause after a failed call or when another instance watches; 5 calls a second at most while the store is down.
constexpr milliseconds poll_pause{200};
// Least time between the calls of an instance that is no watcher, so that a large fleet does not overload a store that
// comes back after an outage.
constexpr milliseconds ask_period{1000};
constexpr std::uint32_t most_listed = 10'000U;
constexpr std::uint32_t record_fields = 7U;

/*! @brief Lets one thread at a time pass; the others skip the work. */
class single_pass {
public:
    explicit single_pass(std::atomic_flag& flag) : busy{flag}, entered{!flag.test_and_set()} {}
    single_pass(const single_pass&) = delete;
    single_pass& operator=(const single_pass&) = delete;
    ~single_pass() {
        if (this->entered) {
            this->busy.clear();
        }
    }

    [[nodiscard]] explicit operator bool() const noexcept { return this->entered; }

private:
    std::atomic_flag& busy;
    bool entered;
};

} // namespace internal

struct catalogue_follower::implementation {
    parts use;
    decoder decode;
    std::function<void()> advanced{[] {}};
    std::atomic<std::uint64_t> store_version{};
    /*! @brief Last calls as no watcher; each is used by one polling thread only. */
    std::optional<time_point> catalogue_asked{};
    std::optional<time_point> instances_asked{};
    std::atomic<std::uint64_t> calls{};
    std::atomic<std::uint64_t> failures{};
    std::atomic_flag pulling_catalogue{};
    std::atomic_flag pulling_instances{};
    std::mutex guard{};
    std::condition_variable_any wake{};
    std::jthread catalogue_thread{};
    std::jthread instances_thread{};

    implementation(const parts& environment, decoder reader) : use{environment}, decode{std::move(reader)} {}

    /*! @brief Decodes a value and puts it in force; returns its version. */
    [[nodiscard]] std::optional<std::uint64_t> take(const std::string& value) {
        auto next = boost::leaf::try_handle_all(
            [&]() -> result<std::shared_ptr<const document>> {
                BOOST_LEAF_AUTO(parsed, this->decode(value));
                return std::make_shared<const document>(std::move(parsed));
            },
            [] { return std::shared_ptr<const document>{}; });
        if (!next) {
            this->failures.fetch_add(1U);
            return std::nullopt;
        }
        const auto version = next->version;
        if (this->use.holder.advance(std::move(next), value)) {
            this->advanced();
        }
        return version;
    }

    [[nodiscard]] bool needs_store() const {
        const auto age = this->use.proof.age_of_confirmation();
        return !age || *age > ask_store_age;
    }

    /*! @brief Time a store call may wait; nothing when no call is due. */
    [[nodiscard]] std::optional<milliseconds> turn(const milliseconds longest, std::optional<time_point>& last_asked,
                                                   const bool needed) const {
        if (this->use.addresses.is_watcher()) {
            return longest;
        }
        const auto now = this->use.time.now();
        if (!needed || (last_asked && now - *last_asked < internal::ask_period)) {
            return std::nullopt;
        }
        last_asked = now;
        return milliseconds{0};
    }

    [[nodiscard]] bool ask_catalogue(const milliseconds wait) {
        const auto sent = this->use.time.now();
        const auto own = this->use.holder.current()->version;
        this->calls.fetch_add(1U);
        return boost::leaf::try_handle_all(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(found, this->use.store.watch(internal::catalogue_key, this->store_version, wait));
                if (!found) {
                    // What the store holds is the object already read, whose version is in force or was overtaken.
                    this->use.proof.store_answered(sent, own);
                    return true;
                }
                const auto version = this->take(found->value);
                if (!version) {
                    this->use.proof.store_reached(sent);
                    return false;
                }
                this->store_version = found->version;
                this->use.proof.store_answered(sent, *version);
                return true;
            },
            [&](const store_error& error) {
                if (error.code == store_error::code::missing) {
                    this->use.proof.store_answered(sent, 0U);
                }
                return false;
            },
            [] { return false; });
    }

    [[nodiscard]] bool ask_instances(const milliseconds wait) {
        const auto sent = this->use.time.now();
        this->calls.fetch_add(1U);
        return boost::leaf::try_handle_all(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(found, this->use.store.watch_instances(this->use.members.instances()->revision, wait));
                if (found) {
                    this->use.members.set_instances(std::move(*found));
                }
                this->use.proof.store_reached(sent);
                return true;
            },
            [] { return false; });
    }

    void pull_catalogue(const std::string_view endpoint) {
        const internal::single_pass pass{this->pulling_catalogue};
        if (!pass) {
            return;
        }
        message_writer request{};
        request.array(1U).number(this->use.holder.current()->version);
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(reply, this->use.transport.call(endpoint, message_type::catalogue_pull, request.take(),
                                                                internal::pull_timeout));
                message_reader reader{reply};
                reader.array(1U);
                const auto value = reader.text();
                if (reader.valid() && !value.empty()) {
                    static_cast<void>(this->take(value));
                }
                return {};
            },
            [] {});
    }

    void pull_instances(const std::string_view endpoint) {
        const internal::single_pass pass{this->pulling_instances};
        if (!pass) {
            return;
        }
        message_writer request{};
        request.array(1U).number(this->use.members.instances()->revision);
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(reply, this->use.transport.call(endpoint, message_type::instances_pull, request.take(),
                                                                internal::pull_timeout));
                message_reader reader{reply};
                reader.array(2U);
                instance_list list{.revision = reader.number()};
                const auto values = reader.array(internal::most_listed * internal::record_fields);
                for (std::uint32_t index = 0U; reader.valid() && index < values / internal::record_fields; ++index) {
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
                    this->use.members.set_instances(std::move(list));
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

catalogue_follower::catalogue_follower(const parts& environment, decoder decode)
    : self{std::make_unique<implementation>(environment, std::move(decode))} {}

catalogue_follower::~catalogue_follower() {
    this->stop();
}

void catalogue_follower::on_advance(std::function<void()> listener) {
    this->self->advanced = std::move(listener);
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
    const auto wait = this->self->turn(catalogue_wait, this->self->catalogue_asked, this->self->needs_store());
    return wait && this->self->ask_catalogue(*wait) && *wait > milliseconds{0};
}

bool catalogue_follower::poll_instances() {
    const bool needed = this->self->needs_store() || this->self->use.members.instances()->revision == 0U;
    const auto wait = this->self->turn(instances_wait, this->self->instances_asked, needed);
    return wait && this->self->ask_instances(*wait) && *wait > milliseconds{0};
}

void catalogue_follower::peer_holds(const std::string_view endpoint, const std::uint64_t version,
                                    const std::uint64_t revision) {
    if (version > this->self->use.holder.current()->version) {
        this->self->pull_catalogue(endpoint);
    }
    if (revision > this->self->use.members.instances()->revision) {
        this->self->pull_instances(endpoint);
    }
}

std::optional<std::string> catalogue_follower::answer_catalogue_pull(const std::string_view body) const {
    message_reader reader{body};
    reader.array(1U);
    const auto held = reader.number();
    if (!reader.valid()) {
        return std::nullopt;
    }
    message_writer writer{};
    const bool ahead = this->self->use.holder.current()->version > held;
    writer.array(1U).text(ahead ? this->self->use.holder.text() : std::string{});
    return writer.take();
}

std::optional<std::string> catalogue_follower::answer_instances_pull(const std::string_view body) const {
    message_reader reader{body};
    reader.array(1U);
    const auto held = reader.number();
    if (!reader.valid()) {
        return std::nullopt;
    }
    const auto list = this->self->use.members.instances();
    const auto count =
        list->revision > held ? std::min<std::size_t>(list->instances.size(), internal::most_listed) : 0U;
    message_writer writer{};
    writer.array(2U).number(count == 0U ? 0U : list->revision);
    writer.array(static_cast<std::uint32_t>(count) * internal::record_fields);
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

std::uint64_t catalogue_follower::undecodable() const noexcept {
    return this->self->failures.load();
}

} // namespace mangopulley

#include "http_channel.hpp"

#include <charconv>
#include <utility>

#include "field_names.hpp"

namespace mangopulley {

namespace internal {

namespace {

/*! @brief Reads the idle timeout of a Keep-Alive field such as `timeout=10, max=100`. */
[[nodiscard]] std::optional<duration> idle_limit_of(const http_response& response) {
    const auto text = response.head.get(field_name::keep_alive, "");
    constexpr std::string_view key{"timeout="};
    const auto start = text.find(key);
    if (start == std::string::npos) {
        return std::nullopt;
    }
    std::uint32_t seconds{};
    const auto* first = text.data() + start + key.size();
    const auto parsed = std::from_chars(first, text.data() + text.size(), seconds);
    return parsed.ec == std::errc{} ? std::optional<duration>{std::chrono::seconds{seconds}} : std::nullopt;
}

} // namespace

} // namespace internal

struct http_channel::implementation : std::enable_shared_from_this<http_channel::implementation> {
    event_loop& loop;
    std::string endpoint;
    stream_timing timing;
    response_parser parser;
    std::unique_ptr<stream> connection{};
    response_filter filter{};
    completion done{};
    std::optional<duration> idle_limit{};
    time_point idle_since{};
    bool connected{};
    bool dead{};
    /*! @brief Whether an answer to another request came on this connection. */
    bool spoiled{};

    implementation(event_loop& owner, std::string peer, const stream_timing& rules, const std::size_t longest)
        : loop{owner}, endpoint{std::move(peer)}, timing{rules}, parser{longest}, idle_since{owner.now()} {}

    void complete(exchange_outcome&& outcome) {
        const auto kept = this->shared_from_this();
        this->filter = {};
        this->idle_since = this->loop.now();
        if (const auto action = std::exchange(this->done, {})) {
            action(std::move(outcome));
        }
    }

    void fail(const network_error_code code) {
        this->dead = true;
        exchange_outcome outcome{};
        outcome.failure = code;
        outcome.sent = this->connection && this->connection->has_sent();
        if (this->done) {
            this->complete(std::move(outcome));
        }
    }

    void open() {
        stream::events events{};
        const auto held = this->weak_from_this();
        events.connected = [held] {
            if (const auto state = held.lock()) {
                state->connected = true;
            }
        };
        events.received = [held](const std::string_view bytes) {
            if (const auto state = held.lock()) {
                state->receive(bytes);
            }
        };
        events.closed = [held](const bool broken) {
            if (const auto state = held.lock()) {
                state->close(broken);
            }
        };
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(this->connection,
                                  stream::connect(this->loop, this->endpoint, this->timing, std::move(events)));
                return {};
            },
            [&] {
                // Reported by the next turn, because `done` is never called before `send` returns.
                this->loop.after(duration::zero(), [held] {
                    if (const auto state = held.lock()) {
                        state->fail(network_error::code::connect_failed);
                    }
                });
            });
    }

    void receive(const std::string_view bytes) {
        if (!this->done) {
            // Bytes on an idle connection belong to no request.
            this->dead = true;
            return;
        }
        this->parser.append(bytes);
        this->settle(this->parser.examine());
    }

    void close(const bool broken) {
        this->dead = true;
        if (!this->done) {
            return;
        }
        if (!this->connected) {
            this->fail(network_error::code::connect_failed);
        } else if (this->parser.finish(broken) == response_parser::state::complete) {
            this->settle(response_parser::state::complete);
            if (this->done) {
                this->fail(network_error::code::broken);
            }
        } else {
            this->fail(network_error::code::broken);
        }
    }

    void settle(response_parser::state present) {
        while (present == response_parser::state::complete) {
            auto response = this->parser.take();
            if (!this->filter || this->filter(response)) {
                this->accept(std::move(response));
                return;
            }
            this->spoiled = true;
            present = this->parser.examine();
        }
        if (present == response_parser::state::malformed) {
            this->fail(network_error::code::malformed);
        }
    }

    void accept(http_response&& response) {
        this->idle_limit = internal::idle_limit_of(response);
        exchange_outcome outcome{};
        outcome.sent = true;
        // A peer that answers before it has read the whole request may take the rest for the next one.
        outcome.reusable = response.keep_alive && !this->spoiled && !this->dead && !this->parser.started() &&
                           this->connection->unsent() == 0U;
        this->dead = this->dead || !outcome.reusable;
        outcome.response = std::move(response);
        this->complete(std::move(outcome));
    }
};

http_channel::http_channel(event_loop& loop, std::string endpoint, const stream_timing& timing,
                           const std::size_t longest_body)
    : self{std::make_shared<implementation>(loop, std::move(endpoint), timing, longest_body)} {}

http_channel::~http_channel() {
    this->self->done = {};
    this->self->filter = {};
    this->self->connection.reset();
}

void http_channel::send(const std::string_view request, const bool bodiless, response_filter filter, completion done) {
    auto& state = *this->self;
    state.filter = std::move(filter);
    state.done = std::move(done);
    state.parser.expect_no_body(bodiless);
    if (!state.connection) {
        state.open();
    }
    if (state.connection) {
        state.connection->send(request);
    }
}

bool http_channel::available() const noexcept {
    return !this->self->dead && !this->self->done;
}

bool http_channel::opened() const noexcept {
    return this->self->connection != nullptr;
}

time_point http_channel::idle_since() const noexcept {
    return this->self->idle_since;
}

std::optional<duration> http_channel::peer_idle_limit() const noexcept {
    return this->self->idle_limit;
}

} // namespace mangopulley

#include "http_channel.hpp"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "field_names.hpp"

namespace mangopulley {

namespace internal {

namespace {

// Part of a response's body that is read ahead of its receiver.
constexpr std::size_t max_read_ahead_bytes = 65'536U;
constexpr std::size_t max_joined_body_bytes = 16'384U;
// Bounds a peer that sends answers to other requests without end.
constexpr std::size_t max_foreign_responses = 8U;
// Bounds the memory for the ids that a connection has carried.
constexpr std::size_t max_carried_ids = 512U;

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
    std::function<void()> sent_listener{};
    body_reader reader{};
    std::size_t longest_held{};
    std::size_t foreign_responses{};
    /*! @brief Hashes of the ids of all requests sent. Equal ones of different ids only cost another connection. */
    std::vector<std::size_t> carried_ids{};
    std::optional<duration> idle_limit{};
    time_point idle_since{};
    bool connected{};
    bool dead{};
    bool request_complete{true};
    /*! @brief Whether the response has no body whatever its head says, as for HEAD. */
    bool bodiless{};
    /*! @brief Whether the response is being read in parts. */
    bool streaming{};
    /*! @brief Whether the response's sender keeps the connection open. */
    bool keep_alive{};
    /*! @brief Whether an answer to another request came on this connection. */
    bool spoiled{};
    /*! @brief Whether the last part of a response's body waits to be read. */
    bool body_complete{};

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
        } else if (std::exchange(this->streaming, false)) {
            this->pass_on({{}, body_part::state::broken});
        }
    }

    void pass_on(body_part&& part) {
        const auto kept = this->shared_from_this();
        if (const auto action = std::exchange(this->reader, {})) {
            action(std::move(part));
        }
    }

    [[nodiscard]] bool is_reusable() const noexcept {
        // A peer that answers before it has read the whole request may take the rest for the next one. A late copy of a
        // response to HEAD would take the next response for its body.
        return this->keep_alive && !this->spoiled && !this->dead && !this->parser.started() && this->request_complete &&
               this->connection->unsent() == 0U && this->carried_ids.size() < internal::max_carried_ids &&
               !this->bodiless;
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
        events.drained = [held] {
            const auto state = held.lock();
            if (state && state->sent_listener) {
                const auto listener = state->sent_listener;
                listener();
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

    /*! @brief Sends a request; head and body go out together unless copying a long body would cost more. */
    void send(const outgoing_request& request) {
        if (request.body.empty() || request.body.size() > internal::max_joined_body_bytes) {
            this->connection->send(request.head);
            this->connection->send(request.body);
            return;
        }
        std::string bytes{};
        bytes.reserve(request.head.size() + request.body.size());
        bytes.append(request.head).append(request.body);
        this->connection->send(bytes);
    }

    void receive(const std::string_view bytes) {
        if (!this->done && !this->streaming) {
            // Bytes on an idle connection belong to no request; they may come without end.
            this->dead = true;
            this->connection->pause_reading(true);
            return;
        }
        this->parser.append(bytes);
        if (this->streaming) {
            this->continue_body();
        } else {
            this->settle(this->parser.examine());
        }
    }

    void close(const bool broken) {
        this->dead = true;
        if (this->streaming) {
            this->finish_body(broken);
            return;
        }
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
                this->accept(std::move(response), false);
                return;
            }
            this->spoiled = true;
            present = ++this->foreign_responses > internal::max_foreign_responses ? response_parser::state::malformed
                                                                                  : this->parser.examine();
        }
        if (present == response_parser::state::malformed) {
            this->fail(network_error::code::malformed);
        } else if (this->parser.head_complete() && this->parser.body_bytes() > this->longest_held) {
            this->accept_beginning();
        }
    }

    /*! @brief Accepts a response whose body is too long to be held. */
    void accept_beginning() {
        auto response = this->parser.take();
        if (this->filter && !this->filter(response)) {
            this->fail(network_error::code::malformed);
            return;
        }
        this->streaming = true;
        this->connection->pause_reading(true);
        this->accept(std::move(response), true);
    }

    void accept(http_response&& response, const bool body_follows) {
        this->idle_limit = internal::idle_limit_of(response);
        this->keep_alive = response.keep_alive;
        exchange_outcome outcome{};
        outcome.sent = true;
        outcome.body_follows = body_follows;
        outcome.reusable = !body_follows && this->is_reusable();
        this->dead = this->dead || (!body_follows && !outcome.reusable);
        outcome.response = std::move(response);
        this->complete(std::move(outcome));
    }

    // Response body in parts

    void read_body(body_reader&& next) {
        this->reader = std::move(next);
        if (!this->streaming) {
            this->pass_on({{}, body_part::state::broken});
            return;
        }
        if (!this->dead) {
            this->connection->pause_reading(false);
        }
        if (this->parser.body_bytes() > 0U || this->body_complete) {
            this->continue_body();
        }
    }

    void continue_body() {
        const auto present = this->body_complete ? response_parser::state::complete : this->parser.examine();
        if (present == response_parser::state::malformed) {
            this->fail(network_error::code::malformed);
            return;
        }
        this->body_complete = present == response_parser::state::complete;
        if (!this->reader) {
            if (this->body_complete || this->parser.body_bytes() >= internal::max_read_ahead_bytes) {
                this->connection->pause_reading(true);
            }
            return;
        }
        body_part part{this->parser.take_body(), body_part::state::more};
        if (this->body_complete) {
            part.position = body_part::state::last;
            this->body_complete = false;
            this->streaming = false;
            this->dead = this->dead || !this->is_reusable();
            this->idle_since = this->loop.now();
        }
        if (!part.bytes.empty() || part.position == body_part::state::last) {
            this->pass_on(std::move(part));
        }
    }

    void finish_body(const bool broken) {
        if (!this->body_complete && this->parser.finish(broken) != response_parser::state::complete) {
            this->fail(network_error::code::broken);
            return;
        }
        this->body_complete = true;
        if (this->reader) {
            this->continue_body();
        }
    }
};

http_channel::http_channel(event_loop& loop, std::string endpoint, const stream_timing& timing,
                           const std::size_t longest_body)
    : self{std::make_shared<implementation>(loop, std::move(endpoint), timing, longest_body)} {}

http_channel::~http_channel() {
    this->self->done = {};
    this->self->filter = {};
    this->self->reader = {};
    this->self->sent_listener = {};
    this->self->connection.reset();
}

void http_channel::send(const std::string_view request, const bool bodiless, response_filter filter, completion done) {
    outgoing_request whole{};
    whole.head = request;
    whole.bodiless = bodiless;
    this->send(whole, std::move(filter), std::move(done));
}

void http_channel::send(const outgoing_request& request, response_filter filter, completion done) {
    auto& state = *this->self;
    state.filter = std::move(filter);
    state.done = std::move(done);
    state.sent_listener = {};
    state.foreign_responses = 0U;
    state.longest_held = request.longest_held_response;
    state.request_complete = !request.body_follows;
    state.bodiless = request.bodiless;
    state.parser.expect_no_body(request.bodiless);
    if (!request.id.empty()) {
        state.carried_ids.push_back(std::hash<std::string_view>{}(request.id));
    }
    if (!state.connection) {
        state.open();
    }
    if (state.connection) {
        state.send(request);
    }
}

void http_channel::send_body(const std::string_view bytes, const bool last) {
    this->self->request_complete = last;
    if (this->self->connection) {
        this->self->connection->send(bytes);
    }
}

void http_channel::on_sent(std::function<void()> listener) {
    this->self->sent_listener = std::move(listener);
}

bool http_channel::all_sent() const noexcept {
    return this->self->connection && this->self->connection->unsent() == 0U;
}

bool http_channel::request_complete() const noexcept {
    return this->self->request_complete;
}

void http_channel::read_body(body_reader reader) {
    const auto kept = this->self;
    kept->read_body(std::move(reader));
}

bool http_channel::available() const noexcept {
    return !this->self->dead && !this->self->done && !this->self->streaming;
}

bool http_channel::opened() const noexcept {
    return this->self->connection != nullptr;
}

bool http_channel::has_carried(const std::string_view id) const {
    const auto& carried = this->self->carried_ids;
    return !id.empty() && std::find(carried.begin(), carried.end(), std::hash<std::string_view>{}(id)) != carried.end();
}

time_point http_channel::idle_since() const noexcept {
    return this->self->idle_since;
}

std::optional<duration> http_channel::peer_idle_limit() const noexcept {
    return this->self->idle_limit;
}

} // namespace mangopulley

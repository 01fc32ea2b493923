#include "soak_caller.hpp"

#include <array>
#include <chrono>
#include <cstdio>
#include <utility>

#include <unistd.h>

namespace soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds time_limit{2'000};
constexpr milliseconds patience = time_limit + milliseconds{500};
constexpr std::size_t short_body = 40U;
constexpr std::size_t medium_body = 3'000U;
constexpr std::size_t long_body = 400'000U;

[[nodiscard]] std::string framed(const std::string& body, const bool chunked) {
    if (!chunked) {
        return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    std::array<char, 16U> size{};
    std::snprintf(size.data(), size.size(), "%zx", body.size());
    return std::string{"Transfer-Encoding: chunked\r\n\r\n"} + size.data() + "\r\n" + body + "\r\n0\r\n\r\n";
}

} // namespace

soak_caller::soak_caller(caller_context& shared) : context{shared} {
    this->pause_before_next();
}

soak_caller::~soak_caller() {
    this->context.loop.cancel(this->next);
    this->context.loop.cancel(this->limit);
}

void soak_caller::reset(const std::size_t index) {
    if (this->bytes && this->instance == index) {
        this->leave();
    }
}

void soak_caller::send_next() {
    if (this->context.closed) {
        return;
    }
    if (this->bytes) {
        this->send_order();
    } else {
        this->connect();
    }
}

void soak_caller::connect() {
    this->instance = this->context.choose();
    this->connected = false;
    mangopulley::stream::events events{};
    events.connected = [this] {
        this->connected = true;
        this->send_order();
    };
    events.received = [this](const std::string_view part) { this->received(part); };
    events.closed = [this](const bool broken) { this->ended(broken); };
    auto opened =
        mangopulley::stream::connect(this->context.loop, this->context.endpoint(this->instance), {}, std::move(events));
    if (opened) {
        this->bytes = std::move(*opened);
    } else {
        this->pause_before_next();
    }
}

order soak_caller::make_order() {
    constexpr unsigned int idempotent_period = 4U;
    constexpr unsigned int long_period = 12U;
    constexpr unsigned int unframed_period = 20U;
    auto& random = this->context.random;
    const auto size = [&random] {
        return random() % long_period == 0U ? long_body : random() % 2U == 0U ? medium_body : short_body;
    };
    order made{};
    // Ids of programs that run side by side differ, so that a request which strays between them is noticed.
    made.id = "q" + std::to_string(::getpid()) + '-' + std::to_string(++this->context.orders);
    made.instance = this->instance;
    made.idempotent = random() % idempotent_period == 0U;
    made.path = (made.idempotent ? "/get/" : this->context.prefix) + "x";
    if (!made.idempotent) {
        made.body = make_body("asks " + made.id, size());
    }
    made.answer_framing = random() % 2U == 0U ? framing::chunks : framing::length;
    auto answer_size = size();
    if (random() % unframed_period == 0U) {
        made.answer_framing = framing::end_of_connection;
        answer_size = medium_body;
    }
    made.expected_answer = make_body("ran " + made.id, answer_size);
    return made;
}

void soak_caller::send_order() {
    this->reader = {};
    this->current = &this->context.tracker.send(this->make_order());
    const auto& item = *this->current;
    const bool chunked = this->context.random() % 2U == 0U;
    std::string text{item.idempotent ? "GET " : "PUT "};
    text += item.path + " HTTP/1.1\r\nHost: h.example\r\nMangopulley-Request-Id: " + item.id +
            "\r\nMangopulley-Deadline-Ms: " + std::to_string(time_limit.count()) + "\r\n";
    text += item.idempotent ? std::string{"\r\n"} : framed(item.body, chunked);
    this->limit = this->context.loop.after(patience, [this] { this->abandon(); });
    this->bytes->send(text);
}

void soak_caller::received(const std::string_view part) {
    if (this->current == nullptr) {
        this->context.tracker.report("MIXED", "",
                                     "bytes without a request from instance " + std::to_string(this->instance) + ": " +
                                         std::string{part.substr(0U, 200U)});
        this->drop();
        return;
    }
    const auto state = this->reader.feed(part);
    if (state == response_reader::state::malformed) {
        this->context.tracker.report("MIXED", this->current->id, "bytes that are no response");
        this->drop();
    } else if (state == response_reader::state::complete) {
        const auto response = this->reader.response();
        if (!this->reader.begin_next()) {
            this->context.tracker.report("MIXED", this->current->id, "bytes after the response");
        }
        this->finish(response);
    }
}

void soak_caller::ended(const bool broken) {
    auto* const item = this->current;
    if (item != nullptr && !broken && this->reader.ends_with_connection()) {
        const auto response = this->reader.response();
        this->drop();
        this->context.tracker.answer(*item, response);
        return;
    }
    const bool was_connected = this->connected;
    this->drop();
    if (item != nullptr && was_connected) {
        this->context.tracker.end(*item);
    }
}

void soak_caller::finish(const seen_response& response) {
    auto& item = *std::exchange(this->current, nullptr);
    this->context.loop.cancel(this->limit);
    constexpr unsigned int reconnect_period = 4U;
    const bool reconnects = this->context.reconnecting && this->context.random() % reconnect_period == 0U;
    if (reconnects || response.field("connection") == "close" || response.field("connection") == "Close") {
        this->drop();
    } else {
        this->pause_before_next();
    }
    this->context.tracker.answer(item, response);
}

void soak_caller::abandon() {
    this->context.tracker.abandon(*this->current);
    this->leave();
}

void soak_caller::leave() {
    this->bytes->reset_on_close();
    this->drop();
}

void soak_caller::drop() {
    this->context.loop.cancel(this->limit);
    this->current = nullptr;
    this->bytes.reset();
    this->pause_before_next();
}

void soak_caller::pause_before_next() {
    constexpr milliseconds longest_pause_in_burst{10};
    const auto longest = this->context.bursts > 0 ? longest_pause_in_burst : this->context.longest_pause;
    this->context.loop.cancel(this->next);
    const milliseconds pause{this->context.random() % static_cast<unsigned int>(longest.count())};
    this->next = this->context.loop.after(pause, [this] { this->send_next(); });
}

} // namespace soak

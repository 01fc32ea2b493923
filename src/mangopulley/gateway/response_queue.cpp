#include "response_queue.hpp"

#include <exception>
#include <numeric>
#include <utility>

#include <Poco/Net/HTTPResponse.h>

#include "../http/chunk.hpp"

namespace mangopulley::internal {

namespace {

constexpr std::string_view end_of_head{"\r\n"};
constexpr std::string_view close_field{"Connection: close\r\n"};
// Room for the fields that are added to a head.
constexpr std::size_t framing_bytes = 64U;

/*! @brief Returns the status line and header fields of a reply, without framing. */
[[nodiscard]] std::string reply_head(const http_reply& reply) {
    const auto status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status);
    std::string head{"HTTP/1.1 "};
    head.append(std::to_string(reply.status)).append(" ");
    head.append(Poco::Net::HTTPResponse::getReasonForStatus(status)).append("\r\n");
    if (!reply.body.empty()) {
        head.append("Content-Type: ").append(reply.content_type).append("\r\n");
    }
    for (const auto& field : reply.headers) {
        head.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    return head;
}

[[nodiscard]] std::string length_field(const std::size_t length) {
    return "Content-Length: " + std::to_string(length) + "\r\n";
}

} // namespace

std::uint64_t response_queue::add(const response_terms& terms) {
    this->entries.push_back({terms, memory_reservation{this->memory}});
    return this->first_number + this->entries.size() - 1U;
}

bool response_queue::finish(const std::uint64_t number, const std::string_view head, const std::string_view body,
                            const bool bodiless) {
    auto* response = this->find(number);
    if (response == nullptr || response->begun) {
        return false;
    }
    auto& bytes = response->bytes;
    bytes.reserve(head.size() + body.size() + framing_bytes);
    bytes.append(head);
    if (!bodiless) {
        bytes.append(length_field(body.size()));
    }
    response->head_end = bytes.size();
    bytes.append(end_of_head);
    if (!bodiless) {
        bytes.append(body);
    }
    complete(*response);
    return true;
}

bool response_queue::finish(const std::uint64_t number, const http_reply& reply) {
    const auto* response = this->find(number);
    return response != nullptr && this->finish(number, reply_head(reply), reply.body, response->terms.head_request);
}

bool response_queue::begin(const std::uint64_t number, const std::string_view head,
                           const std::optional<std::size_t> length) {
    auto* response = this->find(number);
    if (response == nullptr || response->begun) {
        return false;
    }
    response->body_framing = length                     ? framing::length
                             : response->terms.http_1_0 ? framing::until_close
                                                        : framing::chunked;
    auto& bytes = response->bytes;
    bytes.append(head);
    if (length) {
        bytes.append(length_field(*length));
    } else if (response->body_framing == framing::chunked) {
        bytes.append("Transfer-Encoding: chunked\r\n");
    }
    response->head_end = bytes.size();
    bytes.append(end_of_head);
    response->begun = true;
    return true;
}

bool response_queue::append(const std::uint64_t number, const body_part& part) {
    auto* response = this->find(number);
    if (response == nullptr || !response->begun || response->complete) {
        return false;
    }
    if (part.position == body_part::state::broken) {
        if (response->taken) {
            response->broken = true;
        } else {
            // Whoever gives the response knows, and needs no call.
            response->on_disconnect = {};
            this->replace(number, text_reply(502, "the response broke off"));
        }
        return true;
    }
    if (response->body_framing == framing::chunked) {
        append_chunk(response->bytes, part);
    } else {
        response->bytes.append(part.bytes);
    }
    if (part.position == body_part::state::last) {
        complete(*response);
    }
    return true;
}

bool response_queue::reserve(const std::uint64_t number) {
    auto* response = this->find(number);
    if (response == nullptr || response->bytes.empty()) {
        return true;
    }
    response->waited = true;
    return response->memory.try_grow_to(response->bytes.size());
}

void response_queue::replace(const std::uint64_t number, const http_reply& reply) {
    auto* response = this->find(number);
    if (response == nullptr || response->taken) {
        return;
    }
    this->cancel(*response);
    response->bytes = std::string{};
    response->memory.release();
    response->begun = false;
    response->body_framing = framing::length;
    static_cast<void>(this->finish(number, reply));
}

void response_queue::close_after(const std::uint64_t number) noexcept {
    if (auto* response = this->find(number)) {
        response->terms.keep_alive = false;
    }
}

response_queue::output response_queue::take(const bool closing) {
    output taken{};
    auto& response = this->entries.front();
    if (!response.begun) {
        return taken;
    }
    if (!std::exchange(response.taken, true)) {
        response.closes = closing || !response.terms.keep_alive || response.body_framing == framing::until_close;
        if (response.closes) {
            response.bytes.insert(response.head_end, close_field);
        }
    }
    taken.bytes = std::exchange(response.bytes, std::string{});
    response.memory.release();
    taken.complete = response.complete;
    taken.broken = response.broken;
    taken.closes = response.closes || (closing && response.complete);
    taken.waited = std::exchange(response.waited, false);
    if (taken.complete || taken.broken) {
        this->entries.pop_front();
        ++this->first_number;
    }
    return taken;
}

void response_queue::cancel_all() {
    for (auto& response : this->entries) {
        this->cancel(response);
    }
    this->first_number += this->entries.size();
    this->entries.clear();
}

bool response_queue::notify_cancelled() {
    if (this->cancelled.empty()) {
        return false;
    }
    std::exception_ptr failure{};
    // The latest first: the end of an earlier one could make room at a target for a later one that ends as well.
    while (!this->cancelled.empty()) {
        const auto action = std::move(this->cancelled.back());
        this->cancelled.pop_back();
        try {
            action();
        } catch (const std::exception&) {
            failure = std::current_exception();
        }
    }
    if (failure) {
        std::rethrow_exception(failure);
    }
    return true;
}

bool response_queue::closes() const noexcept {
    return !this->empty() && (this->entries.front().closes || !this->entries.back().terms.keep_alive);
}

std::size_t response_queue::waiting_bytes() const noexcept {
    return std::accumulate(this->entries.begin(), this->entries.end(), std::size_t{0U},
                           [](const std::size_t sum, const entry& response) { return sum + response.bytes.size(); });
}

std::size_t response_queue::waiting_bytes(const std::uint64_t number) const noexcept {
    return this->contains(number) ? this->entries[number - this->first_number].bytes.size() : 0U;
}

void response_queue::set_sent_listener(const std::uint64_t number, listener action) {
    if (auto* response = this->find(number); response != nullptr && !response->complete) {
        response->on_sent = std::move(action);
    }
}

void response_queue::set_disconnect_listener(const std::uint64_t number, listener action) {
    if (auto* response = this->find(number); response != nullptr && !response->complete) {
        response->on_disconnect = std::move(action);
    }
}

response_queue::listener response_queue::sent_listener() const {
    return this->first_taken() ? this->entries.front().on_sent : listener{};
}

bool response_queue::contains(const std::uint64_t number) const noexcept {
    return number >= this->first_number && number - this->first_number < this->entries.size();
}

response_queue::entry* response_queue::find(const std::uint64_t number) noexcept {
    return this->contains(number) ? &this->entries[number - this->first_number] : nullptr;
}

void response_queue::complete(entry& response) {
    response.begun = true;
    response.complete = true;
    response.on_sent = {};
    response.on_disconnect = {};
}

void response_queue::cancel(entry& response) {
    if (response.on_disconnect) {
        this->cancelled.push_back(std::exchange(response.on_disconnect, listener{}));
    }
}

} // namespace mangopulley::internal

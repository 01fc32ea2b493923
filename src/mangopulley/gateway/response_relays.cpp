#include "response_relays.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>

#include "../core/whole_number.hpp"
#include "../http/field_names.hpp"
#include "forwarded_head.hpp"

namespace mangopulley::internal {

namespace {

struct relay {
    relayed_response content{};
    timer_id timer{};
    bool reading{};
};

[[nodiscard]] std::optional<std::size_t> body_length(const http_response& response) {
    return response.head.has(field_name::content_length)
               ? parse_whole<std::size_t>(response.head.get(field_name::content_length))
               : std::nullopt;
}

} // namespace

struct response_relays::implementation {
    dependencies deps;
    std::unordered_map<std::uint64_t, relay> entries{};
    std::uint64_t last_number{};

    void begin(const std::uint64_t number) {
        auto& content = this->entries.at(number).content;
        const auto exchange = content.exchange;
        exchange->on_disconnect([this, number] { this->cut(number, "caller_gone"); });
        exchange->on_sent([this, number] { this->read_next(number); });
        exchange->begin_response(forwarded_response_head(content.response, false), body_length(content.response));
        exchange->send_body({std::exchange(content.response.body, {}), body_part::state::more});
        this->read_next(number);
    }

    void read_next(const std::uint64_t number) {
        const auto found = this->entries.find(number);
        if (found == this->entries.end() || found->second.reading || !found->second.content.exchange->all_sent()) {
            return;
        }
        found->second.reading = true;
        found->second.content.channel->read_body(
            [this, number](body_part&& part) { this->pass_on(number, std::move(part)); });
    }

    void pass_on(const std::uint64_t number, body_part&& part) {
        const auto found = this->entries.find(number);
        if (found == this->entries.end()) {
            return;
        }
        found->second.reading = false;
        switch (part.position) {
        case body_part::state::more:
            found->second.content.exchange->send_body(part);
            this->read_next(number);
            break;
        case body_part::state::last:
            this->finish(number, part);
            break;
        case body_part::state::broken:
            this->cut(number, "broken");
            break;
        }
    }

    [[nodiscard]] std::optional<relayed_response> remove(const std::uint64_t number) {
        auto found = this->entries.extract(number);
        if (found.empty()) {
            return std::nullopt;
        }
        this->deps.loop.cancel(found.mapped().timer);
        return std::move(found.mapped().content);
    }

    void finish(const std::uint64_t number, const body_part& last) {
        auto content = this->remove(number);
        if (!content) {
            return;
        }
        this->deps.channels.release(content->endpoint, std::move(content->channel));
        // Last, because it may begin the caller's next request.
        content->exchange->send_body(last);
    }

    void schedule_deadline(const std::uint64_t number, relay& entry) {
        entry.timer = this->deps.loop.after(entry.content.deadline - this->deps.loop.now(),
                                            [this, number] { this->cut(number, "time_limit"); });
    }

    /*! @brief Ends a response that will not be complete. */
    void cut(const std::uint64_t number, const std::string& cause) {
        const auto content = this->remove(number);
        if (!content) {
            return;
        }
        this->deps.log.request("response_cut", {{"request_id", content->request_id},
                                                {"cause", cause},
                                                {"target", content->target_id},
                                                {"status", std::to_string(content->response.status())}});
        this->deps.metric_sink.count("responses_cut_total{cause=\"" + cause + "\"}");
        content->exchange->send_body({{}, body_part::state::broken});
    }
};

response_relays::response_relays(const dependencies& deps)
    : self{std::make_unique<implementation>(implementation{deps})} {}

response_relays::~response_relays() {
    for (const auto& [number, entry] : this->self->entries) {
        this->self->deps.loop.cancel(entry.timer);
    }
}

void response_relays::add(relayed_response&& response) {
    auto& state = *this->self;
    const auto number = ++state.last_number;
    auto& entry = state.entries[number];
    entry.content = std::move(response);
    state.schedule_deadline(number, entry);
    state.begin(number);
}

void response_relays::end_by(const time_point last_response) {
    auto& state = *this->self;
    for (auto& [number, entry] : state.entries) {
        if (entry.content.deadline > last_response) {
            entry.content.deadline = last_response;
            state.deps.loop.cancel(entry.timer);
            state.schedule_deadline(number, entry);
        }
    }
}

std::size_t response_relays::size() const noexcept {
    return this->self->entries.size();
}

} // namespace mangopulley::internal

#include "soak_target.hpp"

#include <array>
#include <chrono>
#include <cstdio>
#include <utility>

namespace soak {

namespace {

using mangopulley::http_request;

constexpr milliseconds usual_work{30};
constexpr milliseconds long_work{300};
constexpr milliseconds longest_work{1'100};

[[nodiscard]] std::string in_chunks(const std::string& body) {
    constexpr std::size_t chunk_size = 30'000U;
    std::string text{};
    for (std::size_t begin = 0U; begin < body.size(); begin += chunk_size) {
        const auto part = body.substr(begin, chunk_size);
        std::array<char, 16U> size{};
        std::snprintf(size.data(), size.size(), "%zx", part.size());
        text.append(size.data()).append("\r\n").append(part).append("\r\n");
    }
    return text + "0\r\n\r\n";
}

} // namespace

soak_target::soak_target(mangopulley::event_loop& owner, integration::object_store& registry, order_tracker& orders,
                         std::minstd_rand& source, const std::size_t number)
    : loop{owner}, store{registry}, tracker{orders}, random{source}, index{number},
      peer{owner, "", [this](connection& from, const http_request& request) { this->serve(from, request); }} {
    this->restart();
}

void soak_target::begin(const fault_kind kind) {
    ++this->faults[kind];
}

void soak_target::end(const fault_kind kind) {
    if (--this->faults[kind] <= 0) {
        this->faults.erase(kind);
    }
}

void soak_target::reset() {
    for (auto& [item, state] : this->states) {
        this->tracker.excuse(state.order_id);
    }
    this->peer.reset_connections();
}

void soak_target::restart() {
    if (!this->id.empty()) {
        this->former.insert(this->id);
    }
    this->reset();
    this->id = "t" + std::to_string(this->index) + '-' + std::to_string(++this->starts);
    this->leaving = false;
    this->listed = true;
    this->register_again();
}

void soak_target::leave(const bool announced) {
    this->leaving = true;
    this->listed = announced;
    this->register_again();
}

void soak_target::register_again() {
    if (this->listed) {
        this->store.put_target(this->id, this->peer.endpoint(), this->leaving ? "draining" : "ready", this->starts);
    } else {
        this->store.remove_target(this->id);
    }
}

void soak_target::remove_former() {
    for (const auto& gone : this->former) {
        this->store.remove_target(gone);
    }
}

void soak_target::serve(connection& from, const http_request& request) {
    // The target would keep all requests of the run with their bodies.
    this->peer.received.clear();
    auto& state = this->states.try_emplace(&from, connection_state{this->states.size()}).first->second;
    auto* const item = this->tracker.arrive(request);
    if (item == nullptr) {
        from.close();
        return;
    }
    this->tracker.record_event(*item, "reaches " + this->id + " on its connection " + std::to_string(state.number));
    item->excused = item->excused || state.faulty;
    state.order_id = item->id;
    if (const auto copy = std::exchange(state.copy, {}); !copy.empty()) {
        item->excused = true;
        state.faulty = true;
        this->tracker.record_event(*item, "follows a copy of the response before it");
        from.write(copy);
    }
    const bool meant = request.head.get("Mangopulley-Target-Instance", this->id) == this->id;
    const auto act = meant ? this->choose() : &soak_target::misdirect;
    if (!state.read_late) {
        this->tracker.judge_advice(*item, this->id, this->loop.earliest_arrival(), act == &soak_target::misdirect);
    }
    (this->*act)(from, *item);
}

soak_target::behaviour soak_target::choose() {
    static const std::map<fault_kind, behaviour> behaviours{
        {fault_kind::target_full, &soak_target::reject},
        {fault_kind::target_pauses, &soak_target::reject_for_a_while},
        {fault_kind::target_repeats_rejections, &soak_target::reject_twice},
        {fault_kind::target_repeats_responses, &soak_target::answer_twice},
        {fault_kind::target_misdirected, &soak_target::misdirect},
        {fault_kind::target_fails, &soak_target::fail},
        {fault_kind::target_cuts_heads, &soak_target::cut_head},
        {fault_kind::target_cuts_bodies, &soak_target::cut_body},
        {fault_kind::target_hangs, &soak_target::hang},
        {fault_kind::target_reads_slowly, &soak_target::read_slowly},
    };
    constexpr unsigned int period = 2U;
    for (const auto& [kind, count] : this->faults) {
        if (this->chance(period)) {
            return behaviours.at(kind);
        }
    }
    return &soak_target::answer;
}

void soak_target::work(connection& from, order& item, const std::string& text) {
    constexpr unsigned int long_period = 10U;
    constexpr unsigned int longest_period = 40U;
    this->tracker.run(item, this->id);
    if (this->leaving) {
        item.leaving_target = this->id;
    }
    const auto length = this->chance(longest_period) ? longest_work
                        : this->chance(long_period)  ? long_work
                                                     : usual_work;
    const bool ends = item.answer_framing == framing::end_of_connection;
    this->loop.after(length, [this, &from, &item, text, ends] {
        if (!from.bytes) {
            return;
        }
        from.write(text);
        item.answer_written_at = this->loop.now();
        if (ends) {
            from.bytes->finish_sending();
        }
    });
}

std::string soak_target::success(order& item) const {
    constexpr int status = 200;
    item.given.insert(status);
    std::string text{"HTTP/1.1 200 OK\r\nMangopulley-Request-Id: " + item.id +
                     "\r\nMangopulley-Response-Stamp: " + this->id + "\r\nMangopulley-Server-Load: 0,0,2,100\r\n"};
    if (this->leaving) {
        text += "Server-Leaving: 1\r\n";
    }
    if (item.answer_framing == framing::chunks) {
        return text + "Transfer-Encoding: chunked\r\n\r\n" + in_chunks(item.expected_answer);
    }
    if (item.answer_framing == framing::end_of_connection) {
        return text + "Connection: close\r\n\r\n" + item.expected_answer;
    }
    return text + "Content-Length: " + std::to_string(item.expected_answer.size()) + "\r\n\r\n" + item.expected_answer;
}

std::string soak_target::rejection(const order& item, const std::string& beginning) const {
    return "HTTP/1.1 " + beginning + "\r\nMangopulley-Request-Id: " + item.id +
           (this->leaving ? "\r\nServer-Leaving: 1" : "") + "\r\nContent-Length: 0\r\n\r\n";
}

void soak_target::answer(connection& from, order& item) {
    this->work(from, item, this->success(item));
}

void soak_target::answer_twice(connection& from, order& item) {
    const auto text = this->success(item);
    this->work(from, item, text);
    if (item.answer_framing != framing::end_of_connection) {
        this->write_later(from, text);
    }
}

void soak_target::fail(connection& from, order& item) {
    constexpr int status = 500;
    item.given.insert(status);
    item.answer_framing = framing::length;
    this->work(from, item,
               "HTTP/1.1 500 Failed\r\nMangopulley-Response-Stamp: s\r\nMangopulley-Request-Id: " + item.id +
                   "\r\nContent-Length: 6\r\n\r\nfailed");
}

void soak_target::reject(connection& from, order& item) {
    this->tracker.record_event(item, "rejected by " + this->id);
    from.write(this->rejection(item, "503 Full\r\nMangopulley-Not-Executed: 1"));
}

void soak_target::reject_twice(connection& from, order& item) {
    this->reject(from, item);
    this->write_later(from, this->rejection(item, "503 Full\r\nMangopulley-Not-Executed: 1"));
}

void soak_target::reject_for_a_while(connection& from, order& item) {
    constexpr milliseconds pause{1'500};
    this->tracker.pause(item, this->id, pause);
    from.write(this->rejection(item, "503 Full\r\nMangopulley-Not-Executed: 1\r\nRetry-After: 1.5"));
}

void soak_target::misdirect(connection& from, order& item) {
    const auto text =
        this->rejection(item, "421 Misdirected Request\r\nMangopulley-Instance-Id: other-than-" + this->id);
    from.write(text);
    if (this->faults.contains(fault_kind::target_repeats_rejections)) {
        this->write_later(from, text);
    }
}

void soak_target::write_later(connection& from, const std::string& text) {
    constexpr milliseconds delay{45};
    constexpr unsigned int idle_period = 3U;
    if (!this->chance(idle_period)) {
        this->states[&from].copy = text;
        return;
    }
    this->loop.after(delay, [this, &from, text] {
        auto& state = this->states[&from];
        state.faulty = true;
        this->tracker.excuse(state.order_id);
        // Nobody could tell the rest of a body from bytes that follow it; a rejection in a head can be told from
        // success.
        const bool recognizable = state.cut == cut_part::head && !text.starts_with("HTTP/1.1 200");
        if (from.bytes && (state.cut == cut_part::none || recognizable)) {
            from.write(text);
        }
    });
}

void soak_target::cut_head(connection& from, order& item) {
    this->states[&from].cut = cut_part::head;
    const auto text = this->success(item);
    this->cut(from, item, text.substr(0U, this->random() % text.find("\r\n\r\n")));
}

void soak_target::cut_body(connection& from, order& item) {
    this->states[&from].cut = cut_part::body;
    const auto text = this->success(item);
    const auto head = text.find("\r\n\r\n") + 4U;
    // The orderly end of a connection would make a part without any framing whole.
    if (item.answer_framing == framing::end_of_connection) {
        from.bytes->reset_on_close();
    }
    this->cut(from, item, text.substr(0U, head + this->random() % (text.size() - head)));
}

void soak_target::cut(connection& from, order& item, const std::string& text) {
    constexpr unsigned int reset_period = 3U;
    this->tracker.run(item, this->id);
    item.excused = true;
    from.write(text);
    const bool reset = this->chance(reset_period);
    this->loop.after(usual_work, [&from, reset] {
        if (from.bytes && reset) {
            from.bytes->reset_on_close();
        }
        from.close();
    });
}

void soak_target::hang(connection& /*from*/, order& item) {
    this->tracker.run(item, this->id);
}

void soak_target::read_slowly(connection& from, order& item) {
    constexpr milliseconds pause{400};
    this->states[&from].read_late = true;
    from.bytes->pause_reading(true);
    this->loop.after(pause, [&from] {
        if (from.bytes) {
            from.bytes->pause_reading(false);
        }
    });
    this->answer(from, item);
}

} // namespace soak

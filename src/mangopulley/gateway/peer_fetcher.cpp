#include "peer_fetcher.hpp"

#include <unordered_map>
#include <utility>

#include "../http/http_channel.hpp"

namespace mangopulley {

namespace internal {

namespace {

constexpr std::size_t max_document_bytes = 32U * 1'024U * 1'024U;
constexpr stream_timing peer_timing{milliseconds{1'000}, milliseconds{0}};
constexpr int document_found = 200;

struct open_fetch {
    std::unique_ptr<http_channel> channel{};
    peer_fetcher::completion done{};
    timer_id timeout{};
};

} // namespace

} // namespace internal

struct peer_fetcher::implementation {
    event_loop& loop;
    std::uint16_t port;
    duration timeout;
    std::unordered_map<std::uint64_t, internal::open_fetch> open{};
    std::uint64_t last{};

    void finish(const std::uint64_t number, std::string&& bytes) {
        const auto position = this->open.find(number);
        if (position == this->open.end()) {
            return;
        }
        auto fetch = std::move(position->second);
        this->open.erase(position);
        this->loop.cancel(fetch.timeout);
        fetch.done(std::move(bytes));
    }
};

peer_fetcher::peer_fetcher(event_loop& loop, const std::uint16_t port, const duration timeout)
    : self{std::make_unique<implementation>(implementation{loop, port, timeout})} {}

peer_fetcher::~peer_fetcher() {
    for (const auto& [number, fetch] : this->self->open) {
        this->self->loop.cancel(fetch.timeout);
    }
}

void peer_fetcher::fetch(const std::string& ip, const std::string& path, completion done) {
    auto& state = *this->self;
    const auto number = ++state.last;
    const auto endpoint = ip + ':' + std::to_string(state.port);
    auto& fetch = state.open[number];
    fetch.done = std::move(done);
    fetch.channel =
        std::make_unique<http_channel>(state.loop, endpoint, internal::peer_timing, internal::max_document_bytes);
    fetch.timeout = state.loop.after(state.timeout, [&state, number] { state.finish(number, {}); });
    fetch.channel->send("GET " + path + " HTTP/1.1\r\nHost: " + endpoint + "\r\nConnection: close\r\n\r\n", false, {},
                        [&state, number](exchange_outcome&& outcome) {
                            const bool found =
                                !outcome.failure && outcome.response.status() == internal::document_found;
                            state.finish(number, found ? std::move(outcome.response.body) : std::string{});
                        });
}

} // namespace mangopulley

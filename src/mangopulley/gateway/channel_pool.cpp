#include "channel_pool.hpp"

#include <unordered_map>
#include <utility>
#include <vector>

namespace mangopulley {

namespace internal {

namespace {

constexpr std::size_t longest_target_body = 8U * 1'024U * 1'024U;
constexpr std::size_t most_idle_per_endpoint = 16U;
// Used when the peer does not say how long it keeps an idle connection.
constexpr duration usual_idle_limit{std::chrono::seconds{4}};
// A request that crosses the peer's close may not be sent again, so connections are given up early.
constexpr duration idle_margin{std::chrono::milliseconds{1'500}};
constexpr stream_timing target_timing{milliseconds{1'000}, milliseconds{1'000}};

[[nodiscard]] bool is_usable(const http_channel& channel, const time_point now) {
    if (!channel.available()) {
        return false;
    }
    const auto limit = channel.peer_idle_limit();
    const auto longest = limit ? *limit - idle_margin : usual_idle_limit;
    return now - channel.idle_since() < longest;
}

} // namespace

} // namespace internal

struct channel_pool::implementation {
    event_loop& loop;
    std::unordered_map<std::string, std::vector<std::unique_ptr<http_channel>>> idle{};
    std::size_t opened{};
};

channel_pool::channel_pool(event_loop& loop) : self{std::make_unique<implementation>(implementation{loop})} {}

channel_pool::~channel_pool() = default;

std::unique_ptr<http_channel> channel_pool::take(const std::string& endpoint) {
    auto& kept = this->self->idle[endpoint];
    const auto now = this->self->loop.now();
    while (!kept.empty()) {
        auto channel = std::move(kept.back());
        kept.pop_back();
        if (internal::is_usable(*channel, now)) {
            return channel;
        }
    }
    ++this->self->opened;
    return std::make_unique<http_channel>(this->self->loop, endpoint, internal::target_timing,
                                          internal::longest_target_body);
}

void channel_pool::give_back(const std::string& endpoint, std::unique_ptr<http_channel> channel) {
    auto& kept = this->self->idle[endpoint];
    if (channel->available() && channel->opened() && kept.size() < internal::most_idle_per_endpoint) {
        kept.push_back(std::move(channel));
    }
}

void channel_pool::prune() {
    const auto now = this->self->loop.now();
    for (auto& [endpoint, kept] : this->self->idle) {
        std::erase_if(kept, [now](const auto& channel) { return !internal::is_usable(*channel, now); });
    }
    std::erase_if(this->self->idle, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t channel_pool::opened() const noexcept {
    return this->self->opened;
}

std::size_t channel_pool::idle() const noexcept {
    std::size_t count = 0U;
    for (const auto& [endpoint, kept] : this->self->idle) {
        count += kept.size();
    }
    return count;
}

} // namespace mangopulley

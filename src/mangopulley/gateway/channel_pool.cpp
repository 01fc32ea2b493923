#include "channel_pool.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mangopulley {

namespace internal {

namespace {

// Bounds a body that never ends; the part that is held at a time is bounded by whoever sends the request.
constexpr std::size_t max_response_body_bytes = 64U * 1'024U * 1'024U;
constexpr std::size_t max_idle_per_endpoint = 16U;
// Applies when the peer does not announce its idle timeout.
constexpr duration default_idle_limit{std::chrono::seconds{4}};
// A request that crosses the peer's close may not be retriable, so connections are closed before the peer's timeout.
constexpr duration idle_margin{std::chrono::milliseconds{1'500}};
constexpr stream_timing target_timing{milliseconds{1'000}, milliseconds{1'000}, true};

[[nodiscard]] bool is_usable(const http_channel& channel, const time_point now) {
    if (!channel.available()) {
        return false;
    }
    const auto limit = channel.peer_idle_limit();
    const auto max_idle = limit ? *limit - idle_margin : default_idle_limit;
    return now - channel.idle_since() < max_idle;
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

std::unique_ptr<http_channel> channel_pool::take(const std::string& endpoint, const std::string_view request_id) {
    auto& idle_channels = this->self->idle[endpoint];
    std::erase_if(idle_channels,
                  [now = this->self->loop.now()](const auto& channel) { return !internal::is_usable(*channel, now); });
    const auto latest = std::find_if(idle_channels.rbegin(), idle_channels.rend(),
                                     [request_id](const auto& channel) { return !channel->has_carried(request_id); });
    if (latest != idle_channels.rend()) {
        auto channel = std::move(*latest);
        idle_channels.erase(std::next(latest).base());
        return channel;
    }
    ++this->self->opened;
    return std::make_unique<http_channel>(this->self->loop, endpoint, internal::target_timing,
                                          internal::max_response_body_bytes);
}

void channel_pool::release(const std::string& endpoint, std::unique_ptr<http_channel> channel) {
    auto& idle_channels = this->self->idle[endpoint];
    if (channel->available() && channel->opened() && idle_channels.size() < internal::max_idle_per_endpoint) {
        idle_channels.push_back(std::move(channel));
    }
}

void channel_pool::prune() {
    const auto now = this->self->loop.now();
    for (auto& [endpoint, idle_channels] : this->self->idle) {
        std::erase_if(idle_channels, [now](const auto& channel) { return !internal::is_usable(*channel, now); });
    }
    std::erase_if(this->self->idle, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t channel_pool::opened() const noexcept {
    return this->self->opened;
}

std::size_t channel_pool::idle() const noexcept {
    std::size_t count = 0U;
    for (const auto& [endpoint, idle_channels] : this->self->idle) {
        count += idle_channels.size();
    }
    return count;
}

} // namespace mangopulley

#include "decision_log.hpp"

#include <string>

#include "../limit/token_bucket.hpp"

namespace mangopulley {

struct decision_log::implementation {
    event_log log;
    const clock& time;
    token_bucket lines;
    std::uint64_t dropped{};
    std::uint64_t reported{};

    implementation(const std::string_view component, const clock& source, const double lines_per_second)
        : log{component}, time{source}, lines{lines_per_second, lines_per_second, source.now()} {}
};

decision_log::decision_log(const std::string_view component, const clock& time, const double lines_per_second)
    : self{std::make_unique<implementation>(component, time, lines_per_second)} {}

decision_log::~decision_log() = default;

void decision_log::request(const std::string_view event, const std::initializer_list<event_log::field> fields) {
    auto& state = *this->self;
    if (!state.lines.try_take(state.time.now())) {
        ++state.dropped;
        return;
    }
    if (state.dropped != state.reported) {
        state.log.write(log_level::warn, "log_lines_dropped",
                        {{"count", std::to_string(state.dropped - state.reported)}});
        state.reported = state.dropped;
    }
    state.log.write(log_level::info, event, fields);
}

void decision_log::change(const std::string_view event, const std::initializer_list<event_log::field> fields) {
    this->self->log.write(log_level::info, event, fields);
}

std::uint64_t decision_log::dropped() const noexcept {
    return this->self->dropped;
}

} // namespace mangopulley

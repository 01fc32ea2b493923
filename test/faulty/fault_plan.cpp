#include "fault_plan.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace faulty {

namespace {

constexpr std::int64_t look_period_ms = 20;

} // namespace

fault_plan& fault_plan::instance() {
    static fault_plan single{};
    return single;
}

fault_plan::moment fault_plan::next(const std::string_view kind) {
    this->refresh();
    if (this->failing_kind != kind) {
        return moment::never;
    }
    const auto call = this->calls++;
    if (call % this->calls_per_failure != 0U) {
        return moment::never;
    }
    return call / this->calls_per_failure % 2U == 0U ? moment::before : moment::after;
}

void fault_plan::refresh() {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    if (now_ms < this->next_look_ms) {
        return;
    }
    this->next_look_ms = now_ms + look_period_ms;
    const char* path = std::getenv("MANGOPULLEY_FAULTS"); // NOLINT(concurrency-mt-unsafe)
    std::ifstream file{path == nullptr ? "" : path};
    std::string kind{};
    std::uint64_t period{};
    file >> kind >> period;
    this->calls = kind == this->failing_kind ? this->calls : 0U;
    this->failing_kind = kind;
    this->calls_per_failure = std::max<std::uint64_t>(period, 1U);
}

void fail(const std::string_view kind) {
    throw std::runtime_error{"injected: " + std::string{kind}};
}

} // namespace faulty

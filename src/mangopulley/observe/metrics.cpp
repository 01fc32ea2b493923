#include "metrics.hpp"

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace mangopulley {

namespace internal {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.99, 0.999};
constexpr auto window = std::chrono::seconds{10};

using latency_set = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::extended_p_square_quantile>>;

[[nodiscard]] latency_set make_latency_set() {
    return latency_set{acc::extended_p_square_probabilities = quantiles};
}

/*! @brief Summary over windows: one being filled and the last full one. */
struct summary {
    std::mutex guard{};
    latency_set filling{make_latency_set()};
    std::optional<latency_set> full{};
    time_point window_begin{};
    std::uint64_t count{};
    double sum{};

    void add(const double seconds, const time_point now) {
        const std::lock_guard lock{this->guard};
        if (now - this->window_begin >= window) {
            this->full = std::exchange(this->filling, make_latency_set());
            this->window_begin = now;
        }
        this->filling(seconds);
        ++this->count;
        this->sum += seconds;
    }
};

/*! @brief Splits `name{labels}` so that a label can be added. */
[[nodiscard]] std::pair<std::string_view, std::string_view> split_labels(const std::string_view name) {
    const auto brace = name.find('{');
    if (brace == std::string_view::npos) {
        return {name, {}};
    }
    return {name.substr(0U, brace), name.substr(brace + 1U, name.size() - brace - 2U)};
}

void write_summary(std::ostream& stream, const std::string_view name, summary& item) {
    const auto [base, labels] = split_labels(name);
    const std::lock_guard lock{item.guard};
    const auto& source = item.full ? *item.full : item.filling;
    for (const double probability : quantiles) {
        stream << "mangopulley_" << base << '{' << labels << (labels.empty() ? "" : ",") << "quantile=\"" << probability
               << "\"} " << acc::quantile(source, acc::quantile_probability = probability) << '\n';
    }
    const auto braced = labels.empty() ? std::string{} : '{' + std::string{labels} + '}';
    stream << "mangopulley_" << base << "_max" << braced << ' ' << acc::max(source) << '\n';
    stream << "mangopulley_" << base << "_count" << braced << ' ' << item.count << '\n';
    stream << "mangopulley_" << base << "_sum" << braced << ' ' << item.sum << '\n';
}

} // namespace internal

struct metrics::implementation {
    const clock& time;
    mutable std::mutex guard{};
    std::map<std::string, std::uint64_t, std::less<>> counters{};
    std::map<std::string, std::function<double()>, std::less<>> gauges{};
    /*! @brief Entries are never removed, so a summary can be used without the lock of the map. */
    std::map<std::string, std::unique_ptr<internal::summary>, std::less<>> summaries{};

    explicit implementation(const clock& source) : time{source} {}

    [[nodiscard]] internal::summary& find_summary(const std::string_view name) {
        const std::lock_guard lock{this->guard};
        auto position = this->summaries.find(name);
        if (position == this->summaries.end()) {
            position = this->summaries.emplace(std::string{name}, std::make_unique<internal::summary>()).first;
            position->second->window_begin = this->time.now();
        }
        return *position->second;
    }
};

metrics::metrics(const clock& time) : self{std::make_unique<implementation>(time)} {}

metrics::~metrics() = default;

void metrics::count(const std::string_view name, const std::uint64_t amount) {
    const std::lock_guard lock{this->self->guard};
    const auto position = this->self->counters.find(name);
    if (position != this->self->counters.end()) {
        position->second += amount;
    } else {
        this->self->counters.emplace(std::string{name}, amount);
    }
}

void metrics::observe(const std::string_view name, const duration time) {
    this->self->find_summary(name).add(std::chrono::duration<double>(time).count(), this->self->time.now());
}

void metrics::gauge(const std::string_view name, std::function<double()> source) {
    const std::lock_guard lock{this->self->guard};
    this->self->gauges[std::string{name}] = std::move(source);
}

std::uint64_t metrics::value(const std::string_view name) const {
    const std::lock_guard lock{this->self->guard};
    const auto position = this->self->counters.find(name);
    return position == this->self->counters.end() ? 0U : position->second;
}

std::string metrics::text() const {
    std::ostringstream stream{};
    std::map<std::string, std::function<double()>, std::less<>> gauges{};
    {
        const std::lock_guard lock{this->self->guard};
        for (const auto& [name, value] : this->self->counters) {
            stream << "mangopulley_" << name << ' ' << value << '\n';
        }
        for (const auto& [name, item] : this->self->summaries) {
            internal::write_summary(stream, name, *item);
        }
        gauges = this->self->gauges;
    }
    // The sources take locks of their own, so none is held here.
    for (const auto& [name, source] : gauges) {
        stream << "mangopulley_" << name << ' ' << source() << '\n';
    }
    return std::move(stream).str();
}

} // namespace mangopulley

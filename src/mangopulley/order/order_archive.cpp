#include "order_archive.hpp"

#include <algorithm>
#include <charconv>
#include <deque>
#include <mutex>
#include <utility>

namespace mangopulley {

namespace internal {

// Issue times per bucket in seconds. With the run window as bucket size, listing a bucket returns a few hundred names.
constexpr std::uint64_t bucket_seconds = 600U;
// Bytes that the encoding adds to the texts of an entry, rounded up.
constexpr std::size_t entry_overhead_bytes = 64U;

struct pending_outcome {
    order_key key{};
    std::shared_ptr<const order_outcome> outcome{};
    std::size_t bytes{};
};

struct open_segment {
    std::string name{};
    std::string content{};
    std::vector<pending_outcome> entries{};
};

enum class write_result : unsigned char { written, failed, name_taken };

[[nodiscard]] std::string bucket_prefix(const order_token& token) {
    return "orders/" + token.home.to_string() + '/' + std::to_string(token.issued / bucket_seconds) + '-';
}

/*! @brief Parses `<first>-<last>-...`, the name after its prefix; returns whether the range covers an issue time. */
[[nodiscard]] bool covers_issue_time(std::string_view name, const std::uint64_t issued) noexcept {
    std::uint64_t bounds[2]{};
    for (auto& bound : bounds) {
        const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), bound);
        if (error != std::errc{} || end == name.data() + name.size() || *end != '-') {
            return false;
        }
        name.remove_prefix(static_cast<std::size_t>(end - name.data()) + 1U);
    }
    return bounds[0] <= issued && issued <= bounds[1];
}

} // namespace internal

struct order_archive::implementation {
    implementation(const incarnation_id own, const clock& source, store_client& target, const archive_limits limits)
        : writer{own}, time{&source}, store{&target}, bounds{limits} {}

    incarnation_id writer;
    const clock* time;
    store_client* store;
    archive_limits bounds;
    mutable std::mutex guard{};
    std::deque<internal::pending_outcome> pending{};
    std::optional<internal::open_segment> open{};
    /*! @brief Whether a thread is writing `open`; other threads do not modify it meanwhile. */
    bool writing{};
    std::optional<time_point> last_write{};
    std::uint64_t next_number{1U};
    counts total{};

    void name_segment(internal::open_segment& segment) {
        std::uint64_t first = UINT64_MAX;
        std::uint64_t last = 0U;
        for (const auto& entry : segment.entries) {
            first = std::min(first, entry.key.token.issued);
            last = std::max(last, entry.key.token.issued);
        }
        segment.name = internal::bucket_prefix(segment.entries.front().key.token) + std::to_string(first) + '-' +
                       std::to_string(last) + '-' + this->writer.to_string() + '-' +
                       std::to_string(this->next_number++);
    }

    /*! @brief Moves the oldest outcome, and all others of its home and bucket that fit, to a new segment. */
    void fill_segment() {
        internal::open_segment segment{};
        const auto prefix = internal::bucket_prefix(this->pending.front().key.token);
        std::size_t bytes = 0U;
        std::deque<internal::pending_outcome> remaining{};
        std::vector<keyed_outcome> group{};
        for (auto& entry : this->pending) {
            const bool fits = bytes + entry.bytes <= this->bounds.max_segment_bytes || group.empty();
            if (!fits || internal::bucket_prefix(entry.key.token) != prefix) {
                remaining.push_back(std::move(entry));
                continue;
            }
            bytes += entry.bytes;
            group.push_back({entry.key.to_string(), entry.outcome});
            segment.entries.push_back(std::move(entry));
        }
        this->pending = std::move(remaining);
        segment.content = encode_outcomes(group);
        this->name_segment(segment);
        this->open = std::move(segment);
    }

    /*! @brief Starts the write of a segment and returns its name and content; nothing when no segment is due or another
     * thread is writing. */
    [[nodiscard]] std::optional<std::pair<std::string, std::string>> begin_write(const bool ignore_interval) {
        const std::lock_guard lock{this->guard};
        const auto now = this->time->now();
        if (this->writing ||
            (!ignore_interval && this->last_write && now - *this->last_write < this->bounds.write_interval)) {
            return std::nullopt;
        }
        if (!this->open) {
            if (this->pending.empty()) {
                return std::nullopt;
            }
            this->fill_segment();
        }
        this->writing = true;
        this->last_write = now;
        return std::pair{this->open->name, this->open->content};
    }

    [[nodiscard]] internal::write_result write(const std::string& name, const std::string& content) {
        return boost::leaf::try_handle_all(
            [&]() -> result<internal::write_result> {
                BOOST_LEAF_AUTO(version, this->store->put(name, content, 0U));
                static_cast<void>(version);
                return internal::write_result::written;
            },
            [&](const store_error& error) {
                return error.code == store_error::code::conflict ? this->check_existing_segment(name, content)
                                                                 : internal::write_result::failed;
            },
            [] { return internal::write_result::failed; });
    }

    /*! @brief Reads a segment that already exists; equal content means that an earlier write of ours took effect. */
    [[nodiscard]] internal::write_result check_existing_segment(const std::string& name, const std::string& content) {
        return boost::leaf::try_handle_all(
            [&]() -> result<internal::write_result> {
                BOOST_LEAF_AUTO(object, this->store->get(name));
                return object.value == content ? internal::write_result::written : internal::write_result::name_taken;
            },
            [] { return internal::write_result::failed; });
    }

    void end_write(const internal::write_result outcome) {
        const std::lock_guard lock{this->guard};
        this->writing = false;
        if (outcome == internal::write_result::name_taken) {
            this->name_segment(*this->open);
        } else if (outcome == internal::write_result::written) {
            for (const auto& entry : this->open->entries) {
                this->total.pending_bytes -= entry.bytes;
                --this->total.pending;
            }
            this->open.reset();
            ++this->total.segments_written;
        }
    }

    [[nodiscard]] bool write_next_segment(const bool ignore_interval, bool& idle) {
        const auto segment = this->begin_write(ignore_interval);
        idle = !segment;
        if (idle) {
            return true;
        }
        const auto outcome = this->write(segment->first, segment->second);
        this->end_write(outcome);
        return outcome == internal::write_result::written;
    }
};

order_archive::order_archive(const incarnation_id writer, const clock& time, store_client& store,
                             const archive_limits bounds)
    : self{std::make_unique<implementation>(writer, time, store, bounds)} {}

order_archive::~order_archive() = default;

void order_archive::add(const order_key& key, std::shared_ptr<const order_outcome> outcome) {
    const auto size_of = [&](const order_outcome& entry) {
        return key.to_string().size() + entry.answer.body.size() + entry.answer.content_type.size() +
               entry.detail.size() + internal::entry_overhead_bytes;
    };
    if (size_of(*outcome) > this->self->bounds.max_segment_bytes) {
        outcome = std::make_shared<const order_outcome>(
            make_outcome(order_state::unknown, order_reason::answer_not_kept, false, "the order ran"));
    }
    const auto bytes = size_of(*outcome);
    const std::lock_guard lock{this->self->guard};
    auto& total = this->self->total;
    this->self->pending.push_back({key, std::move(outcome), bytes});
    total.pending_bytes += bytes;
    ++total.pending;
    while (total.pending_bytes > this->self->bounds.max_pending_bytes && this->self->pending.size() > 1U) {
        total.pending_bytes -= this->self->pending.front().bytes;
        --total.pending;
        ++total.dropped;
        this->self->pending.pop_front();
    }
}

void order_archive::write_if_due() {
    bool idle{};
    static_cast<void>(this->self->write_next_segment(false, idle));
}

bool order_archive::flush() {
    bool idle{};
    while (!idle) {
        // The second attempt detects that the first one took effect although its reply was lost.
        if (!this->self->write_next_segment(true, idle) && !this->self->write_next_segment(true, idle)) {
            return false;
        }
    }
    return this->count().pending == 0U;
}

std::vector<keyed_outcome> order_archive::take_pending() {
    std::vector<keyed_outcome> all{};
    const std::lock_guard lock{this->self->guard};
    auto& total = this->self->total;
    total.pending = 0U;
    total.pending_bytes = 0U;
    if (this->self->open) {
        for (const auto& entry : this->self->open->entries) {
            all.push_back({entry.key.to_string(), entry.outcome});
        }
    }
    // When a write in progress ends, it subtracts its entries from the counters.
    if (this->self->writing) {
        for (const auto& entry : this->self->open->entries) {
            ++total.pending;
            total.pending_bytes += entry.bytes;
        }
    } else {
        this->self->open.reset();
    }
    for (const auto& entry : this->self->pending) {
        all.push_back({entry.key.to_string(), entry.outcome});
    }
    this->self->pending.clear();
    return all;
}

result<std::optional<order_outcome>> order_archive::read(const order_key& key) {
    const auto prefix = internal::bucket_prefix(key.token);
    const auto text = key.to_string();
    BOOST_LEAF_AUTO(listed, this->self->store->list(prefix));
    std::size_t reads = 0U;
    for (const auto& object : listed) {
        if (!object.key.starts_with(prefix) ||
            !internal::covers_issue_time(std::string_view{object.key}.substr(prefix.size()), key.token.issued)) {
            continue;
        }
        if (++reads > this->self->bounds.max_reads_per_lookup) {
            return boost::leaf::new_error(
                store_error{store_error::code::rate_limited, prefix, "too many segments cover the issue time"});
        }
        BOOST_LEAF_AUTO(segment, this->self->store->get(object.key));
        const auto group = decode_outcomes(segment.value);
        if (!group) {
            return boost::leaf::new_error(store_error{store_error::code::malformed, object.key, "not a segment"});
        }
        for (const auto& entry : *group) {
            if (entry.key == text) {
                return std::optional{*entry.outcome};
            }
        }
    }
    return std::optional<order_outcome>{};
}

order_archive::counts order_archive::count() const {
    const std::lock_guard lock{this->self->guard};
    return this->self->total;
}

} // namespace mangopulley

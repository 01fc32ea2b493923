#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>
#include <standin/common/cluster.hpp>

namespace integration {

using std::chrono::milliseconds;

/*! @brief Service of the trials, and its only kind, which is not idempotent. */
constexpr const char* order_service_name = "payments";
constexpr const char* order_kind = "release";

/*! @brief What a caller was told in one response. */
struct told_outcome {
    /*! @brief Header `Mangopulley-Outcome`; empty when no whole response came. */
    std::string outcome{};
    std::string body{};
    /*! @brief Whether asking again may tell more. */
    bool open{true};
    bool lookup{};
};

/*! @brief One key, the content sent under it and everything that callers were told about it, in order of arrival. */
struct order_record {
    std::string key{};
    std::string body{};
    std::vector<told_outcome> told{};

    /*! @brief Returns the strongest statement: `answered`, `not-run`, else `unknown`. */
    [[nodiscard]] std::string outcome() const;
    /*! @brief Tells whether asking again may tell more. */
    [[nodiscard]] bool open() const;
};

/*! @brief What the journals and the callers' records show together. */
struct order_verdict {
    std::map<std::string, std::size_t> outcomes{};
    /*! @brief How often callers were told each outcome with its problem's type. */
    std::map<std::string, std::size_t> told{};
    std::size_t orders{};
    std::size_t starts{};
    /*! @brief Unknown orders that started, which the caller was rightly not told to be `not-run`. */
    std::size_t unknown_started{};
    /*! @brief Every broken promise in words; empty when all were kept. */
    std::vector<std::string> violations{};
};

/*! @brief Returns the options of a cluster with proxies on all links, for the service of the trials. */
[[nodiscard]] standin::cluster_options order_cluster(std::size_t targets, std::size_t service_time_us,
                                                     std::uint64_t seed);

/*! @brief Writes the catalogue, starts all entry processes and waits until they know each other. */
void start_order_cluster(standin::cluster& system);

/*! @brief Address list of the service as one entry process tells it. */
struct address_list {
    std::string token{};
    std::vector<std::string> addresses{};
};
[[nodiscard]] std::optional<address_list> list_addresses(const standin::cluster& system, std::size_t entry);

/*! @brief Waits until every entry process lists addresses and knows the present incarnation of every other one. */
[[nodiscard]] bool wait_all_known(const standin::cluster& system, milliseconds limit);

/*! @brief Sends orders and keeps what callers are told; safe to use from several threads. */
class order_trial {
public:
    explicit order_trial(const standin::cluster& observed) noexcept : system{observed} {}

    /*! @brief Makes a record for a key with content of its own and returns its number. */
    [[nodiscard]] std::size_t add(std::string_view token);
    /*! @brief Sends an order to an entry process and records what it tells. */
    told_outcome submit(std::size_t order, std::size_t entry, milliseconds timeout);
    /*! @brief Asks an entry process what became of an order and records what it tells. */
    told_outcome ask(std::size_t order, std::size_t entry);
    /*! @brief Asks about open orders until each has an answer that is final or the time is up. */
    void settle(const std::vector<std::size_t>& entries, milliseconds limit);

    [[nodiscard]] order_record record(std::size_t order) const;
    [[nodiscard]] std::size_t size() const;
    /*! @brief Compares the records with the journals of the targets. */
    [[nodiscard]] order_verdict judge() const;

private:
    told_outcome keep(std::size_t order, const standin::http_result& result, bool lookup);

    const standin::cluster& system;
    mutable std::mutex guard{};
    std::vector<order_record> records{};
};

} // namespace integration

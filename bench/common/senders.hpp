#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <mangopulley/http/http_session.hpp>

#include "load_generator.hpp"

namespace bench {

/*! @brief Address lists as callers keep them, shared by all senders of a run. */
class address_cache {
public:
    /*! @brief What a caller knows of one service. */
    struct entry {
        std::vector<std::string> addresses{};
        std::string order_token{};
        std::chrono::steady_clock::time_point fetched{};
    };

    /**
     * @brief Prepares an empty cache.
     * @param load Workload.
     * @param instances Caller addresses of all entry instances.
     * @param spread Whether callers use any instance instead of the ones they are told.
     */
    address_cache(const workload& load, std::vector<std::string> instances, bool spread);

    /*! @brief Returns the list of a service; asks an instance when the list has run out. */
    [[nodiscard]] std::shared_ptr<const entry> find(std::size_t service, std::size_t number);

private:
    [[nodiscard]] std::shared_ptr<const entry> fetch(std::size_t service, std::size_t number) const;

    const workload& load;
    std::vector<std::string> instances;
    bool spread;
    std::mutex guard{};
    std::map<std::size_t, std::shared_ptr<const entry>> entries{};
};

/*! @brief Kept connections shared by all threads of a run, because a target accepts about 220 of them. */
class connection_pool {
public:
    /*! @brief Takes a usable connection or opens one; throws `Poco::Exception` on failure. */
    [[nodiscard]] std::unique_ptr<mangopulley::http_session> take(const std::string& address);
    void give_back(const std::string& address, std::unique_ptr<mangopulley::http_session> session);

private:
    std::mutex guard{};
    std::map<std::string, std::vector<std::unique_ptr<mangopulley::http_session>>> idle{};
};

/*! @brief Kept connections of one thread. */
class connection_cache {
public:
    /*! @brief Returns a usable connection, opening one when needed; throws `Poco::Exception` on failure. */
    [[nodiscard]] mangopulley::http_session& open(const std::string& address);
    /*! @brief Closes a connection that must not be used again. */
    void drop(const std::string& address) { this->sessions.erase(address); }

private:
    std::map<std::string, std::unique_ptr<mangopulley::http_session>> sessions{};
};

/*! @brief Caller that goes through the entry instances it was told. */
class entry_sender final : public request_sender {
public:
    entry_sender(const workload& load, address_cache& addresses, std::string run_name)
        : load{load}, addresses{addresses}, run{std::move(run_name)} {}

    [[nodiscard]] request_result send(const arrival& item, std::size_t number) override;

private:
    [[nodiscard]] request_result send_to(const std::string& address, const arrival& item, const std::string& key);

    const workload& load;
    address_cache& addresses;
    std::string run;
    connection_cache connections{};
};

/*! @brief True queues of all targets, known because all requests of a run come from one process. */
class target_queues {
public:
    /*! @brief Takes the addresses of the targets of each service. */
    explicit target_queues(std::vector<std::vector<std::string>> targets);

    /*! @brief Takes a place at the target with the shortest queue; ties are broken at random. */
    [[nodiscard]] std::size_t enter(std::size_t service);
    void leave(std::size_t service, std::size_t target);
    [[nodiscard]] const std::string& address(std::size_t service, std::size_t target) const;

private:
    std::vector<std::vector<std::string>> addresses;
    std::mutex guard{};
    std::vector<std::vector<std::size_t>> queues{};
    std::size_t turn{};
};

/*! @brief The limit: goes straight to the target with the shortest true queue. */
class oracle_sender final : public request_sender {
public:
    oracle_sender(const workload& load, target_queues& queues, connection_pool& pool, std::string run_name)
        : load{load}, queues{queues}, pool{pool}, run{std::move(run_name)} {}

    [[nodiscard]] request_result send(const arrival& item, std::size_t number) override;

private:
    const workload& load;
    target_queues& queues;
    connection_pool& pool;
    std::string run;
};

} // namespace bench

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.hpp"
#include "process.hpp"
#include "standin_program.hpp"

namespace standin {

/*! @brief Targets of one service. */
struct service_plan {
    std::string name{};
    std::size_t targets{2U};
    /*! @brief Arguments of `standin_target`, such as `--service-time-us`. */
    std::vector<std::string> arguments{};
};

/*! @brief What a cluster consists of. */
struct cluster_options {
    /*! @brief Build folder with `mangopulley` and `test/standin_*`. */
    std::filesystem::path binary_folder{};
    std::uint64_t seed{1U};
    std::size_t entries{3U};
    /*! @brief Zones, which the instances are spread over in turn. */
    std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
    std::string region{"region-1"};
    std::vector<service_plan> services{};
    /*! @brief Arguments of `standin_store`, such as `--list-lag-ms`. */
    std::vector<std::string> store_arguments{};
    std::chrono::milliseconds store_timeout{500};
    /*! @brief Whether each entry process reaches the store through a proxy of its own. */
    bool link_store{};
    /*! @brief Whether each entry process reaches each other one through a proxy of its own. */
    bool link_peers{};
    std::uint32_t workers{32U};
    std::string log_level{"info"};
};

/*! @brief What became of a command. */
struct command_result {
    /*! @brief Exit code; nothing when it did not end in time and was killed. */
    std::optional<int> exit_code{};
    std::string output{};
};

/**
 * @brief Store, director, targets and entry processes on loopback ports; all end at destruction.
 *
 * Functions throw std::runtime_error when a stand-in does not do what it is told, which fails the test.
 */
class cluster {
public:
    /*! @brief Starts everything but the entry processes and publishes the list of all instances. */
    explicit cluster(cluster_options options);
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;
    ~cluster();

    /**
     * @brief Starts all entry processes.
     *
     * With `link_peers`, waits until each has read the instance list through its own view, and lifts any cut of a peer
     * link that was set before.
     */
    void start_entries();
    /*! @brief Starts an entry process, or starts it again as a new incarnation after it has ended. */
    void start_entry(std::size_t index);
    /*! @brief Waits until `/healthz` of an entry process answers 200. */
    [[nodiscard]] bool wait_healthy(std::size_t index, std::chrono::milliseconds limit);
    /*! @brief Runs the program `mangopulley` with arguments. */
    [[nodiscard]] command_result run(const std::vector<std::string>& arguments,
                                     std::chrono::milliseconds limit = std::chrono::milliseconds{10'000});

    [[nodiscard]] std::size_t entries() const noexcept;
    [[nodiscard]] process& entry(std::size_t index);
    [[nodiscard]] standin_program& target(std::string_view service, std::size_t index);
    [[nodiscard]] standin_program& store();
    [[nodiscard]] standin_program& director();
    [[nodiscard]] const std::filesystem::path& folder() const noexcept;

    [[nodiscard]] std::string entry_id(std::size_t index) const;
    [[nodiscard]] std::string target_id(std::string_view service, std::size_t index) const;
    [[nodiscard]] std::string caller_address(std::size_t index) const;
    [[nodiscard]] std::string operator_address(std::size_t index) const;
    /*! @brief Address at which an entry process reaches the store. */
    [[nodiscard]] std::string store_address(std::size_t index) const;
    /*! @brief Address that an entry process listens on for the others, as in the instance list. */
    [[nodiscard]] std::string peer_address(std::size_t index) const;

    /*! @brief Sends a caller's request, `POST /v1/services/{service}/kinds/{kind}`. */
    [[nodiscard]] http_result request(std::size_t entry, const std::string& service, const std::string& kind,
                                      std::string_view body, const http_options& options = {}) const;
    /*! @brief Reads `/state` of an entry process; a discarded value when there is no answer. */
    [[nodiscard]] nlohmann::json state(std::size_t entry) const;

    /*! @brief Sets the state of an instance in the list, `live` or `leaving`. */
    void set_instance_state(const std::string& id, const std::string& state);
    /*! @brief Removes an instance from the list. */
    void remove_instance(const std::string& id);

    void set_store_faults(const nlohmann::json& faults);
    /*! @brief Sets faults of the proxy between an entry process and the store; needs `link_store`. */
    void set_store_link(std::size_t entry, const nlohmann::json& faults);
    /*! @brief Sets faults of the proxy that leads from one entry process to another; needs `link_peers`. */
    void set_peer_link(std::size_t from, std::size_t to, const nlohmann::json& faults);
    /*! @brief Sets faults of all proxies between two groups of entry processes, both ways; needs `link_peers`. */
    void set_partition(const std::vector<std::size_t>& one, const std::vector<std::size_t>& other,
                       const nlohmann::json& faults);
    void set_target(std::string_view service, std::size_t index, const nlohmann::json& behaviour);

    [[nodiscard]] nlohmann::json store_counts() const;
    [[nodiscard]] nlohmann::json target_counts(std::string_view service, std::size_t index) const;
    /*! @brief Reads the journals of all targets of a service. */
    [[nodiscard]] std::vector<nlohmann::json> journal(std::string_view service) const;
    /*! @brief Reads the alerts that the director received. */
    [[nodiscard]] nlohmann::json alerts() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace standin

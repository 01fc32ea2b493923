#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "../standin/common/cluster.hpp"
#include "../standin/common/wait_until.hpp"

namespace control_plane {

using std::chrono::milliseconds;
using test_clock = std::chrono::steady_clock;
using test_time = test_clock::time_point;

inline constexpr milliseconds start_limit{15'000};
inline constexpr milliseconds poll_step{20};

/*! @brief Milliseconds since 1970, as in the journals of the stand-ins. */
[[nodiscard]] inline std::int64_t wall_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

/*! @brief Writes a catalogue into the cluster's folder and applies it with `mangopulley catalogue apply`. */
[[nodiscard]] inline standin::command_result apply(standin::cluster& fleet, const std::string_view text,
                                                   const std::uint64_t based_on, const std::string& name = "operator") {
    const auto file = fleet.folder() / (name + '-' + std::to_string(based_on) + ".yaml");
    std::ofstream{file} << text;
    return fleet.run({"catalogue", "apply", "--store", fleet.store().address(), "--operator", name, "--based-on",
                      std::to_string(based_on), file.string()});
}

/*! @brief Starts all entry processes under a catalogue and waits until all serve. */
[[nodiscard]] inline bool start(standin::cluster& fleet, const std::string_view text) {
    if (apply(fleet, text, 0U).exit_code != 0) {
        return false;
    }
    fleet.start_entries();
    for (std::size_t index = 0U; index < fleet.entries(); ++index) {
        if (!fleet.wait_healthy(index, start_limit)) {
            return false;
        }
    }
    return true;
}

/*! @brief What an instance said of its catalogue. */
struct sample {
    /*! @brief Time before the question was sent. */
    test_time sent{};
    std::uint64_t version{};
    bool serving{};
    std::string incarnation{};
    /*! @brief Section of the state dump as text. */
    std::string catalogue{};
};

/*! @brief Asks all instances for their catalogue version again and again, each from a thread of its own. */
class version_watch {
public:
    explicit version_watch(const standin::cluster& fleet) : seen(fleet.entries()) {
        for (std::size_t index = 0U; index < fleet.entries(); ++index) {
            this->threads.emplace_back(
                [this, index, address = fleet.operator_address(index)](const std::stop_token& stop) {
                    while (!stop.stop_requested()) {
                        this->ask(index, address);
                        std::this_thread::sleep_for(poll_step);
                    }
                });
        }
    }

    /*! @brief Returns the last answer to a question sent after a time. */
    [[nodiscard]] std::optional<sample> latest(const std::size_t index, const test_time since) const {
        const std::lock_guard lock{this->guard};
        const auto& answers = this->seen.at(index);
        return answers.empty() || answers.back().sent < since ? std::nullopt : std::optional{answers.back()};
    }

    /*! @brief Waits until the given instances serve with a version. */
    [[nodiscard]] bool wait_in_force(const std::vector<std::size_t>& instances, const std::uint64_t version,
                                     const milliseconds limit) const {
        const auto since = test_clock::now();
        return standin::wait_until(
            [&] {
                for (const auto index : instances) {
                    const auto answer = this->latest(index, since);
                    if (!answer || !answer->serving || answer->version < version) {
                        return false;
                    }
                }
                return true;
            },
            limit);
    }

    /*! @brief Returns the last answer of each instance, for the message of a failed check. */
    [[nodiscard]] std::string describe() const {
        const std::lock_guard lock{this->guard};
        std::string text{};
        const auto now = test_clock::now();
        for (std::size_t index = 0U; index < this->seen.size(); ++index) {
            const auto& answers = this->seen[index];
            text += "instance " + std::to_string(index) + ": ";
            if (answers.empty()) {
                text += "no answer\n";
                continue;
            }
            const auto& last = answers.back();
            const auto age = std::chrono::duration_cast<milliseconds>(now - last.sent).count();
            text += std::to_string(answers.size()) + " answers, the last " + std::to_string(age) +
                    " ms ago: " + last.catalogue + '\n';
        }
        return text;
    }

    /*! @brief Describes the first answer that breaks a rule; empty when none does. */
    [[nodiscard]] std::string find_regression() const {
        const std::lock_guard lock{this->guard};
        for (std::size_t index = 0U; index < this->seen.size(); ++index) {
            std::uint64_t served{};
            const sample* former = nullptr;
            for (const auto& answer : this->seen[index]) {
                const bool same_run = former != nullptr && former->incarnation == answer.incarnation;
                if ((answer.serving && answer.version < served) || (same_run && answer.version < former->version)) {
                    return "instance " + std::to_string(index) + " went back from version " +
                           std::to_string(same_run ? former->version : served) + " to " +
                           std::to_string(answer.version);
                }
                served = answer.serving ? answer.version : served;
                former = &answer;
            }
        }
        return {};
    }

    /*! @brief Describes the first instance that serves below a version at a time or later; empty when none does. */
    [[nodiscard]] std::string find_late(const std::uint64_t version, const test_time from) const {
        const std::lock_guard lock{this->guard};
        for (std::size_t index = 0U; index < this->seen.size(); ++index) {
            for (const auto& answer : this->seen[index]) {
                if (answer.serving && answer.sent >= from && answer.version < version) {
                    return "instance " + std::to_string(index) + " serves version " + std::to_string(answer.version) +
                           " in place of " + std::to_string(version);
                }
            }
        }
        return {};
    }

private:
    void ask(const std::size_t index, const std::string& address) {
        sample answer{test_clock::now(), 0U, false, {}, {}};
        const auto reply = standin::http_get(address, "/state", {{}, milliseconds{250}});
        const auto state = reply.json();
        if (reply.status != 200 || state.is_discarded()) {
            return;
        }
        answer.version = state.at("catalogue").at("version").get<std::uint64_t>();
        answer.serving = state.at("catalogue").at("serving").get<bool>();
        answer.incarnation = state.at("instance").at("incarnation").get<std::string>();
        answer.catalogue = state.at("catalogue").dump();
        const std::lock_guard lock{this->guard};
        this->seen[index].push_back(std::move(answer));
    }

    mutable std::mutex guard{};
    std::vector<std::vector<sample>> seen;
    std::vector<std::jthread> threads{};
};

} // namespace control_plane

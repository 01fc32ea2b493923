#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <mangopulley/core/clock.hpp>

namespace integration {

/*! @brief Counts the requests that reach targets although these said that they leave or want a pause. */
class advice_judge {
public:
    /*! @brief Requests at one target, as counted by the judge. */
    struct counts {
        std::size_t requests{};
        std::size_t pauses{};
        std::size_t leaves{};
        /*! @brief Requests sent by callers later than `leaving_bound` after the instance knew that the target leaves.
         */
        std::size_t after_leaving{};
        /*! @brief Requests during pauses, from `pause_slack` after their beginning. */
        std::size_t during_pauses{};
        /*! @brief Most requests during one pause. */
        std::size_t most_during_pause{};
    };

    advice_judge() = default;
    /*! @brief Prepares a judge that allows requests for some time after the instance knew that the target leaves. */
    explicit advice_judge(const mangopulley::duration allowed) : leaving_bound{allowed} {}

    /*! @brief Notes that a caller sends a request to an instance. */
    void sent(const std::string& id, const std::string& instance, const mangopulley::time_point now) {
        this->requests[id] = {instance, now};
    }

    /*! @brief Judges the arrival of a request at a target. */
    void arrived(const std::string& id, const std::string& target, const mangopulley::time_point now) {
        ++this->total.requests;
        const auto& [instance, sent_at] = this->requests[id];
        const auto leaving = this->leaving.find({instance, target});
        if (leaving != this->leaving.end() && sent_at > leaving->second + leaving_bound) {
            ++this->total.after_leaving;
        }
        // A target that rejects requests during a pause begins another; the former one goes on.
        for (auto& wanted : this->pauses[{instance, target}]) {
            if (now > wanted.begin + pause_slack && now < wanted.end) {
                ++this->total.during_pauses;
                this->total.most_during_pause = std::max(this->total.most_during_pause, ++wanted.arrivals);
            }
        }
    }

    /*! @brief Notes that a target answers a request and says that it leaves. */
    void said_leaving(const std::string& id, const std::string& target, const mangopulley::time_point now) {
        this->total.leaves += this->leaving.try_emplace({this->requests[id].first, target}, now).second ? 1U : 0U;
    }

    /*! @brief Notes that a target rejects a request and asks for a pause. */
    void asked_for_pause(const std::string& id, const std::string& target, const mangopulley::duration length,
                         const mangopulley::time_point now) {
        ++this->total.pauses;
        this->pauses[{this->requests[id].first, target}].push_back({now, now + length, 0U});
    }

    /*! @brief Notes that a target started again; what it said before does not concern the new start. */
    void restarted(const std::string& target) {
        const auto concerns = [&target](const auto& entry) { return entry.first.second == target; };
        std::erase_if(this->leaving, concerns);
        std::erase_if(this->pauses, concerns);
    }

    /*! @brief Notes that an instance starts again or was suspended, which excuses it from what it was told before. */
    void excuse(const std::string& instance) {
        const auto concerns = [&instance](const auto& entry) { return entry.first.first == instance; };
        std::erase_if(this->leaving, concerns);
        std::erase_if(this->pauses, concerns);
    }

    [[nodiscard]] const counts& result() const noexcept { return this->total; }

private:
    using pair_of_instance_and_target = std::pair<std::string, std::string>;

    struct pause {
        mangopulley::time_point begin{};
        mangopulley::time_point end{};
        std::size_t arrivals{};
    };

    static constexpr std::chrono::milliseconds pause_slack{500};

    mangopulley::duration leaving_bound{std::chrono::milliseconds{500}};
    std::map<std::string, std::pair<std::string, mangopulley::time_point>> requests{};
    std::map<pair_of_instance_and_target, mangopulley::time_point> leaving{};
    std::map<pair_of_instance_and_target, std::vector<pause>> pauses{};
    counts total{};
};

} // namespace integration

#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <mangopulley/core/clock.hpp>
#include <mangopulley/target/target_client.hpp>

namespace fake {

/*! @brief What a target does with one request. */
struct target_reply {
    mangopulley::duration delay{};
    /*! @brief Status of the answer; 0 when the attempt fails with `failure`. */
    int status{200};
    enum mangopulley::target_error::code failure{mangopulley::target_error::code::broken};
    bool draining{};
};

/*! @brief Targets in memory whose answers a function decides; waiting moves the clock through another function. */
class fake_target_client final : public mangopulley::target_client {
public:
    using script = std::function<target_reply(const std::string& endpoint, const mangopulley::target_request& request)>;

    fake_target_client(const mangopulley::clock& source, std::function<void(mangopulley::time_point)> wait_until)
        : time{source}, sleep{std::move(wait_until)} {}

    script reply{};
    /*! @brief Called by each cancellation before it counts as done. */
    std::function<void()> on_cancel{[] {}};

    [[nodiscard]] mangopulley::result<std::unique_ptr<mangopulley::exchange>>
    begin(std::string_view endpoint, const mangopulley::target_request& request) override {
        const std::string address{endpoint};
        const auto next = this->reply(address, request);
        {
            const std::lock_guard lock{this->guard};
            this->log.emplace_back(address, request.request_id);
        }
        if (next.status == 0 && next.failure == mangopulley::target_error::code::not_sent) {
            return boost::leaf::new_error(mangopulley::target_error{next.failure, address, "injected", false});
        }
        return std::unique_ptr<mangopulley::exchange>{
            std::make_unique<scripted>(*this, next, this->time.now() + next.delay, address, request)};
    }

    [[nodiscard]] std::optional<std::size_t> wait_any(std::span<mangopulley::exchange* const> open,
                                                      mangopulley::time_point until) override {
        std::size_t first{};
        for (std::size_t index = 1U; index < open.size(); ++index) {
            first = ready_at(open[index]) < ready_at(open[first]) ? index : first;
        }
        const auto ready = ready_at(open[first]);
        this->sleep(std::min(ready, until));
        return ready <= until ? std::optional{first} : std::nullopt;
    }

    [[nodiscard]] mangopulley::result<mangopulley::load_report> probe(std::string_view /*endpoint*/,
                                                                      mangopulley::time_point /*deadline*/) override {
        return mangopulley::load_report{};
    }

    /*! @brief Returns endpoint and request id of each attempt. */
    [[nodiscard]] std::vector<std::pair<std::string, std::string>> attempts() {
        const std::lock_guard lock{this->guard};
        return this->log;
    }

    /*! @brief Returns the ids of cancelled attempts. */
    [[nodiscard]] std::set<std::string> cancelled() {
        const std::lock_guard lock{this->guard};
        return this->cancelled_ids;
    }

private:
    class scripted final : public mangopulley::exchange {
    public:
        scripted(fake_target_client& owner, target_reply next, mangopulley::time_point ready, std::string endpoint,
                 const mangopulley::target_request& request)
            : client{owner}, outcome{next}, at{ready}, address{std::move(endpoint)}, id{request.request_id},
              body{request.body} {}

        [[nodiscard]] mangopulley::result<mangopulley::target_answer>
        receive(mangopulley::time_point deadline) override {
            using code = enum mangopulley::target_error::code;
            this->client.sleep(std::min(this->at, deadline));
            if (this->at > deadline || this->outcome.status == 0) {
                const auto failure = this->at > deadline ? code::timed_out : this->outcome.failure;
                return boost::leaf::new_error(
                    mangopulley::target_error{failure, this->address, "injected", this->outcome.draining});
            }
            return mangopulley::target_answer{this->outcome.status, this->body + '@' + this->id, "text/plain",
                                              std::nullopt, this->outcome.draining};
        }

        void cancel() noexcept override {
            this->client.on_cancel();
            const std::lock_guard lock{this->client.guard};
            this->client.cancelled_ids.insert(this->id);
        }

        fake_target_client& client;
        target_reply outcome;
        mangopulley::time_point at;
        std::string address;
        std::string id;
        std::string body;
    };

    [[nodiscard]] static mangopulley::time_point ready_at(mangopulley::exchange* open) {
        return static_cast<scripted*>(open)->at;
    }

    const mangopulley::clock& time;
    std::function<void(mangopulley::time_point)> sleep;
    std::mutex guard{};
    std::vector<std::pair<std::string, std::string>> log{};
    std::set<std::string> cancelled_ids{};
};

} // namespace fake

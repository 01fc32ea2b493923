#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <mangopulley/peer/peer_transport.hpp>

namespace fake {

/*! @brief Network between instances in one process; links can be cut in one direction and replies can be lost. */
class fake_network {
public:
    using handler = std::function<std::optional<std::string>(std::string_view body)>;

    /*! @brief Sets what an endpoint answers to a type of message. */
    void handle(const std::string& endpoint, mangopulley::message_type type, handler action) {
        this->handlers[{endpoint, type}] = std::move(action);
    }

    /*! @brief Makes messages from one endpoint to another fail before they are sent. */
    void cut(const std::string& from, const std::string& to) { this->cut_links.emplace(from, to); }
    /*! @brief Delivers messages from one endpoint to another but loses the replies. */
    void lose_replies(const std::string& from, const std::string& to) { this->lossy_links.emplace(from, to); }
    /*! @brief Removes all faults between two endpoints in that direction. */
    void heal(const std::string& from, const std::string& to) {
        this->cut_links.erase({from, to});
        this->lossy_links.erase({from, to});
    }
    /*! @brief Makes an endpoint unreachable for all, as after a kill. */
    void kill(const std::string& endpoint) { this->dead.insert(endpoint); }
    void revive(const std::string& endpoint) { this->dead.erase(endpoint); }

    [[nodiscard]] mangopulley::result<std::string> call(const std::string& from, const std::string& to,
                                                        mangopulley::message_type type, std::string_view body) {
        using code = enum mangopulley::network_error::code;
        const auto fail = [&](const code what) {
            return boost::leaf::new_error(mangopulley::network_error{what, to, "injected"});
        };
        const auto position = this->handlers.find({to, type});
        if (this->dead.contains(to) || this->cut_links.contains({from, to}) || position == this->handlers.end()) {
            return fail(code::connect_failed);
        }
        auto reply = position->second(body);
        if (this->lossy_links.contains({from, to})) {
            return fail(code::timed_out);
        }
        if (!reply) {
            return fail(code::malformed);
        }
        return std::move(*reply);
    }

private:
    std::map<std::pair<std::string, mangopulley::message_type>, handler> handlers{};
    std::set<std::pair<std::string, std::string>> cut_links{};
    std::set<std::pair<std::string, std::string>> lossy_links{};
    std::set<std::string> dead{};
};

/*! @brief The view that one endpoint has of a `fake_network`. */
class fake_transport final : public mangopulley::peer_transport {
public:
    fake_transport(fake_network& shared, std::string endpoint) : network{shared}, self{std::move(endpoint)} {}

    [[nodiscard]] mangopulley::result<std::string> call(std::string_view endpoint, mangopulley::message_type type,
                                                        std::string_view body,
                                                        mangopulley::milliseconds /*timeout*/) override {
        return this->network.call(this->self, std::string{endpoint}, type, body);
    }

private:
    fake_network& network;
    std::string self;
};

} // namespace fake

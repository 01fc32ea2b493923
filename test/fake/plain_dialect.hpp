#pragma once

#include <string>

#include <mangopulley/gateway/dialect.hpp>

namespace fake {

/*! @brief Dialect with fields of its own, so that tests of the gateway need no platform. */
class plain_dialect final : public mangopulley::dialect {
public:
    [[nodiscard]] mangopulley::request_facts read_request(const mangopulley::http_request& request) const override {
        mangopulley::request_facts facts{};
        facts.id = request.head.get("X-Id", "");
        if (const auto text = request.header("X-Time-Left")) {
            facts.time_left = std::chrono::milliseconds{std::stol(*text)};
        }
        return facts;
    }

    [[nodiscard]] bool sets_field(const std::string_view name) const override {
        return name == "X-Time-Left" || name == "X-Target";
    }

    void write_fields(std::string& head, const mangopulley::listed_target& target,
                      const mangopulley::duration time_left) const override {
        const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(time_left).count();
        head.append("X-Time-Left: ").append(std::to_string(whole)).append("\r\n");
        head.append("X-Target: ").append(target.id).append("\r\n");
    }

    [[nodiscard]] mangopulley::response_facts read_response(const mangopulley::http_response& response) const override {
        mangopulley::response_facts facts{};
        facts.request_id = response.head.get("X-Id", "");
        facts.genuine = response.head.has("X-Stamp");
        facts.not_run = response.head.has("X-Not-Run");
        if (response.head.has("X-Pace")) {
            facts.load = mangopulley::load_reading{0U, 0U, 2U, std::stod(response.head.get("X-Pace"))};
        }
        return facts;
    }

    [[nodiscard]] std::optional<mangopulley::address_query>
    read_address_query(const mangopulley::http_request&) const override {
        return std::nullopt;
    }

    [[nodiscard]] mangopulley::http_reply write_addresses(std::span<const std::string>,
                                                          mangopulley::duration) const override {
        return {};
    }

    [[nodiscard]] bool asks_readiness(const mangopulley::http_request&) const override { return false; }
};

} // namespace fake

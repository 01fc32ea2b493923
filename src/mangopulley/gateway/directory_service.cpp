#include "directory_service.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "fleet.hpp"

namespace mangopulley {

namespace internal {

namespace {

// Multiples of the golden ratio spread more evenly over 0 to 1 than random numbers.
constexpr double golden_ratio = 0.6180339887498949;

} // namespace

} // namespace internal

directory_service::directory_service(dependencies used, const directory_rule& bounds)
    : deps{std::move(used)}, rule{bounds}, draw{this->deps.first_draw} {}

void directory_service::answer_readiness(http_server_exchange& exchange) const {
    const bool asked = this->deps.http_dialect.is_readiness_request(exchange.request());
    exchange.respond(text_reply(!asked ? 404 : this->deps.ready() ? 200 : 503, ""));
}

void directory_service::answer_query(http_server_exchange& exchange) {
    const auto query = this->deps.http_dialect.read_address_query(exchange.request());
    if (!query) {
        exchange.respond(text_reply(404, ""));
        return;
    }
    this->draw = std::fmod(this->draw + internal::golden_ratio, 1.0);
    std::vector<std::string> chosen{};
    for (const auto& record : choose_instances(this->deps.leaders(), query->region, query->zone, this->draw)) {
        chosen.push_back(record.identity.caller_endpoint);
    }
    if (chosen.empty()) {
        exchange.respond(text_reply(503, ""));
        return;
    }
    const auto lifetime = std::min(this->rule.list_lifetime, this->deps.max_address_lifetime());
    exchange.respond(this->deps.http_dialect.write_addresses(chosen, lifetime));
}

} // namespace mangopulley

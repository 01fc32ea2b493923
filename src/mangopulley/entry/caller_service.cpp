#include "caller_service.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include "../core/incarnation_id.hpp"
#include "../observe/event_log.hpp"
#include "problem.hpp"
#include "request_headers.hpp"

namespace mangopulley {

namespace internal {

constexpr std::size_t listed_addresses = 3U;
constexpr milliseconds store_check_period{20};
constexpr milliseconds store_retry{5000};
constexpr milliseconds short_wait{1'000};
constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::string_view kinds_part = "/kinds/";
constexpr std::string_view orders_prefix = "/v1/orders/";

/*! @brief Service and kind named in a request's path. */
struct work_path {
    std::string service;
    std::string kind;
};

[[nodiscard]] std::string decode(const std::string_view text) {
    std::string decoded{};
    try {
        Poco::URI::decode(std::string{text}, decoded);
    } catch (const Poco::Exception&) {
        return {};
    }
    return decoded;
}

[[nodiscard]] std::optional<work_path> parse_work_path(const std::string_view path) {
    if (!path.starts_with(services_prefix)) {
        return std::nullopt;
    }
    const auto rest = path.substr(services_prefix.size());
    const auto middle = rest.find(kinds_part);
    if (middle == std::string_view::npos) {
        return std::nullopt;
    }
    work_path parsed{decode(rest.substr(0U, middle)), decode(rest.substr(middle + kinds_part.size()))};
    if (parsed.service.empty() || parsed.kind.empty()) {
        return std::nullopt;
    }
    return parsed;
}

[[nodiscard]] problem make_problem(const int status, std::string outcome, std::string type, std::string title,
                                   std::string detail) {
    problem cause{};
    cause.status = status;
    cause.outcome = std::move(outcome);
    cause.type = std::move(type);
    cause.title = std::move(title);
    cause.detail = std::move(detail);
    return cause;
}

[[nodiscard]] problem not_found(std::string what) {
    return make_problem(404, "not-run", "not-found", "Not found", std::move(what));
}

[[nodiscard]] problem bad_request(std::string detail) {
    return make_problem(400, "not-run", "bad-request", "Bad request", std::move(detail));
}

[[nodiscard]] problem not_run(std::string type, std::string detail) {
    auto cause = make_problem(503, "not-run", std::move(type), "The request was not run", std::move(detail));
    cause.retry_after = short_wait;
    return cause;
}

[[nodiscard]] problem unknown(std::string type, std::string detail) {
    return make_problem(504, "unknown", std::move(type), "It is not known whether the request ran", std::move(detail));
}

/**
 * @brief Weakens `not-run` where an instance turned a submission away without asking the home of the key.
 *
 * Only this submission is known not to have run. An earlier one of the same key may have run through another instance
 * or under an earlier catalogue, unless the caller says that this is the first.
 */
[[nodiscard]] problem without_proof(problem cause, const http_request& request) {
    if (!request.header("Idempotency-Key") || request.header("Mangopulley-Attempt").value_or("") == "1") {
        return cause;
    }
    const std::string detail = cause.detail + "; this submission was not run, but an earlier one of the same key may "
                                              "have been";
    if (cause.status != 503) {
        cause.outcome = "unknown";
        cause.detail = detail;
        return cause;
    }
    auto weaker = unknown(std::move(cause.type), detail);
    weaker.addresses = std::move(cause.addresses);
    weaker.retry_after = short_wait;
    return weaker;
}

[[nodiscard]] http_reply to_reply(const target_answer& answer) {
    http_reply reply{};
    reply.status = answer.status;
    reply.body = answer.body;
    reply.content_type = answer.content_type.empty() ? "application/octet-stream" : answer.content_type;
    reply.headers.push_back({"Mangopulley-Outcome", "answered"});
    return reply;
}

[[nodiscard]] std::string describe(const input_error& error) {
    return error.field + ": found '" + error.found + "', expected " + error.expected;
}

/*! @brief Problem for an order that has no answer. */
[[nodiscard]] problem to_problem(const order_outcome& outcome) {
    const std::string type{mangopulley::to_string(outcome.reason)};
    switch (outcome.state) {
    case order_state::content_mismatch:
        return make_problem(422, "not-run", "content-mismatch", "The key was used before with other content",
                            outcome.detail);
    case order_state::not_run: {
        auto cause = not_run(type, outcome.detail);
        cause.order_token = outcome.fresh_token.value_or("");
        return cause;
    }
    case order_state::in_progress: {
        auto cause = unknown("in-progress", "the request is being run; ask again");
        cause.retry_after = short_wait;
        return cause;
    }
    default: {
        auto cause = unknown(type, outcome.detail);
        if (!outcome.settled) {
            cause.retry_after = short_wait;
        }
        return cause;
    }
    }
}

} // namespace internal

struct caller_service::implementation {
    const clock& time;
    const catalogue_holder& catalogue;
    const instance_selector& selector;
    const member_table& members;
    const catalogue_freshness& freshness;
    admission& limits;
    alert_gate& alerts;
    const store_status& store;
    service_table& services;
    order_service& orders;
    metrics& numbers;
    event_log log{"caller"};

    explicit implementation(const parts& environment)
        : time{environment.time}, catalogue{environment.catalogue}, selector{environment.selector},
          members{environment.members}, freshness{environment.freshness}, limits{environment.limits},
          alerts{environment.alerts}, store{environment.store}, services{environment.services},
          orders{environment.orders}, numbers{environment.numbers} {}

    [[nodiscard]] http_reply list_addresses(const http_request& request) const {
        const auto service = request.parameter("service");
        if (!service || this->catalogue.current()->find_service(*service) == nullptr) {
            return to_reply(internal::not_found("the catalogue has no service '" + service.value_or("") + "'"));
        }
        const auto listed = this->selector.instances_for(*service, internal::listed_addresses);
        if (listed.empty()) {
            return to_reply(internal::not_run("no-instance", "no instance takes requests now"));
        }
        nlohmann::json body{{"service", *service}, {"lifetime_ms", address_lifetime.count()}};
        body["order_token"] = this->orders.make_token(listed.front().incarnation);
        for (const auto& item : listed) {
            body["addresses"].push_back({{"address", item.caller_address}, {"zone", item.zone}});
        }
        http_reply reply{};
        reply.body = body.dump();
        reply.headers.push_back({"Cache-Control", "max-age=" + std::to_string(address_lifetime.count() / 1000)});
        return reply;
    }

    [[nodiscard]] http_reply query_order(const http_request& request) {
        const auto key = internal::decode(std::string_view{request.path}.substr(internal::orders_prefix.size()));
        return boost::leaf::try_handle_all(
            [&]() -> result<http_reply> {
                BOOST_LEAF_AUTO(outcome, this->orders.query(key));
                return outcome.state == order_state::answered ? internal::to_reply(outcome.answer)
                                                              : to_reply(internal::to_problem(outcome));
            },
            [](const input_error& error) { return to_reply(internal::bad_request(internal::describe(error))); },
            [] { return to_reply(internal::unknown("internal", "the question could not be answered")); });
    }

    /*! @brief Other instances for a caller that reached one which takes no requests. */
    [[nodiscard]] problem not_serving(const std::string& service) const {
        auto cause =
            internal::not_run("not-serving", "this instance cannot confirm its catalogue; use another address");
        for (const auto& item : this->selector.instances_for(service, internal::listed_addresses)) {
            if (item.incarnation != this->members.self().incarnation) {
                cause.addresses.push_back(item.caller_address);
            }
        }
        return cause;
    }

    [[nodiscard]] http_reply work(const http_request& request, const std::string& request_id) {
        const auto path = internal::parse_work_path(request.path);
        if (!path) {
            return this->turn_away(internal::not_found("no such path"), request, request_id);
        }
        const auto document = this->catalogue.current();
        const auto* service = document->find_service(path->service);
        if (service == nullptr && !this->freshness.serving()) {
            return this->turn_away(this->not_serving(path->service), request, request_id);
        }
        if (service == nullptr) {
            return this->turn_away(internal::not_found("the catalogue has no service '" + path->service + "'"), request,
                                   request_id);
        }
        const auto* kind = service->find_kind(path->kind);
        if (kind == nullptr) {
            return this->turn_away(
                internal::not_found("service '" + path->service + "' has no kind '" + path->kind + "'"), request,
                request_id);
        }
        if (!this->freshness.serving(service->serve_unconfirmed)) {
            return this->turn_away(this->not_serving(path->service), request, request_id);
        }
        bool headers_read = false;
        return boost::leaf::try_handle_all(
            [&]() -> result<http_reply> {
                BOOST_LEAF_AUTO(headers, read_request_headers(request));
                headers_read = true;
                return this->run(*service, *kind, request, headers, request_id);
            },
            [&](const input_error& error) {
                auto cause = internal::bad_request(internal::describe(error));
                // After the headers only the key itself can be malformed, and such a key was never accepted.
                return headers_read ? this->fail(std::move(cause), request_id)
                                    : this->turn_away(std::move(cause), request, request_id);
            },
            [&](const refusal_error& error) { return this->refuse(error, request_id); },
            [&](const admission_timeout_error& error) {
                auto cause = internal::not_run("deadline-passed", "the deadline passed before the limit '" +
                                                                      std::string{to_string(error.limit)} +
                                                                      "' allowed the request");
                return this->turn_away(std::move(cause), request, request_id);
            },
            [&](const queue_error& error) {
                auto cause = error.code == queue_error::code::no_target
                                 ? internal::not_run("no-target", "the service has no target")
                                 : internal::not_run("deadline-passed", "no target was free before the deadline");
                return this->turn_away(std::move(cause), request, request_id);
            },
            [&](const target_error& error) {
                return this->fail(error.not_run() ? internal::not_run("target-failed", error.detail)
                                                  : internal::unknown("target-failed", error.detail),
                                  request_id);
            },
            [&] { return this->fail(internal::unknown("internal", "the request failed"), request_id); });
    }

    [[nodiscard]] result<http_reply> run(const service_entry& service, const kind_rule& kind,
                                         const http_request& request, const request_headers& headers,
                                         const std::string& request_id) {
        if (!kind.idempotent && headers.idempotency_key.empty()) {
            return boost::leaf::new_error(
                input_error{"request", 0U, "Idempotency-Key", "", "a key, since the kind is not idempotent"});
        }
        const auto runtime = this->services.find(service.name);
        if (!runtime) {
            return boost::leaf::new_error(queue_error{queue_error::code::no_target, service.name, kind.name, {}});
        }
        const auto deadline = request.received + headers.timeout.value_or(kind.timeout);
        BOOST_LEAF_AUTO(place, this->limits.admit(service, deadline));
        if (!kind.idempotent) {
            return this->run_order(service, kind, request, headers, request_id, deadline);
        }
        call_request call{};
        call.rule = kind;
        call.body = request.body;
        call.content_type = headers.content_type;
        call.request_id = request_id;
        call.traceparent = headers.traceparent;
        call.deadline = deadline;
        call.retry_budget = headers.retry_budget;
        call.work = service.work;
        BOOST_LEAF_AUTO(answer, runtime->run(call));
        this->finish(service.name, "answered", request);
        return internal::to_reply(answer);
    }

    [[nodiscard]] result<http_reply> run_order(const service_entry& service, const kind_rule& kind,
                                               const http_request& request, const request_headers& headers,
                                               const std::string& request_id, const time_point deadline) {
        if (service.refuse_orders_without_store) {
            BOOST_LEAF_AUTO(store_back, this->await_store(service, deadline));
            static_cast<void>(store_back);
        }
        order_request order{};
        order.service = service.name;
        order.kind = kind.name;
        order.key = headers.idempotency_key;
        order.body = request.body;
        order.content_type = headers.content_type;
        order.request_id = request_id;
        order.traceparent = headers.traceparent;
        order.deadline = deadline;
        order.retry_budget = headers.retry_budget;
        order.refuse_without_store = service.refuse_orders_without_store;
        order.first_attempt = headers.first_attempt;
        BOOST_LEAF_AUTO(outcome, this->orders.submit(order));
        this->finish(service.name, to_string(outcome.state), request);
        if (outcome.state == order_state::answered) {
            return internal::to_reply(outcome.answer);
        }
        return this->fail(internal::to_problem(outcome), request_id);
    }

    /*! @brief Holds an order that its owner does not want run without the store; refuses it once that is alerted. */
    [[nodiscard]] result<bool> await_store(const service_entry& service, const time_point deadline) {
        while (this->store.in_outage()) {
            this->alerts.raise(service.name, limit_kind::store_required, "the store is out");
            if (this->alerts.refusal_allowed(service.name, limit_kind::store_required)) {
                return boost::leaf::new_error(
                    refusal_error{service.name, limit_kind::store_required, internal::store_retry});
            }
            if (this->time.now() >= deadline) {
                return boost::leaf::new_error(admission_timeout_error{service.name, limit_kind::store_required});
            }
            std::this_thread::sleep_for(internal::store_check_period);
        }
        return true;
    }

    void finish(const std::string& service, const std::string_view outcome, const http_request& request) {
        std::string labels{"{service=\""};
        labels.append(service).append("\"");
        this->numbers.observe("request_seconds" + labels + "}", this->time.now() - request.received);
        this->numbers.count("requests_total" + labels + ",outcome=\"" + std::string{outcome} + "\"}");
    }

    [[nodiscard]] http_reply fail(problem cause, const std::string& request_id) {
        cause.request_id = request_id;
        this->numbers.count("problems_total{type=\"" + cause.type + "\",outcome=\"" + cause.outcome + "\"}");
        this->log.write(
            log_level::info, "request_failed",
            {{"request_id", request_id}, {"outcome", cause.outcome}, {"type", cause.type}, {"detail", cause.detail}});
        return to_reply(cause);
    }

    /*! @brief Answers a submission about whose key nobody was asked. */
    [[nodiscard]] http_reply turn_away(problem cause, const http_request& request, const std::string& request_id) {
        return this->fail(internal::without_proof(std::move(cause), request), request_id);
    }

    [[nodiscard]] http_reply refuse(const refusal_error& error, const std::string& request_id) {
        auto cause = internal::make_problem(429, "refused", "limit-reached",
                                            "The owner's limit is reached; this submission was not run", {});
        cause.limit = to_string(error.limit);
        cause.detail = "service '" + error.service + "', limit '" + cause.limit + "'";
        cause.retry_after = error.retry_after;
        return this->fail(std::move(cause), request_id);
    }
};

caller_service::caller_service(const parts& environment) : self{std::make_unique<implementation>(environment)} {}

caller_service::~caller_service() = default;

http_reply caller_service::handle(const http_request& request) {
    const auto& method = request.head.getMethod();
    if (method == Poco::Net::HTTPRequest::HTTP_POST) {
        const auto request_id = incarnation_id::generate().to_string();
        auto reply = this->self->work(request, request_id);
        reply.headers.push_back({"Request-Id", request_id});
        return reply;
    }
    if (method != Poco::Net::HTTPRequest::HTTP_GET) {
        const auto cause = internal::make_problem(405, "not-run", "method", "Method not allowed", method);
        auto reply = to_reply(cause);
        reply.headers.push_back({"Allow", "GET, POST"});
        return reply;
    }
    if (request.path == "/v1/addresses") {
        return this->self->list_addresses(request);
    }
    if (request.path.starts_with(internal::orders_prefix)) {
        return this->self->query_order(request);
    }
    return to_reply(internal::not_found("no such path"));
}

} // namespace mangopulley

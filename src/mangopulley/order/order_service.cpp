#include "order_service.hpp"

#include <algorithm>
#include <atomic>
#include <unordered_map>
#include <utility>
#include <vector>

#include "../wire/message.hpp"

namespace mangopulley {

namespace internal {

/*! @brief Binding value by which a key without a token is permanently abandoned. */
constexpr std::string_view void_binding = "void";
// Leaves room in the frame for the envelope and the key.
constexpr std::size_t max_forwarded_answer_bytes = longest_frame - 2'048U;
constexpr std::size_t max_handover_group_bytes = 512U * 1'024U;

/*! @brief Binding of a key without a token, as found in the store. */
struct binding {
    enum class code : unsigned char { bound, abandoned, store_out };
    code state{code::store_out};
    order_token token{};
};

[[nodiscard]] order_key bound_key(const order_token& token, const std::string_view digest) {
    return {token, std::string{digest}};
}

} // namespace internal

struct order_service::implementation {
    implementation(const incarnation_id own, const order_dependencies& environment, const order_timing limits)
        : self{own}, dependencies{environment}, timing{limits}, time{*environment.time} {}

    incarnation_id self;
    order_dependencies dependencies;
    order_timing timing;
    anchored_clock time;
    std::atomic<bool> draining{false};

    // ---- Messages ----

    /*! @brief Calls an incarnation; returns nothing when it has no known endpoint, is known to be dead, or the call
     * fails. */
    [[nodiscard]] std::optional<std::string> call(const incarnation_id id, const message_type type,
                                                  const std::string_view body, const milliseconds timeout) {
        const auto endpoint = this->dependencies.directory->endpoint_of(id);
        if (!endpoint || this->dependencies.directory->known_dead(id)) {
            return std::nullopt;
        }
        return boost::leaf::try_handle_all(
            [&]() -> result<std::optional<std::string>> {
                BOOST_LEAF_AUTO(reply, this->dependencies.peers->call(*endpoint, type, body, timeout));
                return std::optional{std::move(reply)};
            },
            [] { return std::optional<std::string>{}; });
    }

    /*! @brief Calls the home of a key; returns nothing unless that incarnation responds for that key. */
    [[nodiscard]] std::optional<order_outcome> call_home(const order_key& key, const message_type type,
                                                         const std::string_view body, const milliseconds timeout) {
        const auto reply = this->call(key.token.home, type, body, timeout);
        auto response = reply ? decode_home_response(*reply) : std::nullopt;
        if (!response || response->key != key.to_string()) {
            return std::nullopt;
        }
        return std::move(response->outcome);
    }

    [[nodiscard]] witness_status send_note(const incarnation_id witness, const order_key& key) {
        const auto reply = this->call(witness, message_type::order_note,
                                      encode_witness_request({witness, key.to_string()}), this->timing.note);
        const auto response = reply ? decode_witness_response(*reply) : std::nullopt;
        return response ? response->status : witness_status::unknown;
    }

    [[nodiscard]] witness_response send_seal(const incarnation_id witness, const order_key& key) {
        if (witness == this->self) {
            return this->dependencies.witnesses->seal(key);
        }
        const auto reply = this->call(witness, message_type::order_seal,
                                      encode_witness_request({witness, key.to_string()}), this->timing.seal);
        auto response = reply ? decode_witness_response(*reply) : std::nullopt;
        return response ? std::move(*response) : witness_response{};
    }

    // ---- Home ----

    [[nodiscard]] order_reason refusal_reason(const order_request& request) const {
        if (this->draining.load()) {
            return order_reason::shutting_down;
        }
        if (this->dependencies.time->now() >= request.deadline) {
            return order_reason::deadline_passed;
        }
        return request.refuse_without_store && this->dependencies.status->in_outage()
                   ? order_reason::refused_without_store
                   : order_reason::none;
    }

    [[nodiscard]] order_outcome run_as_home(const order_key& key, const order_request& request) {
        auto content = content_fingerprint(request);
        auto known = this->dependencies.records->admit(key, content, request.deadline, this->refusal_reason(request));
        if (known) {
            return std::move(*known);
        }
        auto reached = ledger::stage::accepted;
        auto executed = this->execute(key, request, reached);
        executed.fingerprint = std::move(content);
        const auto outcome = std::make_shared<const order_outcome>(std::move(executed));
        this->dependencies.records->finish(key, outcome);
        // Without a note the witnesses alone can prove that the order did not run, so it needs no archived outcome.
        if (reached != ledger::stage::accepted) {
            this->dependencies.archive->add(key, outcome);
        }
        return *outcome;
    }

    [[nodiscard]] order_outcome execute(const order_key& key, const order_request& request, ledger::stage& reached) {
        if (!this->note(key)) {
            return make_outcome(order_state::not_run, order_reason::no_witness, true);
        }
        reached = ledger::stage::noted;
        this->dependencies.records->advance(key, reached);
        if (this->dependencies.time->now() >= request.deadline) {
            return make_outcome(order_state::not_run, order_reason::deadline_passed, true);
        }
        reached = ledger::stage::sent;
        this->dependencies.records->advance(key, reached);
        return this->send(request);
    }

    /*! @brief Returns whether one witness acknowledged the note; a key without witnesses needs none. */
    [[nodiscard]] bool note(const order_key& key) {
        bool any = false;
        for (const auto& witness : key.token.witnesses) {
            if (!witness) {
                continue;
            }
            any = true;
            if (this->send_note(*witness, key) == witness_status::noted) {
                return true;
            }
        }
        return !any;
    }

    [[nodiscard]] order_outcome send(const order_request& request) {
        const auto failed = [](const bool not_run, std::string detail) {
            return not_run ? make_outcome(order_state::not_run, order_reason::not_sent, true, std::move(detail))
                           : make_outcome(order_state::unknown, order_reason::target_silent, true, std::move(detail));
        };
        return boost::leaf::try_handle_all(
            [&]() -> result<order_outcome> {
                // An exception does not prove that nothing was sent, but the last handler below would report so.
                try {
                    BOOST_LEAF_AUTO(answer, this->dependencies.runner->run(request));
                    auto outcome = make_outcome(order_state::answered, order_reason::none, true);
                    outcome.answer = std::move(answer);
                    return outcome;
                } catch (const std::exception& error) {
                    return failed(false, error.what());
                } catch (...) {
                    return failed(false, "exception of unknown type");
                }
            },
            [&](const target_error& error) { return failed(error.not_run(), error.endpoint + ": " + error.detail); },
            [&](const network_error& error) {
                return failed(error.request_not_sent(), error.endpoint + ": " + error.detail);
            },
            [&] { return failed(true, "no target was tried"); });
    }

    [[nodiscard]] order_outcome query_ledger(const order_key& key) {
        return this->dependencies.records->admit(key, {}, time_point{}, order_reason::settled_by_query)
            .value_or(make_outcome(order_state::unknown, order_reason::none, false));
    }

    // ---- Other instances ----

    [[nodiscard]] order_outcome forward(const order_key& key, const order_request& request) {
        const auto now = this->dependencies.time->now();
        if (now >= request.deadline) {
            return make_outcome(order_state::unknown, order_reason::deadline_passed, false,
                                "the deadline passed before the home could be asked");
        }
        // The margin leaves time for the home's response to arrive and for asking the witnesses if it does not.
        const auto remaining = std::chrono::duration_cast<milliseconds>(request.deadline - now);
        const auto margin = std::min(this->timing.forward_margin, remaining / 10);
        auto bound = request;
        bound.key = key.to_string();
        bound.deadline -= margin;
        auto outcome = this->call_home(key, message_type::order_forward, encode_forward(bound, now),
                                       std::max(remaining - margin / 2, milliseconds{1}));
        if (!outcome) {
            outcome = this->resolve_with_witnesses(key);
        }
        // The home compares the content itself; an outcome that it handed over to a witness is compared here.
        if (!outcome->fingerprint.empty() && outcome->fingerprint != content_fingerprint(request)) {
            return content_mismatch();
        }
        return std::move(*outcome);
    }

    /**
     * @brief Determines the outcome of a key from its witnesses, when its home does not respond.
     *
     * A failed forward may still have reached the home, or may reach it later, and so may forwards of other instances.
     * `not_run` is correct nevertheless: the home runs nothing before a witness in the key acknowledged a note. When
     * every such witness has sealed the key and has no note, none acknowledged one before its seal and none will after
     * it. A witness that was restarted, or that dropped entries that may have included this key, does not respond with
     * `sealed`. The same holds for a home that is frozen at any point: a note that it sends after it resumes is
     * refused.
     */
    [[nodiscard]] order_outcome resolve_with_witnesses(const order_key& key) {
        bool any = false;
        bool all_sealed = true;
        auto reason = order_reason::peers_silent;
        for (const auto& witness : key.token.witnesses) {
            if (!witness) {
                continue;
            }
            any = true;
            auto response = this->send_seal(*witness, key);
            if (response.outcome) {
                return std::move(*response.outcome);
            }
            all_sealed = all_sealed && response.status == witness_status::sealed;
            if (response.status == witness_status::noted) {
                reason = order_reason::noted;
            }
        }
        return any && all_sealed ? make_outcome(order_state::not_run, order_reason::sealed, true)
                                 : make_outcome(order_state::unknown, reason, false, "the home does not answer");
    }

    [[nodiscard]] order_outcome submit_bound(const order_key& key, const order_request& request) {
        return key.token.home == this->self ? this->run_as_home(key, request) : this->forward(key, request);
    }

    [[nodiscard]] order_outcome query_bound(const order_key& key) {
        auto outcome = make_outcome(order_state::unknown, order_reason::peers_silent, false);
        if (key.token.home == this->self) {
            outcome = this->query_ledger(key);
        } else {
            auto answer =
                this->call_home(key, message_type::order_query, encode_query(key.to_string()), this->timing.query);
            outcome = answer ? std::move(*answer) : this->resolve_with_witnesses(key);
        }
        if (outcome.state != order_state::unknown || outcome.settled) {
            return outcome;
        }
        auto archived = boost::leaf::try_handle_all([&] { return this->dependencies.archive->read(key); },
                                                    [] { return std::optional<order_outcome>{}; });
        return archived ? std::move(*archived) : outcome;
    }

    // ---- Keys without a token ----

    [[nodiscard]] static internal::binding parse_binding(const std::string_view value) {
        if (value == internal::void_binding) {
            return {internal::binding::code::abandoned, {}};
        }
        const auto token = parse_order_token(value);
        return token ? internal::binding{internal::binding::code::bound, *token} : internal::binding{};
    }

    [[nodiscard]] std::optional<internal::binding> read_binding(const std::string& name) {
        return boost::leaf::try_handle_all(
            [&]() -> result<std::optional<internal::binding>> {
                BOOST_LEAF_AUTO(object, this->dependencies.store->get(name));
                return std::optional{parse_binding(object.value)};
            },
            [](const store_error& error) {
                return error.code == store_error::code::missing ? std::nullopt : std::optional{internal::binding{}};
            },
            [] { return std::optional{internal::binding{}}; });
    }

    /**
     * @brief Writes a binding unless one exists, and returns the binding in effect.
     *
     * After a lost reply the value is read back. If it is missing, the same value is written once more, which is
     * harmless if the first write takes effect late.
     */
    [[nodiscard]] internal::binding bind(const std::string_view digest, const std::string& value) {
        constexpr int max_write_attempts = 2;
        const auto name = "bindings/" + std::string{digest};
        for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
            const auto failure = boost::leaf::try_handle_all(
                [&]() -> result<std::optional<store_error>> {
                    BOOST_LEAF_AUTO(version, this->dependencies.store->put(name, value, 0U));
                    static_cast<void>(version);
                    return std::optional<store_error>{};
                },
                [](const store_error& error) { return std::optional{error}; },
                [] { return std::optional{store_error{}}; });
            if (!failure) {
                return parse_binding(value);
            }
            if (failure->code == store_error::code::unavailable || failure->code == store_error::code::rate_limited) {
                break;
            }
            if (const auto found = this->read_binding(name)) {
                return *found;
            }
        }
        return {};
    }

    [[nodiscard]] order_outcome submit_unbound(const order_request& request) {
        const auto digest = unbound_key_digest(request.key);
        const auto token = this->new_token(this->self);
        const auto found = this->bind(digest, token.to_string());
        switch (found.state) {
        case internal::binding::code::bound:
            return this->submit_bound(internal::bound_key(found.token, digest), request);
        case internal::binding::code::abandoned:
            return make_outcome(order_state::not_run, order_reason::settled_by_query, true);
        case internal::binding::code::store_out:
            break;
        }
        // The write may take effect late and bind the key to this home, which therefore refuses the bound key now.
        if (token.home == this->self) {
            static_cast<void>(this->dependencies.records->admit(internal::bound_key(token, digest),
                                                                content_fingerprint(request), time_point{},
                                                                order_reason::store_out));
        }
        // An earlier submission of the key may have been bound and run elsewhere, which only the store records.
        return request.first_attempt
                   ? make_outcome(order_state::not_run, order_reason::store_out, false,
                                  "the key cannot be bound while the store is out")
                   : make_outcome(order_state::unknown, order_reason::store_out, false,
                                  "this submission ran nothing; whether an earlier one did is known only to the store");
    }

    [[nodiscard]] order_outcome query_unbound(const std::string_view key) {
        const auto digest = unbound_key_digest(key);
        const auto name = "bindings/" + digest;
        auto found = this->read_binding(name);
        if (!found) {
            // The key is not bound; this write prevents any later binding.
            found = this->bind(digest, std::string{internal::void_binding});
        }
        switch (found->state) {
        case internal::binding::code::bound:
            return this->query_bound(internal::bound_key(found->token, digest));
        case internal::binding::code::abandoned:
            return make_outcome(order_state::not_run, order_reason::settled_by_query, true);
        case internal::binding::code::store_out:
            break;
        }
        return make_outcome(order_state::unknown, order_reason::store_out, false);
    }

    // ---- Tokens ----

    [[nodiscard]] order_token new_token(const incarnation_id home) const {
        order_token token{};
        token.home = home;
        token.issued = this->time.seconds();
        std::size_t next = 0U;
        for (const auto& witness : this->dependencies.directory->witnesses_for(home)) {
            const bool distinct = witness != home && (next == 0U || token.witnesses[0] != witness);
            if (distinct && next < token.witnesses.size()) {
                token.witnesses[next++] = witness;
            }
        }
        return token;
    }

    /*! @brief Adds a token for a retry if the order did not run or its key could not be bound; an instance that is
     * shutting down issues it with its first witness as the home. */
    [[nodiscard]] order_outcome with_fresh_token(order_outcome outcome) const {
        const bool unbound = outcome.reason == order_reason::store_out;
        if (outcome.state != order_state::not_run && !unbound) {
            return outcome;
        }
        auto token = this->new_token(this->self);
        if (this->draining.load() && token.witnesses[0]) {
            token = this->new_token(*token.witnesses[0]);
        }
        outcome.fresh_token = token.to_string();
        return outcome;
    }

    [[nodiscard]] std::string respond_as_home(const order_key& key, order_outcome outcome) const {
        if (outcome.answer.body.size() + outcome.answer.content_type.size() > internal::max_forwarded_answer_bytes) {
            outcome = make_outcome(order_state::unknown, order_reason::answer_not_kept, false,
                                   "the order ran; its answer is too large to be forwarded");
        }
        return encode_home_response({key.to_string(), std::move(outcome)});
    }

    /*! @brief Parses a key from a message; returns nothing when it is malformed. */
    [[nodiscard]] static std::optional<order_key> parse_message_key(const std::string_view text) {
        auto key = parse_order_key(text);
        return key ? std::optional{std::move(*key)} : std::nullopt;
    }

    template <typename Handler>
    [[nodiscard]] std::optional<std::string> respond_as_witness(const std::string_view body, Handler handler) {
        const auto message = decode_witness_request(body);
        const auto key = message ? parse_message_key(message->key) : std::nullopt;
        if (!key) {
            return std::nullopt;
        }
        // A restarted process has lost the notes of its earlier incarnation, which the key may name.
        return encode_witness_response(message->witness == this->self
                                           ? handler(*key)
                                           : witness_response{witness_status::other_incarnation, std::nullopt});
    }

    /*! @brief Sends outcomes to one of their witnesses in groups, keeps those not accepted in `outcomes`, and returns
     * the number accepted. */
    [[nodiscard]] std::size_t hand_over_outcomes(const incarnation_id witness, std::vector<keyed_outcome>& outcomes) {
        std::size_t accepted = 0U;
        std::vector<keyed_outcome> remaining{};
        std::size_t begin = 0U;
        while (begin < outcomes.size()) {
            std::size_t end = begin;
            std::size_t bytes = 0U;
            std::vector<keyed_outcome> group{};
            while (end < outcomes.size() && (group.empty() || bytes < internal::max_handover_group_bytes)) {
                bytes += outcomes[end].outcome->answer.body.size() + outcomes[end].key.size();
                group.push_back(outcomes[end++]);
            }
            const auto reply =
                this->call(witness, message_type::order_outcomes, encode_outcomes(group), this->timing.handover);
            if (reply && decode_accepted(*reply).value_or(false)) {
                accepted += group.size();
            } else {
                remaining.insert(remaining.end(), group.begin(), group.end());
            }
            begin = end;
        }
        outcomes = std::move(remaining);
        return accepted;
    }
};

order_service::order_service(const incarnation_id own, const order_dependencies dependencies, const order_timing timing)
    : self{std::make_unique<implementation>(own, dependencies, timing)} {}

order_service::~order_service() = default;

result<order_outcome> order_service::submit(const order_request& request) {
    if (is_unbound_key(request.key)) {
        return this->self->with_fresh_token(this->self->submit_unbound(request));
    }
    BOOST_LEAF_AUTO(key, parse_order_key(request.key));
    return this->self->with_fresh_token(this->self->submit_bound(key, request));
}

result<order_outcome> order_service::query(const std::string_view key) {
    if (is_unbound_key(key)) {
        return this->self->with_fresh_token(this->self->query_unbound(key));
    }
    BOOST_LEAF_AUTO(parsed, parse_order_key(key));
    return this->self->with_fresh_token(this->self->query_bound(parsed));
}

std::string order_service::make_token(const incarnation_id home) const {
    return this->self->new_token(home).to_string();
}

std::optional<std::string> order_service::on_note(const std::string_view body) {
    return this->self->respond_as_witness(body, [this](const order_key& key) {
        return witness_response{this->self->dependencies.witnesses->note(key), std::nullopt};
    });
}

std::optional<std::string> order_service::on_seal(const std::string_view body) {
    return this->self->respond_as_witness(
        body, [this](const order_key& key) { return this->self->dependencies.witnesses->seal(key); });
}

std::optional<std::string> order_service::on_forward(const std::string_view body) {
    const auto request = decode_forward(body, this->self->dependencies.time->now());
    const auto key = request ? implementation::parse_message_key(request->key) : std::nullopt;
    if (!key) {
        return std::nullopt;
    }
    if (key->token.home != this->self->self) {
        return encode_home_response({request->key, std::nullopt});
    }
    return this->self->respond_as_home(*key, this->self->run_as_home(*key, *request));
}

std::optional<std::string> order_service::on_query(const std::string_view body) {
    const auto text = decode_query(body);
    const auto key = text ? implementation::parse_message_key(*text) : std::nullopt;
    if (!key) {
        return std::nullopt;
    }
    if (key->token.home != this->self->self) {
        return encode_home_response({*text, std::nullopt});
    }
    return this->self->respond_as_home(*key, this->self->query_ledger(*key));
}

std::optional<std::string> order_service::on_outcomes(const std::string_view body) {
    const auto group = decode_outcomes(body);
    if (!group) {
        return std::nullopt;
    }
    const bool stored = this->self->dependencies.witnesses->store_outcomes(*group);
    for (const auto& entry : *group) {
        if (const auto key = implementation::parse_message_key(entry.key)) {
            this->self->dependencies.archive->add(*key, entry.outcome);
        }
    }
    return encode_accepted(stored);
}

void order_service::drain() noexcept {
    this->self->draining.store(true);
}

order_service::shutdown_report order_service::shut_down() {
    this->drain();
    shutdown_report report{};
    report.unfinished = this->self->dependencies.records->count().unfinished;
    report.archived = this->self->dependencies.archive->flush();
    if (report.archived) {
        return report;
    }
    auto rest = this->self->dependencies.archive->take_pending();
    for (const std::size_t rank : {0U, 1U}) {
        std::unordered_map<incarnation_id, std::vector<keyed_outcome>> by_witness{};
        std::vector<keyed_outcome> remaining{};
        for (auto& entry : rest) {
            const auto key = implementation::parse_message_key(entry.key);
            const auto witness = key ? key->token.witnesses[rank] : std::nullopt;
            (witness && *witness != this->self->self ? by_witness[*witness] : remaining).push_back(std::move(entry));
        }
        for (auto& [witness, outcomes] : by_witness) {
            report.handed_over += this->self->hand_over_outcomes(witness, outcomes);
            remaining.insert(remaining.end(), outcomes.begin(), outcomes.end());
        }
        rest = std::move(remaining);
    }
    report.lost = rest.size();
    return report;
}

} // namespace mangopulley

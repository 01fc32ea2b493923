#include "order_service.hpp"

#include <algorithm>
#include <atomic>
#include <unordered_map>
#include <utility>
#include <vector>

#include "../wire/message.hpp"

namespace mangopulley {

namespace internal {

/*! @brief Value of a binding that gives a key without a token up for ever. */
constexpr std::string_view void_binding = "void";
// Leaves room for the frame's envelope and for the key beside the answer.
constexpr std::size_t longest_answer = longest_frame - 2'048U;
constexpr std::size_t handover_bytes = 512U * 1'024U;

/*! @brief What the store says about a key without a token. */
struct binding {
    enum class code : unsigned char { bound, given_up, store_out };
    code state{code::store_out};
    order_token token{};
};

[[nodiscard]] order_key bound_key(const order_token& token, const std::string_view digest) {
    return {token, std::string{digest}};
}

} // namespace internal

struct order_service::implementation {
    implementation(const incarnation_id own, const order_parts& environment, const order_timing limits)
        : self{own}, parts{environment}, timing{limits}, time{*environment.time} {}

    incarnation_id self;
    order_parts parts;
    order_timing timing;
    anchored_clock time;
    std::atomic<bool> draining{false};

    // ---- Messages ----

    /*! @brief Calls an incarnation; nothing when it is not known to be live or did not answer properly. */
    [[nodiscard]] std::optional<std::string> call(const incarnation_id id, const message_type type,
                                                  const std::string_view body, const milliseconds timeout) {
        const auto endpoint = this->parts.directory->endpoint_of(id);
        if (!endpoint || this->parts.directory->known_dead(id)) {
            return std::nullopt;
        }
        return boost::leaf::try_handle_all(
            [&]() -> result<std::optional<std::string>> {
                BOOST_LEAF_AUTO(reply, this->parts.peers->call(*endpoint, type, body, timeout));
                return std::optional{std::move(reply)};
            },
            [] { return std::optional<std::string>{}; });
    }

    /*! @brief Calls a home; nothing unless it is that incarnation and answers for that key. */
    [[nodiscard]] std::optional<order_outcome> call_home(const order_key& key, const message_type type,
                                                         const std::string_view body, const milliseconds timeout) {
        const auto reply = this->call(key.token.home, type, body, timeout);
        auto answer = reply ? decode_home_answer(*reply) : std::nullopt;
        if (!answer || answer->key != key.to_string()) {
            return std::nullopt;
        }
        return std::move(answer->outcome);
    }

    [[nodiscard]] witness_reply call_note(const incarnation_id witness, const order_key& key) {
        const auto reply = this->call(witness, message_type::order_note,
                                      encode_witness_message({witness, key.to_string()}), this->timing.note);
        const auto answer = reply ? decode_witness_answer(*reply) : std::nullopt;
        return answer ? answer->reply : witness_reply::not_known;
    }

    [[nodiscard]] witness_answer call_seal(const incarnation_id witness, const order_key& key) {
        if (witness == this->self) {
            return this->parts.witnesses->seal(key);
        }
        const auto reply = this->call(witness, message_type::order_seal,
                                      encode_witness_message({witness, key.to_string()}), this->timing.seal);
        auto answer = reply ? decode_witness_answer(*reply) : std::nullopt;
        return answer ? std::move(*answer) : witness_answer{};
    }

    // ---- Home ----

    [[nodiscard]] order_reason refusal_of(const order_request& request) const {
        if (this->draining.load()) {
            return order_reason::shutting_down;
        }
        if (this->parts.time->now() >= request.deadline) {
            return order_reason::deadline_passed;
        }
        return request.refuse_without_store && this->parts.status->out() ? order_reason::refused_without_store
                                                                         : order_reason::none;
    }

    [[nodiscard]] order_outcome run_as_home(const order_key& key, const order_request& request) {
        auto content = content_fingerprint(request);
        auto known = this->parts.records->admit(key, content, request.deadline, this->refusal_of(request));
        if (known) {
            return std::move(*known);
        }
        auto reached = ledger::stage::accepted;
        auto made = this->execute(key, request, reached);
        made.content = std::move(content);
        const auto outcome = std::make_shared<const order_outcome>(std::move(made));
        this->parts.records->finish(key, outcome);
        // Without a note the witnesses prove by themselves that the order did not run.
        if (reached != ledger::stage::accepted) {
            this->parts.archive->add(key, outcome);
        }
        return *outcome;
    }

    [[nodiscard]] order_outcome execute(const order_key& key, const order_request& request, ledger::stage& reached) {
        if (!this->note(key)) {
            return make_outcome(order_state::not_run, order_reason::no_witness, true);
        }
        reached = ledger::stage::noted;
        this->parts.records->advance(key, reached);
        if (this->parts.time->now() >= request.deadline) {
            return make_outcome(order_state::not_run, order_reason::deadline_passed, true);
        }
        reached = ledger::stage::sent;
        this->parts.records->advance(key, reached);
        return this->send(request);
    }

    /*! @brief Gets a note acknowledged by one witness; a key of a fleet without witnesses needs none. */
    [[nodiscard]] bool note(const order_key& key) {
        bool any = false;
        for (const auto& witness : key.token.witnesses) {
            if (!witness) {
                continue;
            }
            any = true;
            if (this->call_note(*witness, key) == witness_reply::noted) {
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
                // The last handler below would also take an exception, which proves nothing, for an order never sent.
                try {
                    BOOST_LEAF_AUTO(answer, this->parts.runner->run(request));
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

    [[nodiscard]] order_outcome ask_ledger(const order_key& key) {
        return this->parts.records->admit(key, {}, time_point{}, order_reason::settled_by_query)
            .value_or(make_outcome(order_state::unknown, order_reason::none, false));
    }

    // ---- Other instances ----

    [[nodiscard]] order_outcome forward(const order_key& key, const order_request& request) {
        const auto now = this->parts.time->now();
        if (now >= request.deadline) {
            return make_outcome(order_state::unknown, order_reason::deadline_passed, false,
                                "the deadline passed before the home could be asked");
        }
        // The home must end early enough for its reply to arrive, and the witnesses are asked in the rest of the time.
        const auto remaining = std::chrono::duration_cast<milliseconds>(request.deadline - now);
        const auto margin = std::min(this->timing.forward_margin, remaining / 10);
        auto bound = request;
        bound.key = key.to_string();
        bound.deadline -= margin;
        auto outcome = this->call_home(key, message_type::order_forward, encode_forward(bound, now),
                                       std::max(remaining - margin / 2, milliseconds{1}));
        if (!outcome) {
            outcome = this->settle(key);
        }
        // The home compares the content itself; an outcome that it handed to a witness is compared here.
        if (!outcome->content.empty() && outcome->content != content_fingerprint(request)) {
            return content_mismatch();
        }
        return std::move(*outcome);
    }

    /**
     * @brief Asks the witnesses about a key whose home does not answer.
     *
     * A failed forward may still have reached the home, or reach it later, and so may forwards of other instances. The
     * answer `not_run` is true nevertheless: the home runs nothing before a witness named in the key acknowledged a
     * note. When every such witness has sealed the key and holds no note, none acknowledged one before its seal and
     * none will after it. A witness that was restarted, or dropped records that may have held this key, does not say
     * `sealed`. The same argument covers a home that is frozen at any instant: the note it may wake up to send is
     * refused.
     */
    [[nodiscard]] order_outcome settle(const order_key& key) {
        bool any = false;
        bool all_sealed = true;
        auto reason = order_reason::peers_silent;
        for (const auto& witness : key.token.witnesses) {
            if (!witness) {
                continue;
            }
            any = true;
            auto answer = this->call_seal(*witness, key);
            if (answer.outcome) {
                return std::move(*answer.outcome);
            }
            all_sealed = all_sealed && answer.reply == witness_reply::sealed;
            if (answer.reply == witness_reply::noted) {
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
            outcome = this->ask_ledger(key);
        } else {
            auto answer =
                this->call_home(key, message_type::order_query, encode_query(key.to_string()), this->timing.query);
            outcome = answer ? std::move(*answer) : this->settle(key);
        }
        if (outcome.state != order_state::unknown || outcome.settled) {
            return outcome;
        }
        auto archived = boost::leaf::try_handle_all([&] { return this->parts.archive->read(key); },
                                                    [] { return std::optional<order_outcome>{}; });
        return archived ? std::move(*archived) : outcome;
    }

    // ---- Keys without a token ----

    [[nodiscard]] static internal::binding read_binding_value(const std::string_view value) {
        if (value == internal::void_binding) {
            return {internal::binding::code::given_up, {}};
        }
        const auto token = parse_order_token(value);
        return token ? internal::binding{internal::binding::code::bound, *token} : internal::binding{};
    }

    [[nodiscard]] std::optional<internal::binding> read_binding(const std::string& name) {
        return boost::leaf::try_handle_all(
            [&]() -> result<std::optional<internal::binding>> {
                BOOST_LEAF_AUTO(object, this->parts.store->get(name));
                return std::optional{read_binding_value(object.value)};
            },
            [](const store_error& error) {
                return error.code == store_error::code::missing ? std::nullopt : std::optional{internal::binding{}};
            },
            [] { return std::optional{internal::binding{}}; });
    }

    /**
     * @brief Writes a binding unless there is one, and returns the one that holds.
     *
     * After a lost reply the value is read back; when it is missing, the same value is written once more, which changes
     * nothing if the first write takes effect late.
     */
    [[nodiscard]] internal::binding bind(const std::string_view digest, const std::string& value) {
        constexpr int write_tries = 2;
        const auto name = "bindings/" + std::string{digest};
        for (int tries = 0; tries < write_tries; ++tries) {
            const auto failure = boost::leaf::try_handle_all(
                [&]() -> result<std::optional<store_error>> {
                    BOOST_LEAF_AUTO(version, this->parts.store->put(name, value, 0U));
                    static_cast<void>(version);
                    return std::optional<store_error>{};
                },
                [](const store_error& error) { return std::optional{error}; },
                [] { return std::optional{store_error{}}; });
            if (!failure) {
                return read_binding_value(value);
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
        case internal::binding::code::given_up:
            return make_outcome(order_state::not_run, order_reason::settled_by_query, true);
        case internal::binding::code::store_out:
            break;
        }
        // The write may take effect late and bind the key to this home, which therefore gives the bound key up.
        if (token.home == this->self) {
            static_cast<void>(this->parts.records->admit(internal::bound_key(token, digest),
                                                         content_fingerprint(request), time_point{},
                                                         order_reason::store_out));
        }
        // An earlier submission of the key may have been bound and run elsewhere, which only the store can tell.
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
            // Nothing is bound, and after this write nothing will be.
            found = this->bind(digest, std::string{internal::void_binding});
        }
        switch (found->state) {
        case internal::binding::code::bound:
            return this->query_bound(internal::bound_key(found->token, digest));
        case internal::binding::code::given_up:
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
        for (const auto& witness : this->parts.directory->witnesses_for(home)) {
            const bool distinct = witness != home && (next == 0U || token.witnesses[0] != witness);
            if (distinct && next < token.witnesses.size()) {
                token.witnesses[next++] = witness;
            }
        }
        return token;
    }

    /*! @brief Adds a token for a repeat where one helps; an instance that shuts down names its first witness as home.
     */
    [[nodiscard]] order_outcome with_token(order_outcome outcome) const {
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

    [[nodiscard]] std::string reply_as_home(const order_key& key, order_outcome outcome) const {
        if (outcome.answer.body.size() + outcome.answer.content_type.size() > internal::longest_answer) {
            outcome = make_outcome(order_state::unknown, order_reason::answer_not_kept, false,
                                   "the order ran; its answer is too large to be forwarded");
        }
        return encode_home_answer({key.to_string(), std::move(outcome)});
    }

    /*! @brief Reads a key from a message; a malformed one is no key of ours. */
    [[nodiscard]] static std::optional<order_key> read_key(const std::string_view text) {
        auto key = parse_order_key(text);
        return key ? std::optional{std::move(*key)} : std::nullopt;
    }

    template <typename Action>
    [[nodiscard]] std::optional<std::string> as_witness(const std::string_view body, Action action) {
        const auto message = decode_witness_message(body);
        const auto key = message ? read_key(message->key) : std::nullopt;
        if (!key) {
            return std::nullopt;
        }
        // A restarted process has lost the notes of the incarnation that the key names.
        return encode_witness_answer(message->witness == this->self
                                         ? action(*key)
                                         : witness_answer{witness_reply::other_incarnation, std::nullopt});
    }

    /*! @brief Sends outcomes to one of their witnesses in groups; returns how many were accepted. */
    [[nodiscard]] std::size_t hand_over(const incarnation_id witness, std::vector<keyed_outcome>& outcomes) {
        std::size_t accepted = 0U;
        std::vector<keyed_outcome> left{};
        std::size_t begin = 0U;
        while (begin < outcomes.size()) {
            std::size_t end = begin;
            std::size_t bytes = 0U;
            std::vector<keyed_outcome> group{};
            while (end < outcomes.size() && (group.empty() || bytes < internal::handover_bytes)) {
                bytes += outcomes[end].outcome->answer.body.size() + outcomes[end].key.size();
                group.push_back(outcomes[end++]);
            }
            const auto reply =
                this->call(witness, message_type::order_outcomes, encode_outcomes(group), this->timing.handover);
            if (reply && decode_accepted(*reply).value_or(false)) {
                accepted += group.size();
            } else {
                left.insert(left.end(), group.begin(), group.end());
            }
            begin = end;
        }
        outcomes = std::move(left);
        return accepted;
    }
};

order_service::order_service(const incarnation_id own, const order_parts parts, const order_timing timing)
    : self{std::make_unique<implementation>(own, parts, timing)} {}

order_service::~order_service() = default;

result<order_outcome> order_service::submit(const order_request& request) {
    if (is_unbound_key(request.key)) {
        return this->self->with_token(this->self->submit_unbound(request));
    }
    BOOST_LEAF_AUTO(key, parse_order_key(request.key));
    return this->self->with_token(this->self->submit_bound(key, request));
}

result<order_outcome> order_service::query(const std::string_view key) {
    if (is_unbound_key(key)) {
        return this->self->with_token(this->self->query_unbound(key));
    }
    BOOST_LEAF_AUTO(parsed, parse_order_key(key));
    return this->self->with_token(this->self->query_bound(parsed));
}

std::string order_service::make_token(const incarnation_id home) const {
    return this->self->new_token(home).to_string();
}

std::optional<std::string> order_service::on_note(const std::string_view body) {
    return this->self->as_witness(body, [this](const order_key& key) {
        return witness_answer{this->self->parts.witnesses->note(key), std::nullopt};
    });
}

std::optional<std::string> order_service::on_seal(const std::string_view body) {
    return this->self->as_witness(body,
                                  [this](const order_key& key) { return this->self->parts.witnesses->seal(key); });
}

std::optional<std::string> order_service::on_forward(const std::string_view body) {
    const auto request = decode_forward(body, this->self->parts.time->now());
    const auto key = request ? implementation::read_key(request->key) : std::nullopt;
    if (!key) {
        return std::nullopt;
    }
    if (key->token.home != this->self->self) {
        return encode_home_answer({request->key, std::nullopt});
    }
    return this->self->reply_as_home(*key, this->self->run_as_home(*key, *request));
}

std::optional<std::string> order_service::on_query(const std::string_view body) {
    const auto text = decode_query(body);
    const auto key = text ? implementation::read_key(*text) : std::nullopt;
    if (!key) {
        return std::nullopt;
    }
    if (key->token.home != this->self->self) {
        return encode_home_answer({*text, std::nullopt});
    }
    return this->self->reply_as_home(*key, this->self->ask_ledger(*key));
}

std::optional<std::string> order_service::on_outcomes(const std::string_view body) {
    const auto group = decode_outcomes(body);
    if (!group) {
        return std::nullopt;
    }
    const bool kept = this->self->parts.witnesses->keep(*group);
    for (const auto& entry : *group) {
        if (const auto key = implementation::read_key(entry.key)) {
            this->self->parts.archive->add(*key, entry.outcome);
        }
    }
    return encode_accepted(kept);
}

void order_service::drain() noexcept {
    this->self->draining.store(true);
}

order_service::shutdown_report order_service::shut_down() {
    this->drain();
    shutdown_report report{};
    report.unfinished = this->self->parts.records->count().unfinished;
    report.archived = this->self->parts.archive->flush();
    if (report.archived) {
        return report;
    }
    auto rest = this->self->parts.archive->take_pending();
    for (const std::size_t rank : {0U, 1U}) {
        std::unordered_map<incarnation_id, std::vector<keyed_outcome>> by_witness{};
        std::vector<keyed_outcome> left{};
        for (auto& entry : rest) {
            const auto key = implementation::read_key(entry.key);
            const auto witness = key ? key->token.witnesses[rank] : std::nullopt;
            (witness && *witness != this->self->self ? by_witness[*witness] : left).push_back(std::move(entry));
        }
        for (auto& [witness, outcomes] : by_witness) {
            report.handed_over += this->self->hand_over(witness, outcomes);
            left.insert(left.end(), outcomes.begin(), outcomes.end());
        }
        rest = std::move(left);
    }
    report.lost = rest.size();
    return report;
}

} // namespace mangopulley

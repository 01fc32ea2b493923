#include "parse.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "../core/yaml_value.hpp"

namespace mangopulley {

namespace internal {

// The bound on nodes limits the memory of the tree: a text of two-byte list entries would make 250,000 nodes.
constexpr yaml_limits catalogue_limits{longest_catalogue_text, 100'000U, 12U};
constexpr std::size_t most_services = 1'000U;
constexpr std::size_t most_kinds = 256U;
constexpr double lowest_rate = 0.001;
constexpr double highest_rate = 1e7;
constexpr std::uint64_t most_requests = 10'000'000U;
constexpr std::uint64_t most_probes = 1'000'000U;
constexpr std::uint64_t most_slots = 100'000U;
constexpr std::uint64_t most_connections = 1'000'000U;
constexpr double lowest_worth = 1e-6;
constexpr double highest_worth = 1e6;
// The same range as that of the header `Mangopulley-Timeout-Ms`.
constexpr std::uint64_t longest_timeout_ms = 60'000U;
// Regions lose contact with each other for about an hour; a day leaves room for longer cuts.
constexpr std::uint64_t longest_unconfirmed_ms = 86'400'000U;
constexpr std::array<std::string_view, 3U> class_names{"interactive", "normal", "batch"};

template <typename Record, std::string Record::*Member>
[[nodiscard]] result<void> read_name(const yaml_value& value, Record& target) {
    BOOST_LEAF_ASSIGN(target.*Member, value.text(is_identifier, identifier_form));
    return {};
}

template <typename Record, bool Record::*Member>
[[nodiscard]] result<void> read_flag(const yaml_value& value, Record& target) {
    BOOST_LEAF_ASSIGN(target.*Member, value.boolean());
    return {};
}

template <typename Record, std::uint32_t Record::*Member, std::uint64_t Least, std::uint64_t Most>
[[nodiscard]] result<void> read_count(const yaml_value& value, Record& target) {
    return value.read(target.*Member, Least, Most);
}

[[nodiscard]] result<void> read_worth(const yaml_value& value, kind_rule& target) {
    BOOST_LEAF_ASSIGN(target.worth, value.real(lowest_worth, highest_worth));
    return {};
}

[[nodiscard]] result<void> read_timeout(const yaml_value& value, kind_rule& target) {
    BOOST_LEAF_AUTO(count, value.integer(1U, longest_timeout_ms));
    target.timeout = milliseconds{count};
    return {};
}

[[nodiscard]] result<void> read_rate(const yaml_value& value, service_limits& target) {
    BOOST_LEAF_ASSIGN(target.requests_per_second, value.real(lowest_rate, highest_rate));
    return {};
}

/*! @brief Makes an error at a child of a map, or at the map when the child is absent. */
[[nodiscard]] boost::leaf::error_id fail_at_child(const yaml_value& map, const std::string_view field,
                                                  const std::string_view expected) {
    const auto& node = map.node();
    const auto key = field.substr(field.rfind('.') + 1U);
    const auto child = std::find_if(node.children.begin(), node.children.end(),
                                    [key](const yaml_node& entry) { return entry.key == key; });
    const bool present = child != node.children.end();
    return map.fail_at(present ? child->line : node.line, field, present ? child->text : "nothing", expected);
}

[[nodiscard]] result<void> read_limits(const yaml_value& value, service_entry& target) {
    static constexpr std::array<yaml_field<service_limits>, 3U> fields{{
        {"requests_per_second", false, read_rate},
        {"concurrent", false, read_count<service_limits, &service_limits::concurrent, 1U, most_requests>},
        {"waiting", false, read_count<service_limits, &service_limits::waiting, 1U, most_requests>},
    }};
    if (auto done = value.read_map(target.limits, fields); !done) {
        return done.error();
    }
    if (target.limits.waiting > 0U && target.limits.concurrent == 0U) {
        return fail_at_child(value, value.path() + ".waiting",
                             "no limit of waiting requests without limits.concurrent, or both");
    }
    return {};
}

[[nodiscard]] result<void> read_measuring(const yaml_value& value, service_entry& target) {
    static constexpr std::array<yaml_field<measuring_budget>, 2U> fields{{
        {"probes_per_target_per_second", false,
         read_count<measuring_budget, &measuring_budget::probes_per_target_per_second, 0U, most_probes>},
        {"probes_per_second", false,
         read_count<measuring_budget, &measuring_budget::probes_per_second, 0U, most_probes>},
    }};
    auto& budget = target.measuring;
    if (auto done = value.read_map(budget, fields); !done) {
        return done.error();
    }
    if (budget.probes_per_target_per_second > budget.probes_per_second) {
        return fail_at_child(value, value.path() + ".probes_per_target_per_second",
                             "at most measuring.probes_per_second, " + std::to_string(budget.probes_per_second));
    }
    if (budget.probes_per_second > 0U && budget.probes_per_target_per_second == 0U) {
        return fail_at_child(value, value.path() + ".probes_per_target_per_second",
                             "at least 1 when measuring.probes_per_second is above 0");
    }
    return {};
}

[[nodiscard]] result<void> read_targets(const yaml_value& value, service_entry& target) {
    static constexpr std::array<yaml_field<service_entry>, 2U> fields{{
        {"slots", false, read_count<service_entry, &service_entry::slots_per_target, 1U, most_slots>},
        {"connections", false, read_count<service_entry, &service_entry::connections_per_target, 1U, most_connections>},
    }};
    if (auto done = value.read_map(target, fields); !done) {
        return done.error();
    }
    if (target.slots_per_target > target.connections_per_target) {
        return fail_at_child(value, value.path() + ".slots",
                             "at most targets.connections, " + std::to_string(target.connections_per_target));
    }
    return {};
}

/*! @brief Reads a list of maps with distinct names. */
template <typename Record, std::size_t Size>
[[nodiscard]] result<std::vector<Record>> read_list(const yaml_value& value, const std::size_t most,
                                                    const std::array<yaml_field<Record>, Size>& fields) {
    BOOST_LEAF_AUTO(items, value.items(0U, most));
    std::vector<Record> records{};
    for (const auto& item : items) {
        Record record{};
        if (auto done = item.read_map(record, fields); !done) {
            return done.error();
        }
        const auto same = std::find_if(records.begin(), records.end(),
                                       [&record](const Record& other) { return other.name == record.name; });
        if (same != records.end()) {
            return fail_at_child(item, item.path() + ".name", "each name once in the list");
        }
        records.push_back(std::move(record));
    }
    return records;
}

[[nodiscard]] result<void> read_kinds(const yaml_value& value, service_entry& target) {
    static constexpr std::array<yaml_field<kind_rule>, 4U> fields{{
        {"name", true, read_name<kind_rule, &kind_rule::name>},
        {"idempotent", false, read_flag<kind_rule, &kind_rule::idempotent>},
        {"worth", false, read_worth},
        {"timeout_ms", false, read_timeout},
    }};
    BOOST_LEAF_ASSIGN(target.kinds, read_list(value, most_kinds, fields));
    return {};
}

[[nodiscard]] result<void> read_owner(const yaml_value& value, service_entry& target) {
    BOOST_LEAF_ASSIGN(target.owner, value.text(is_display_name, display_name_form));
    return {};
}

[[nodiscard]] result<void> read_class(const yaml_value& value, service_entry& target) {
    BOOST_LEAF_AUTO(index, value.choice(class_names));
    target.work = static_cast<work_class>(index);
    return {};
}

[[nodiscard]] result<void> read_policy(const yaml_value& value, service_entry& target) {
    BOOST_LEAF_AUTO(index, value.choice(policy_names));
    target.policy = policy_names[index];
    return {};
}

[[nodiscard]] result<void> read_unconfirmed(const yaml_value& value, service_entry& target) {
    BOOST_LEAF_AUTO(count, value.integer(0U, longest_unconfirmed_ms));
    target.serve_unconfirmed = milliseconds{count};
    return {};
}

[[nodiscard]] result<void> read_services(const yaml_value& value, document& target) {
    static constexpr std::array<yaml_field<service_entry>, 10U> fields{{
        {"name", true, read_name<service_entry, &service_entry::name>},
        {"owner", true, read_owner},
        {"class", false, read_class},
        {"limits", false, read_limits},
        {"measuring", false, read_measuring},
        {"targets", false, read_targets},
        {"policy", false, read_policy},
        {"serve_unconfirmed_ms", false, read_unconfirmed},
        {"refuse_orders_without_store", false, read_flag<service_entry, &service_entry::refuse_orders_without_store>},
        {"kinds", false, read_kinds},
    }};
    BOOST_LEAF_ASSIGN(target.services, read_list(value, most_services, fields));
    return {};
}

} // namespace internal

result<document> parse_document(const std::string_view source, const std::string_view text) {
    static constexpr std::array<yaml_field<document>, 1U> fields{{{"services", true, internal::read_services}}};
    BOOST_LEAF_AUTO(root, parse_yaml(source, text, internal::catalogue_limits));
    document parsed{};
    if (auto done = yaml_value{source, root, {}}.read_map(parsed, fields); !done) {
        return done.error();
    }
    return parsed;
}

std::vector<document_warning> find_warnings(const document& checked) {
    std::vector<document_warning> warnings{};
    for (const auto& service : checked.services) {
        if (service.measuring.probes_per_second == 1U) {
            warnings.push_back({service.name, "measuring.probes_per_second",
                                "a budget of 1 allows no probe: one per second is kept for a late probe of a former "
                                "lease holder"});
        }
        if (service.kinds.empty()) {
            warnings.push_back({service.name, "kinds", "the service has no kinds, so it accepts no request"});
        }
    }
    return warnings;
}

} // namespace mangopulley

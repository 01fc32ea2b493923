#include "parse.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "../core/yaml_value.hpp"

namespace mangopulley {

namespace internal {

// The limit on nodes bounds the memory of the tree: a text of two-byte list entries would create 250,000 nodes.
constexpr yaml_limits catalogue_limits{max_catalogue_text_bytes, 100'000U, 12U};
constexpr std::size_t max_services = 1'000U;
constexpr std::size_t max_kinds = 256U;
constexpr double min_rate = 0.001;
constexpr double max_rate = 1e7;
constexpr std::uint64_t max_requests = 10'000'000U;
constexpr std::uint64_t max_probes = 1'000'000U;
constexpr std::uint64_t max_slots = 100'000U;
constexpr std::uint64_t max_connections = 1'000'000U;
constexpr double min_worth = 1e-6;
constexpr double max_worth = 1e6;
// Same limit as for the header `Mangopulley-Timeout-Ms`.
constexpr std::uint64_t max_timeout_ms = 60'000U;
// Regions lose contact with each other for about an hour; a day also covers longer partitions.
constexpr std::uint64_t max_serve_unconfirmed_ms = 86'400'000U;
constexpr std::array<std::string_view, 3U> class_names{"interactive", "normal", "batch"};

template <typename Record, std::string Record::*Member>
[[nodiscard]] result<void> read_name(const yaml_value& value, Record& output) {
    BOOST_LEAF_ASSIGN(output.*Member, value.text(is_identifier, identifier_form));
    return {};
}

template <typename Record, bool Record::*Member>
[[nodiscard]] result<void> read_flag(const yaml_value& value, Record& output) {
    BOOST_LEAF_ASSIGN(output.*Member, value.boolean());
    return {};
}

template <typename Record, std::uint32_t Record::*Member, std::uint64_t Min, std::uint64_t Max>
[[nodiscard]] result<void> read_count(const yaml_value& value, Record& output) {
    return value.read(output.*Member, Min, Max);
}

[[nodiscard]] result<void> read_worth(const yaml_value& value, kind_rule& output) {
    BOOST_LEAF_ASSIGN(output.worth, value.real(min_worth, max_worth));
    return {};
}

[[nodiscard]] result<void> read_timeout(const yaml_value& value, kind_rule& output) {
    BOOST_LEAF_AUTO(count, value.integer(1U, max_timeout_ms));
    output.timeout = milliseconds{count};
    return {};
}

[[nodiscard]] result<void> read_rate(const yaml_value& value, service_limits& output) {
    BOOST_LEAF_ASSIGN(output.requests_per_second, value.real(min_rate, max_rate));
    return {};
}

/*! @brief Reports an error at a child of a map, or at the map itself when the child is absent. */
[[nodiscard]] boost::leaf::error_id fail_at_child(const yaml_value& map, const std::string_view field,
                                                  const std::string_view expected) {
    const auto& node = map.node();
    const auto key = field.substr(field.rfind('.') + 1U);
    const auto child = std::find_if(node.children.begin(), node.children.end(),
                                    [key](const yaml_node& entry) { return entry.key == key; });
    const bool present = child != node.children.end();
    return map.fail_at(present ? child->line : node.line, field, present ? child->text : "nothing", expected);
}

[[nodiscard]] result<void> read_limits(const yaml_value& value, service_entry& output) {
    static constexpr std::array<yaml_field<service_limits>, 3U> fields{{
        {"requests_per_second", false, read_rate},
        {"concurrent", false, read_count<service_limits, &service_limits::concurrent, 1U, max_requests>},
        {"waiting", false, read_count<service_limits, &service_limits::waiting, 1U, max_requests>},
    }};
    if (auto done = value.read_map(output.limits, fields); !done) {
        return done.error();
    }
    if (output.limits.waiting > 0U && output.limits.concurrent == 0U) {
        return fail_at_child(value, value.path() + ".waiting",
                             "no limit of waiting requests without limits.concurrent, or both");
    }
    return {};
}

[[nodiscard]] result<void> read_measuring(const yaml_value& value, service_entry& output) {
    static constexpr std::array<yaml_field<measuring_budget>, 2U> fields{{
        {"probes_per_target_per_second", false,
         read_count<measuring_budget, &measuring_budget::probes_per_target_per_second, 0U, max_probes>},
        {"probes_per_second", false,
         read_count<measuring_budget, &measuring_budget::probes_per_second, 0U, max_probes>},
    }};
    auto& budget = output.measuring;
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

[[nodiscard]] result<void> read_targets(const yaml_value& value, service_entry& output) {
    static constexpr std::array<yaml_field<service_entry>, 2U> fields{{
        {"slots", false, read_count<service_entry, &service_entry::slots_per_target, 1U, max_slots>},
        {"connections", false, read_count<service_entry, &service_entry::connections_per_target, 1U, max_connections>},
    }};
    if (auto done = value.read_map(output, fields); !done) {
        return done.error();
    }
    if (output.slots_per_target > output.connections_per_target) {
        return fail_at_child(value, value.path() + ".slots",
                             "at most targets.connections, " + std::to_string(output.connections_per_target));
    }
    return {};
}

/*! @brief Reads a list of maps with unique names. */
template <typename Record, std::size_t Size>
[[nodiscard]] result<std::vector<Record>> read_list(const yaml_value& value, const std::size_t max_items,
                                                    const std::array<yaml_field<Record>, Size>& fields) {
    BOOST_LEAF_AUTO(items, value.items(0U, max_items));
    std::vector<Record> records{};
    for (const auto& item : items) {
        Record record{};
        if (auto done = item.read_map(record, fields); !done) {
            return done.error();
        }
        const auto duplicate = std::find_if(records.begin(), records.end(),
                                            [&record](const Record& other) { return other.name == record.name; });
        if (duplicate != records.end()) {
            return fail_at_child(item, item.path() + ".name", "each name once in the list");
        }
        records.push_back(std::move(record));
    }
    return records;
}

[[nodiscard]] result<void> read_kinds(const yaml_value& value, service_entry& output) {
    static constexpr std::array<yaml_field<kind_rule>, 4U> fields{{
        {"name", true, read_name<kind_rule, &kind_rule::name>},
        {"idempotent", false, read_flag<kind_rule, &kind_rule::idempotent>},
        {"worth", false, read_worth},
        {"timeout_ms", false, read_timeout},
    }};
    BOOST_LEAF_ASSIGN(output.kinds, read_list(value, max_kinds, fields));
    return {};
}

[[nodiscard]] result<void> read_owner(const yaml_value& value, service_entry& output) {
    BOOST_LEAF_ASSIGN(output.owner, value.text(is_display_name, display_name_form));
    return {};
}

[[nodiscard]] result<void> read_class(const yaml_value& value, service_entry& output) {
    BOOST_LEAF_AUTO(index, value.choice(class_names));
    output.work = static_cast<work_class>(index);
    return {};
}

[[nodiscard]] result<void> read_policy(const yaml_value& value, service_entry& output) {
    BOOST_LEAF_AUTO(index, value.choice(policy_names));
    output.policy = policy_names[index];
    return {};
}

[[nodiscard]] result<void> read_serve_unconfirmed(const yaml_value& value, service_entry& output) {
    BOOST_LEAF_AUTO(count, value.integer(0U, max_serve_unconfirmed_ms));
    output.serve_unconfirmed = milliseconds{count};
    return {};
}

[[nodiscard]] result<void> read_services(const yaml_value& value, catalogue_document& output) {
    static constexpr std::array<yaml_field<service_entry>, 10U> fields{{
        {"name", true, read_name<service_entry, &service_entry::name>},
        {"owner", true, read_owner},
        {"class", false, read_class},
        {"limits", false, read_limits},
        {"measuring", false, read_measuring},
        {"targets", false, read_targets},
        {"policy", false, read_policy},
        {"serve_unconfirmed_ms", false, read_serve_unconfirmed},
        {"refuse_orders_without_store", false, read_flag<service_entry, &service_entry::refuse_orders_without_store>},
        {"kinds", false, read_kinds},
    }};
    BOOST_LEAF_ASSIGN(output.services, read_list(value, max_services, fields));
    return {};
}

} // namespace internal

result<catalogue_document> parse_catalogue(const std::string_view source, const std::string_view text) {
    static constexpr std::array<yaml_field<catalogue_document>, 1U> fields{
        {{"services", true, internal::read_services}}};
    BOOST_LEAF_AUTO(root, parse_yaml(source, text, internal::catalogue_limits));
    catalogue_document catalogue{};
    if (auto done = yaml_value{source, root, {}}.read_map(catalogue, fields); !done) {
        return done.error();
    }
    return catalogue;
}

std::vector<catalogue_warning> find_warnings(const catalogue_document& catalogue) {
    std::vector<catalogue_warning> warnings{};
    for (const auto& service : catalogue.services) {
        if (service.measuring.probes_per_second == 1U) {
            warnings.push_back({service.name, "measuring.probes_per_second",
                                "a budget of 1 allows no probes: one per second is reserved for a late probe of a "
                                "previous lease holder"});
        }
        if (service.kinds.empty()) {
            warnings.push_back({service.name, "kinds", "the service has no kinds, so it accepts no request"});
        }
    }
    return warnings;
}

} // namespace mangopulley

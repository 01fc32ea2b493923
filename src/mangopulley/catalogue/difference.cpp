#include "difference.hpp"

#include <array>
#include <charconv>
#include <string_view>

namespace mangopulley {

namespace internal {

constexpr std::string_view absent = "nothing";

[[nodiscard]] std::string display_text(const std::string& value) {
    return value;
}

[[nodiscard]] std::string display_text(const bool value) {
    return value ? "true" : "false";
}

[[nodiscard]] std::string display_text(const double value) {
    std::array<char, 32U> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return {buffer.data(), end};
}

[[nodiscard]] std::string display_text(const std::uint32_t value) {
    return std::to_string(value);
}

[[nodiscard]] std::string display_text(const milliseconds value) {
    return std::to_string(value.count());
}

[[nodiscard]] std::string display_text(const std::optional<milliseconds>& value) {
    return value ? display_text(*value) : std::string{absent};
}

[[nodiscard]] std::string display_text(const work_class value) {
    constexpr std::array<std::string_view, 3U> names{"interactive", "normal", "batch"};
    return std::string{names[static_cast<std::size_t>(value)]};
}

/*! @brief Formats a limit; zero means that no limit is set. */
template <typename Number>
[[nodiscard]] std::string limit_text(const Number value) {
    return value > Number{} ? display_text(value) : std::string{absent};
}

template <typename Record>
struct displayed_field {
    std::string_view name{};
    std::string (*text)(const Record& record){};
};

constexpr std::array<displayed_field<service_entry>, 12U> service_fields{{
    {"owner", [](const service_entry& entry) { return display_text(entry.owner); }},
    {"class", [](const service_entry& entry) { return display_text(entry.work); }},
    {"limits.requests_per_second",
     [](const service_entry& entry) { return limit_text(entry.limits.requests_per_second); }},
    {"limits.concurrent", [](const service_entry& entry) { return limit_text(entry.limits.concurrent); }},
    {"limits.waiting", [](const service_entry& entry) { return limit_text(entry.limits.waiting); }},
    {"measuring.probes_per_target_per_second",
     [](const service_entry& entry) { return display_text(entry.measuring.probes_per_target_per_second); }},
    {"measuring.probes_per_second",
     [](const service_entry& entry) { return display_text(entry.measuring.probes_per_second); }},
    {"targets.slots", [](const service_entry& entry) { return display_text(entry.slots_per_target); }},
    {"targets.connections", [](const service_entry& entry) { return display_text(entry.connections_per_target); }},
    {"policy", [](const service_entry& entry) { return display_text(entry.policy); }},
    {"serve_unconfirmed_ms", [](const service_entry& entry) { return display_text(entry.serve_unconfirmed); }},
    {"refuse_orders_without_store",
     [](const service_entry& entry) { return display_text(entry.refuse_orders_without_store); }},
}};

constexpr std::array<displayed_field<kind_rule>, 3U> kind_fields{{
    {"idempotent", [](const kind_rule& rule) { return display_text(rule.idempotent); }},
    {"worth", [](const kind_rule& rule) { return display_text(rule.worth); }},
    {"timeout_ms", [](const kind_rule& rule) { return display_text(rule.timeout); }},
}};

[[nodiscard]] std::string display_text(const kind_rule& rule) {
    std::string text{};
    for (const auto& field : kind_fields) {
        text.append(text.empty() ? "{" : ", ").append(field.name).append(": ").append(field.text(rule));
    }
    return text + '}';
}

template <typename Record, std::size_t Size>
void compare(const std::string& service, const std::string& prefix, const Record& from, const Record& to,
             const std::array<displayed_field<Record>, Size>& fields, std::vector<catalogue_change>& changes) {
    for (const auto& field : fields) {
        auto before = field.text(from);
        auto after = field.text(to);
        if (before != after) {
            changes.emplace_back(
                field_changed{service, prefix + std::string{field.name}, std::move(before), std::move(after)});
        }
    }
}

void compare_kinds(const service_entry& from, const service_entry& to, std::vector<catalogue_change>& changes) {
    for (const auto& kind : to.kinds) {
        if (const auto* before = from.find_kind(kind.name)) {
            compare(to.name, "kinds." + kind.name + '.', *before, kind, kind_fields, changes);
        } else {
            changes.emplace_back(field_changed{to.name, "kinds." + kind.name, std::string{absent}, display_text(kind)});
        }
    }
    for (const auto& kind : from.kinds) {
        if (to.find_kind(kind.name) == nullptr) {
            changes.emplace_back(field_changed{to.name, "kinds." + kind.name, display_text(kind), std::string{absent}});
        }
    }
}

struct text_visitor {
    [[nodiscard]] std::string operator()(const service_added& change) const {
        return "service " + change.service + " added";
    }
    [[nodiscard]] std::string operator()(const service_removed& change) const {
        return "service " + change.service + " removed";
    }
    [[nodiscard]] std::string operator()(const field_changed& change) const {
        return "service " + change.service + ": " + change.field + " changed from " + change.from + " to " + change.to;
    }
};

} // namespace internal

std::vector<catalogue_change> difference(const catalogue_document& from, const catalogue_document& to) {
    std::vector<catalogue_change> changes{};
    for (const auto& service : to.services) {
        const auto* before = from.find_service(service.name);
        if (before == nullptr) {
            changes.emplace_back(service_added{service.name});
            continue;
        }
        internal::compare(service.name, "", *before, service, internal::service_fields, changes);
        internal::compare_kinds(*before, service, changes);
    }
    for (const auto& service : from.services) {
        if (to.find_service(service.name) == nullptr) {
            changes.emplace_back(service_removed{service.name});
        }
    }
    return changes;
}

std::string to_text(const catalogue_change& change) {
    return std::visit(internal::text_visitor{}, change);
}

} // namespace mangopulley

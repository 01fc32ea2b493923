#include "settings.hpp"

#include <algorithm>
#include <array>

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include "field_readers.hpp"

namespace mangopulley {

namespace internal {

constexpr yaml_limits settings_limits{65'536U, 1'000U, 8U};
// A shorter time fails on ordinary delays between zones; a longer one holds a lease renewal past its lease.
constexpr std::uint64_t shortest_store_timeout = 10U;
constexpr std::uint64_t longest_store_timeout = 10'000U;
constexpr std::uint64_t most_workers = 4'096U;
constexpr std::size_t most_endpoints = 16U;

[[nodiscard]] bool is_alert_url(const std::string_view text) {
    constexpr std::size_t longest_url = 2'048U;
    const auto plain = [](const char letter) { return letter > ' ' && letter < '\x7F'; };
    if (text.size() > longest_url || !std::all_of(text.begin(), text.end(), plain)) {
        return false;
    }
    try {
        const Poco::URI url{std::string{text}};
        return url.getScheme() == "http" && is_ip_address(url.getHost()) && url.getPort() > 0U &&
               url.getUserInfo().empty() && url.getFragment().empty();
    } catch (const Poco::Exception&) {
        return false;
    }
}

[[nodiscard]] result<void> check_ports(const yaml_value& instance, const settings& target) {
    struct named_port {
        std::string_view key;
        std::uint16_t number;
    };
    const std::array<named_port, 3U> ports{{{"caller_port", target.caller_port},
                                            {"operator_port", target.operator_port},
                                            {"peer_port", target.peer_port}}};
    for (const auto& child : instance.node().children) {
        for (const auto& port : ports) {
            const auto same = std::find_if(ports.begin(), ports.end(), [&port](const named_port& other) {
                return other.key != port.key && other.number == port.number;
            });
            if (child.key == port.key && same != ports.end()) {
                return instance.fail_at(child.line, "instance." + child.key, child.text,
                                        "a port other than instance." + std::string{same->key});
            }
        }
    }
    return {};
}

[[nodiscard]] result<void> read_instance(const yaml_value& value, settings& target) {
    static constexpr std::array<yaml_field<settings>, 7U> fields{{
        {"name", true, read_identifier<&settings::instance_name>},
        {"ip", true, read_ip<&settings::ip>},
        {"caller_port", true, read_port<&settings::caller_port>},
        {"operator_port", true, read_port<&settings::operator_port>},
        {"peer_port", true, read_port<&settings::peer_port>},
        {"zone", true, read_identifier<&settings::zone>},
        {"region", true, read_identifier<&settings::region>},
    }};
    if (auto done = value.read_map(target, fields); !done) {
        return done.error();
    }
    return check_ports(value, target);
}

[[nodiscard]] result<void> read_store_timeout(const yaml_value& value, settings& target) {
    BOOST_LEAF_AUTO(count, value.integer(shortest_store_timeout, longest_store_timeout));
    target.store_timeout = milliseconds{count};
    return {};
}

[[nodiscard]] result<void> read_store(const yaml_value& value, settings& target) {
    static constexpr std::array<yaml_field<settings>, 2U> fields{
        {{"address", true, read_endpoint<&settings::store_address>}, {"timeout_ms", false, read_store_timeout}}};
    return value.read_map(target, fields);
}

[[nodiscard]] result<void> read_endpoints(const yaml_value& value, settings& target) {
    BOOST_LEAF_AUTO(items, value.items(1U, most_endpoints));
    for (const auto& item : items) {
        BOOST_LEAF_AUTO(url, item.text(is_alert_url, "a URL of the form http://IPv4-address[:port][/path]"));
        const auto& known = target.director_endpoints;
        if (std::find(known.begin(), known.end(), url) != known.end()) {
            return item.fail("each endpoint once");
        }
        target.director_endpoints.push_back(std::move(url));
    }
    return {};
}

[[nodiscard]] result<void> read_director(const yaml_value& value, settings& target) {
    static constexpr std::array<yaml_field<settings>, 1U> fields{{{"endpoints", true, read_endpoints}}};
    return value.read_map(target, fields);
}

[[nodiscard]] result<void> read_log(const yaml_value& value, settings& target) {
    static constexpr std::array<yaml_field<settings>, 1U> fields{
        {{"level", false, read_log_level<&settings::log_level>}}};
    return value.read_map(target, fields);
}

[[nodiscard]] result<void> read_workers(const yaml_value& value, settings& target) {
    return value.read(target.workers, 1U, most_workers);
}

} // namespace internal

result<settings> parse_settings(const std::string_view source, const std::string_view text) {
    // Without a director no caller could ever be refused (section 4.8 of the design), so it is required.
    static constexpr std::array<yaml_field<settings>, 5U> fields{{{"instance", true, internal::read_instance},
                                                                  {"store", true, internal::read_store},
                                                                  {"director", true, internal::read_director},
                                                                  {"log", false, internal::read_log},
                                                                  {"workers", false, internal::read_workers}}};
    BOOST_LEAF_AUTO(root, parse_yaml(source, text, internal::settings_limits));
    settings parsed{};
    if (auto done = yaml_value{source, root, {}}.read_map(parsed, fields); !done) {
        return done.error();
    }
    return parsed;
}

} // namespace mangopulley

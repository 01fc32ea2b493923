#include <map>
#include <string>

#include <mangopulley/gateway/route_table.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::route;
using mangopulley::route_table;
using mangopulley::routing_config;

namespace {

[[nodiscard]] route make_route(std::string host, std::string prefix, std::string service) {
    route entry{};
    entry.name = host + prefix;
    entry.host = std::move(host);
    entry.prefix = std::move(prefix);
    entry.parts = {{std::move(service), 1.0}};
    return entry;
}

[[nodiscard]] routing_config make_config(const std::uint64_t revision) {
    routing_config config{};
    config.id.version = revision;
    config.id.position.revision = revision;
    config.routes = {make_route("a.example", "/", "root"), make_route("a.example", "/x/", "short"),
                     make_route("a.example", "/x/y/", "long")};
    return config;
}

} // namespace

TEST_GROUP(route_table) {
    route_table table{};

    std::string service_of(const char* host, const char* path) {
        const auto* found = table.find(host, path);
        return found == nullptr ? "none" : std::string{table.next_service(*found)};
    }
};

// Guards against requests forwarded to the wrong service, or forwarded without a matching route.
TEST(route_table, chooses_the_longest_prefix_of_the_host) {
    CHECK_TRUE(table.apply(make_config(3U)));
    STRCMP_EQUAL("long", service_of("a.example", "/x/y/z").c_str());
    STRCMP_EQUAL("short", service_of("A.Example:80", "/x/yy").c_str());
    STRCMP_EQUAL("root", service_of("a.example", "/x").c_str());
    STRCMP_EQUAL("none", service_of("b.example", "/x/").c_str());
}

// Guards against activating an older configuration after a newer one.
TEST(route_table, ignores_older_revisions) {
    CHECK_TRUE(table.apply(make_config(5U)));
    auto older = make_config(4U);
    older.routes.clear();
    CHECK_FALSE(table.apply(older));
    CHECK_FALSE(table.apply(make_config(5U)));
    STRCMP_EQUAL("long", service_of("a.example", "/x/y/").c_str());
}

// Guards against a restored store whose revisions, given out again, make a new version look old or an old one look new.
TEST(route_table, orders_configurations_by_version_across_restores) {
    auto config = make_config(5U);
    config.id.position = {1U, 50U};
    CHECK_TRUE(table.apply(config));
    config.id = {4U, {2U, 60U}};
    CHECK_FALSE(table.apply(config));
    config.id = {5U, {2U, 40U}};
    CHECK_TRUE_TEXT(table.apply(config), "the same version written again may differ");
    config.id = {6U, {2U, 41U}};
    CHECK_TRUE(table.apply(config));
}

// Guards against shares that drift from the weights at any time, also after an unrelated configuration change.
TEST(route_table, distributes_a_split_by_weight) {
    auto config = make_config(1U);
    config.routes.push_back(make_route("s.example", "/", "first"));
    config.routes.back().parts = {{"first", 70.0}, {"second", 20.0}, {"third", 10.0}, {"none", 0.0}};
    CHECK_TRUE(table.apply(config));
    std::map<std::string, int> counts{};
    for (int number = 1; number <= 1'000; ++number) {
        ++counts[service_of("s.example", "/")];
        CHECK_TRUE(std::abs(counts["first"] - number * 0.7) <= 1.0);
        CHECK_TRUE(std::abs(counts["second"] - number * 0.2) <= 1.0);
        if (number == 500) {
            config.id.position.revision = 2U;
            config.routes.front().parts = {{"other", 1.0}};
            CHECK_TRUE(table.apply(config));
        }
    }
    LONGS_EQUAL(100, counts["third"]);
    LONGS_EQUAL(0, counts["none"]);
}

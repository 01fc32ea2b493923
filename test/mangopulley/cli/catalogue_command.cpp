#include <array>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/TemporaryFile.h>
#include <fake/fake_clock.hpp>
#include <fake/fake_store.hpp>
#include <mangopulley/cli/catalogue_command.hpp>
#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::milliseconds;

namespace {

constexpr const char* first_text = "services: [{name: a, owner: o, kinds: [{name: k}]}]\n";
constexpr const char* second_text =
    "services: [{name: a, owner: o, targets: {slots: 3}, kinds: [{name: k}]}]\n# comment is kept\n";

struct run_outcome {
    int code{};
    std::string out{};
    std::string err{};
};

/*! @brief Answers `GET /state` with a version that grows by one with each request. */
class state_server {
public:
    explicit state_server(const std::uint64_t first) : version{first} { this->server.start(); }
    ~state_server() { this->server.stopAll(true); }
    state_server(const state_server&) = delete;
    state_server& operator=(const state_server&) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(this->server.port()); }

private:
    class handler final : public Poco::Net::HTTPRequestHandler {
    public:
        explicit handler(std::atomic<std::uint64_t>& shown) : version{shown} {}
        void handleRequest(Poco::Net::HTTPServerRequest& /*request*/,
                           Poco::Net::HTTPServerResponse& response) override {
            const auto body = R"({"catalogue":{"version":)" + std::to_string(this->version.fetch_add(1U)) + "}}";
            response.sendBuffer(body.data(), body.size());
        }

    private:
        std::atomic<std::uint64_t>& version;
    };

    class factory final : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit factory(std::atomic<std::uint64_t>& shown) : version{shown} {}
        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
            return new handler{this->version}; // owned by the server
        }

    private:
        std::atomic<std::uint64_t>& version;
    };

    std::atomic<std::uint64_t> version;
    Poco::Net::HTTPServer server{new factory{this->version},
                                 Poco::Net::ServerSocket{Poco::Net::SocketAddress{"127.0.0.1", 0}},
                                 new Poco::Net::HTTPServerParams{}};
};

} // namespace

TEST_GROUP(catalogue_command) {
    std::shared_ptr<fake::fake_store> store{std::make_shared<fake::fake_store>()};
    fake::fake_clock time{};
    mangopulley::system_clock_source real_time{};
    std::string path{Poco::TemporaryFile::tempName()};

    void teardown() override {
        std::remove(this->path.c_str());
    }

    void write_text(const std::string_view text) const {
        std::ofstream{this->path, std::ios::binary} << text;
    }

    [[nodiscard]] run_outcome run(const std::vector<std::string>& arguments, const mangopulley::clock& clock) {
        const mangopulley::catalogue_environment environment{
            [this](const std::string&) { return this->store; }, clock,
            [this](const milliseconds delay) { this->time.advance(delay); }, milliseconds{300}};
        std::ostringstream out{};
        std::ostringstream err{};
        const int code = mangopulley::run_catalogue_command(arguments, out, err, environment);
        return {code, out.str(), err.str()};
    }

    [[nodiscard]] run_outcome run(const std::vector<std::string>& arguments) {
        return this->run(arguments, this->time);
    }

    [[nodiscard]] run_outcome apply(const std::string& text, const std::string& based_on,
                                    const std::vector<std::string>& more = {}) {
        this->write_text(text);
        std::vector<std::string> arguments{"apply",      this->path, "--store",    "127.0.0.1:80",
                                           "--based-on", based_on,   "--operator", "eva"};
        arguments.insert(arguments.end(), more.begin(), more.end());
        return this->run(arguments, this->real_time);
    }
};

// Guards against a catalogue that is not read back as written, and against lost edits in the history.
TEST(catalogue_command, applies_and_reads_back) {
    CHECK_EQUAL(0, this->apply(first_text, "0").code);
    const auto applied = this->apply(second_text, "1");
    CHECK_EQUAL(0, applied.code);
    STRCMP_CONTAINS("accepted as version 2", applied.out.c_str());
    STRCMP_CONTAINS("targets.slots changed from 2 to 3", applied.out.c_str());

    const auto read = this->run({"get", "--store", "127.0.0.1:80"});
    CHECK_EQUAL(0, read.code);
    STRCMP_EQUAL(second_text, read.out.c_str());
    STRCMP_EQUAL("version 2\n", read.err.c_str());

    const auto saved = this->run({"get", "--store", "127.0.0.1:80", "--output", this->path});
    STRCMP_CONTAINS("version 2 written to", saved.out.c_str());
    std::ostringstream file{};
    file << std::ifstream{this->path}.rdbuf();
    STRCMP_EQUAL(second_text, file.str().c_str());

    const auto json = nlohmann::json::parse(this->run({"get", "--json", "--store", "127.0.0.1:80"}).out);
    CHECK_TRUE(json.at("version") == 2 && json.at("text") == second_text && json.at("edit").at("operator") == "eva");

    const auto history = this->run({"history", "--store", "127.0.0.1:80"});
    CHECK_EQUAL(0, history.code);
    STRCMP_CONTAINS("version 1, ", history.out.c_str());
    STRCMP_CONTAINS("kept versions: 1 2\n", history.out.c_str());
    const auto listed = nlohmann::json::parse(this->run({"history", "--json", "--store", "127.0.0.1:80"}).out);
    CHECK_EQUAL(2U, listed.at("edits").size());
}

// Guards against exit codes that mislead a script, and against errors on standard output.
TEST(catalogue_command, tells_failures_by_exit_code) {
    using fault = fake::fake_store::write_fault;
    CHECK_EQUAL(1, this->run({"get", "--store", "127.0.0.1:80"}).code);
    CHECK_EQUAL(1, this->run({"check", "/nonexistent/file"}).code);
    CHECK_EQUAL(1, this->run({"check", "/"}).code);

    const auto rejected = this->apply("services:\n  - {name: a, owner: o, slots: 3}\n", "0");
    CHECK_EQUAL(3, rejected.code);
    STRCMP_EQUAL("", rejected.out.c_str());
    STRCMP_CONTAINS((this->path + ":2: services[0].slots: found \"slots\", expected one of the keys").c_str(),
                    rejected.err.c_str());

    CHECK_EQUAL(0, this->apply(first_text, "0").code);
    const auto stale = this->apply(second_text, "0", {"--json"});
    CHECK_EQUAL(4, stale.code);
    const auto json = nlohmann::json::parse(stale.out);
    CHECK_TRUE(json.at("outcome") == "stale" && json.at("version") == 1);
    CHECK_TRUE(json.at("changes").at(0).at("change") == "service_added");
    STRCMP_CONTAINS("service a added", stale.err.c_str());

    this->store->fault = fault::reply_lost_before_effect;
    this->write_text(second_text);
    const auto unknown =
        this->run({"apply", this->path, "--store", "127.0.0.1:80", "--based-on", "1", "--operator", "eva", "--json"});
    CHECK_EQUAL(5, unknown.code);
    CHECK_EQUAL(16U, nlohmann::json::parse(unknown.out).at("edit").get<std::string>().size());

    this->store->down = true;
    CHECK_EQUAL(
        1, this->run({"apply", this->path, "--store", "127.0.0.1:80", "--based-on", "1", "--operator", "eva"}).code);
    CHECK_EQUAL(1, this->run({"history", "--store", "127.0.0.1:80"}).code);
}

// Guards against command lines that are half understood.
TEST(catalogue_command, rejects_wrong_usage) {
    this->write_text(first_text);
    const std::string store_address = "127.0.0.1:80";
    const std::vector<std::vector<std::string>> command_lines{
        {},
        {"put"},
        {"get"},
        {"get", "--store"},
        {"get", "--store", "localhost:80"},
        {"get", "--store", "127.0.0.1"},
        {"get", "--store", store_address, "--store", store_address},
        {"get", "--store", store_address, "extra"},
        {"check"},
        {"apply", this->path, "--store", store_address, "--based-on", "0"},
        {"apply", this->path, "--store", store_address, "--operator", "eva"},
        {"apply", this->path, "--store", store_address, "--operator", "eva", "--based-on", "-1"},
        {"apply", this->path, "--store", store_address, "--operator", "eva", "--based-on", "1x"},
        {"apply", this->path, "--store", store_address, "--operator", "e\nva", "--based-on", "0"},
        {"apply", this->path, "--store", store_address, "--operator", "eva", "--based-on", "0", "--entry", "nowhere"},
    };
    for (const auto& arguments : command_lines) {
        const auto outcome = this->run(arguments);
        const auto shown = arguments.empty() ? std::string{"no arguments"} : arguments.front() + arguments.back();
        LONGS_EQUAL_TEXT(2, outcome.code, shown.c_str());
        CHECK_TRUE_TEXT(outcome.out.empty() && !outcome.err.empty(), shown.c_str());
    }
    CHECK_EQUAL(0U, this->store->writes);
}

// Guards against help that is missing or that goes to standard error.
TEST(catalogue_command, prints_help_and_version) {
    for (const std::string action : {"", "get", "check", "apply", "history"}) {
        for (const std::string flag : {"--help", "--version"}) {
            auto arguments = action.empty() ? std::vector{flag} : std::vector{action, flag};
            const auto outcome = this->run(arguments);
            LONGS_EQUAL_TEXT(0, outcome.code, action.c_str());
            CHECK_TRUE_TEXT(!outcome.out.empty() && outcome.err.empty(), action.c_str());
        }
    }
}

// Guards against a wrong report of the instances that have the new version in force.
TEST(catalogue_command, asks_instances_for_the_version_in_force) {
    state_server behind{0U};
    // A closed port stands for an instance that is gone.
    Poco::Net::ServerSocket closed{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    const auto gone = closed.address().toString();
    closed.close();
    const auto applied = this->apply(first_text, "0", {"--json", "--entry", behind.address(), "--entry", gone});
    CHECK_EQUAL(0, applied.code);
    const auto entries = nlohmann::json::parse(applied.out).at("entries");
    CHECK_TRUE(entries.at(0).at("address") == behind.address() && entries.at(0).at("in_force") == true);
    CHECK_TRUE(entries.at(0).at("version") == 1);
    CHECK_TRUE(entries.at(1).at("address") == gone && entries.at(1).at("in_force") == false);
    CHECK_FALSE(entries.at(1).at("failure").get<std::string>().empty());
}

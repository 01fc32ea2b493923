// Stand-ins for the platform's store, the upstreams and the consumers, and the start of gateway processes.
// Standard library and POSIX only. Every address is a loopback address; every process started here is ended here.

#ifndef REVIEW_HARNESS
#define REVIEW_HARNESS

#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/*! Exit codes of a case: the rule held, the rule was broken, the case could not run. */
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

struct cannot_run : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline void pause_for(const milliseconds time) {
    std::this_thread::sleep_for(time);
}

/*! Lines of what was sent, answered and run, with the seconds since the start of the case. */
class record {
public:
    explicit record(const std::string& path) : file{path} {
        if (!this->file) {
            throw cannot_run{"cannot write " + path};
        }
    }

    void line(const std::string& text) {
        const std::lock_guard lock{this->mutex};
        const auto passed = std::chrono::duration<double>(steady::now() - this->begin).count();
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f  ", passed);
        this->file << stamp << text << std::endl;
        std::cout << stamp << text << std::endl;
    }

private:
    std::mutex mutex{};
    std::ofstream file;
    steady::time_point begin{steady::now()};
};

inline sockaddr_in address_of(const std::string& endpoint) {
    const auto colon = endpoint.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(endpoint.substr(colon + 1U))));
    if (inet_pton(AF_INET, endpoint.substr(0U, colon).c_str(), &address.sin_addr) != 1) {
        throw cannot_run{"not an address: " + endpoint};
    }
    return address;
}

/*! HTTP/1.1 message: first line, fields with lower-case names, body. */
struct message {
    std::string first{};
    std::map<std::string, std::string> fields{};
    std::string body{};

    [[nodiscard]] std::string field(const std::string& name) const {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? std::string{} : found->second;
    }
    [[nodiscard]] std::string id() const { return this->field("mangopulley-request-id"); }
    [[nodiscard]] int status() const { return this->first.size() < 12U ? 0 : std::atoi(this->first.c_str() + 9); }
    [[nodiscard]] std::string path() const {
        const auto from = this->first.find(' ') + 1U;
        return this->first.substr(from, this->first.find(' ', from) - from);
    }
    [[nodiscard]] std::string method() const { return this->first.substr(0U, this->first.find(' ')); }
};

/*! Connection with blocking calls; reading ends at a deadline. */
class connection {
public:
    explicit connection(const int descriptor) : fd{descriptor} {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { this->close(); }

    static std::unique_ptr<connection> open(const std::string& endpoint) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = address_of(endpoint);
        auto made = std::make_unique<connection>(fd);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            return nullptr;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return made;
    }

    void close() {
        const int old = this->fd.exchange(-1);
        if (old >= 0) {
            ::close(old);
        }
    }

    /*! Wakes a thread that is blocked in a call on this connection. */
    void shut() { ::shutdown(this->fd, SHUT_RDWR); }

    bool send(const std::string& bytes) {
        std::size_t sent = 0U;
        while (sent < bytes.size()) {
            const auto count = ::send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    enum class got { bytes, end, reset, nothing };

    /*! Appends what arrives next to `pending`. */
    got more(const steady::time_point deadline, const std::size_t most = 65'536U) {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady::now()).count();
        pollfd wanted{this->fd, POLLIN, 0};
        if (left <= 0 || ::poll(&wanted, 1, static_cast<int>(left)) <= 0) {
            return got::nothing;
        }
        std::string bytes(most, '\0');
        const auto count = ::recv(this->fd, bytes.data(), bytes.size(), 0);
        if (count == 0) {
            return got::end;
        }
        if (count < 0) {
            return got::reset;
        }
        this->pending.append(bytes, 0U, static_cast<std::size_t>(count));
        return got::bytes;
    }

    /*! Reads the head of a message. */
    bool read_head(message& into, const steady::time_point deadline) {
        std::size_t end = 0U;
        while ((end = this->pending.find("\r\n\r\n")) == std::string::npos) {
            if ((this->last = this->more(deadline)) != got::bytes) {
                return false;
            }
        }
        std::istringstream lines{this->pending.substr(0U, end + 2U)};
        this->pending.erase(0U, end + 4U);
        std::string line{};
        while (std::getline(lines, line)) {
            line.pop_back();
            const auto colon = line.find(':');
            if (into.first.empty()) {
                into.first = line;
            } else if (colon != std::string::npos) {
                std::string name = line.substr(0U, colon);
                for (auto& letter : name) {
                    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
                }
                into.fields[name] = line.substr(line.find_first_not_of(" \t", colon + 1U));
            }
        }
        return true;
    }

    bool read_bytes(std::string& into, const std::size_t count, const steady::time_point deadline) {
        while (this->pending.size() < count) {
            if ((this->last = this->more(deadline)) != got::bytes) {
                return false;
            }
        }
        into.append(this->pending, 0U, count);
        this->pending.erase(0U, count);
        return true;
    }

    bool read_chunks(std::string& into, const steady::time_point deadline) {
        for (;;) {
            std::size_t end = 0U;
            while ((end = this->pending.find("\r\n")) == std::string::npos) {
                if ((this->last = this->more(deadline)) != got::bytes) {
                    return false;
                }
            }
            const auto size = std::strtoul(this->pending.c_str(), nullptr, 16);
            this->pending.erase(0U, end + 2U);
            std::string mark{};
            if (!this->read_bytes(into, size, deadline) || !this->read_bytes(mark, 2U, deadline)) {
                return false;
            }
            if (size == 0U) {
                return true;
            }
        }
    }

    /*! Reads the body of a request, or of a response with a length or in chunks. */
    bool read_body(message& into, const steady::time_point deadline) {
        if (into.fields.contains("transfer-encoding")) {
            return this->read_chunks(into.body, deadline);
        }
        return this->read_bytes(into.body, std::strtoul(into.field("content-length").c_str(), nullptr, 10), deadline);
    }

    bool read(message& into, const steady::time_point deadline) {
        return this->read_head(into, deadline) && this->read_body(into, deadline);
    }

    std::string pending{};
    got last{got::bytes};

private:
    std::atomic<int> fd;
};

/*! Listens on a free loopback port; serves each connection in a thread of its own. */
class server {
public:
    using handler = std::function<void(connection& from)>;

    server(const std::string& ip, handler action, const int receive_buffer = 0) : serve{std::move(action)} {
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receive_buffer > 0) {
            ::setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        }
        auto address = address_of(ip + ":0");
        if (::bind(this->fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(this->fd, 256) != 0) {
            throw cannot_run{"cannot listen on " + ip};
        }
        socklen_t size = sizeof address;
        ::getsockname(this->fd, reinterpret_cast<sockaddr*>(&address), &size);
        this->where = ip + ":" + std::to_string(ntohs(address.sin_port));
        this->acceptor = std::thread{[this] { this->accept(); }};
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server() {
        ::shutdown(this->fd, SHUT_RDWR);
        this->acceptor.join();
        ::close(this->fd);
        {
            const std::lock_guard lock{this->mutex};
            for (auto& open : this->connections) {
                open->shut();
            }
        }
        for (auto& worker : this->workers) {
            worker.join();
        }
    }

    [[nodiscard]] const std::string& endpoint() const { return this->where; }

private:
    void accept() {
        for (;;) {
            const int accepted = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard lock{this->mutex};
            this->connections.push_back(std::make_shared<connection>(accepted));
            this->workers.emplace_back([this, held = this->connections.back()] {
                this->serve(*held);
                held->close();
            });
        }
    }

    handler serve;
    int fd{};
    std::string where{};
    std::mutex mutex{};
    std::vector<std::shared_ptr<connection>> connections{};
    std::vector<std::thread> workers{};
    std::thread acceptor{};
};

constexpr milliseconds idle_time{30'000};

inline std::string json_reply(const int status, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error") +
           "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/*! The platform's store: `config/main` and the entries of kind `servers`. */
class store {
public:
    explicit store(const std::string& ip) : port{ip, [this](connection& from) { this->serve(from); }} {}

    [[nodiscard]] const std::string& endpoint() const { return this->port.endpoint(); }

    /*! Writes the configuration; `spec` is the content as JSON. */
    void put_config(const std::string& spec) {
        const std::lock_guard lock{this->mutex};
        ++this->revision;
        this->config = "{\"metadata\":{\"name\":\"main\",\"revision\":" + std::to_string(this->revision) +
                       ",\"created\":1,\"finalizers\":[],\"pending_delete\":false},\"spec\":" + spec +
                       ",\"status\":null}";
    }

    void put_server(const std::string& id, const std::string& service, const std::string& address) {
        const std::lock_guard lock{this->mutex};
        ++this->revision;
        this->servers[id] = "{\"metadata\":{\"name\":\"" + id + "\",\"revision\":" + std::to_string(this->revision) +
                            ",\"created\":1,\"finalizers\":[],\"pending_delete\":false},\"spec\":{\"service\":\"" +
                            service + "\",\"address\":\"" + address +
                            "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
                            "\"warmup_s_time\":0,\"sequence\":1,\"born\":1700000000000},\"status\":null}";
    }

private:
    [[nodiscard]] std::string answer(const std::string& path) {
        const std::lock_guard lock{this->mutex};
        if (path.starts_with("/v1/objects/servers")) {
            std::string items{};
            for (const auto& [id, object] : this->servers) {
                items += (items.empty() ? "" : ",") + object;
            }
            return json_reply(200, "{\"items\":[" + items + "],\"has_more\":false,\"store_revision\":" +
                                       std::to_string(this->revision) + "}");
        }
        return path.starts_with("/v1/objects/config/main") && !this->config.empty() ? json_reply(200, this->config)
                                                                                    : json_reply(404, "{}");
    }

    void serve(connection& from) {
        for (;;) {
            message request{};
            if (!from.read(request, steady::now() + idle_time)) {
                return;
            }
            pause_for(milliseconds{4});
            if (!from.send(this->answer(request.path()))) {
                return;
            }
        }
    }

    std::mutex mutex{};
    std::uint64_t revision{7};
    std::string config{};
    std::map<std::string, std::string> servers{};
    server port;
};

/*! Returns a route of the configuration as JSON. */
inline std::string route(const std::string& name, const std::string& prefix, const std::string& kind,
                         const std::string& service, const double timeout_s, const int attempts) {
    std::ostringstream text{};
    text << R"({"name":")" << name << R"(","host":"shop.example","path_prefix":")" << prefix << R"(","kind":")" << kind
         << R"(","timeout_s":)" << timeout_s << R"(,"latency_goal_s":0.3,"priority":1,"service":")" << service
         << R"(","attempts":)" << attempts << "}";
    return text.str();
}

/*! Returns a configuration as JSON. */
inline std::string config(const int version, const std::vector<std::string>& routes, const std::string& service) {
    std::string list{};
    for (const auto& item : routes) {
        list += (list.empty() ? "" : ",") + item;
    }
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + list + "],\"services\":[{\"name\":\"" +
           service +
           "\",\"health_path\":\"/health\",\"max_conns\":220}],\"limits\":{\"max_header_bytes\":16384,"
           "\"max_body_bytes\":1048576,\"header_timeout_s\":5,\"idle_timeout_s\":30}}";
}

/*! Upstream that registers in the store, answers health checks and hands each other request to `work`. */
class upstream {
public:
    /*! Returns false to close the connection. */
    using worker = std::function<bool(upstream& self, connection& from, message& request)>;
    /*! Health answer; where absent, 200 with the load. */
    using health = std::function<bool(upstream& self, connection& from)>;

    upstream(store& platform, const std::string& ip, std::string name, std::string of, worker action,
             const bool reads_body = true, const int receive_buffer = 0, health probe = {})
        : id{std::move(name)}, service{std::move(of)}, work{std::move(action)}, answer_health{std::move(probe)},
          whole{reads_body}, port{ip, [this](connection& from) { this->serve(from); }, receive_buffer} {
        platform.put_server(this->id, this->service, this->port.endpoint());
    }

    /*! Returns the head of an answer to a request, with the stamp and the load. */
    [[nodiscard]] std::string head(const std::string& request_id, const std::string& status = "200 OK") const {
        return "HTTP/1.1 " + status + "\r\nMangopulley-Request-Id: " + request_id +
               "\r\nMangopulley-Response-Stamp: 3e1b." + this->id + "." + request_id +
               "\r\nMangopulley-Server-Load: " + this->load() + "\r\n";
    }
    [[nodiscard]] std::string load() const { return std::to_string(this->running.load()) + ",0,2,100"; }

    const std::string id;
    const std::string service;
    std::atomic<int> running{0};

private:
    void serve(connection& from) {
        for (;;) {
            message request{};
            if (!from.read_head(request, steady::now() + idle_time)) {
                return;
            }
            if (request.path() == "/health") {
                if (this->answer_health ? !this->answer_health(*this, from)
                                        : !from.send("HTTP/1.1 200 OK\r\nMangopulley-Instance-Id: " + this->id +
                                                     "\r\nMangopulley-Server-Load: " + this->load() +
                                                     "\r\nContent-Length: 0\r\n\r\n")) {
                    return;
                }
                continue;
            }
            if (this->whole && !from.read_body(request, steady::now() + idle_time)) {
                return;
            }
            if (request.id().empty()) {
                if (!from.send("HTTP/1.1 400 Bad Request\r\nMangopulley-Not-Executed: 1\r\nMangopulley-Server-Load: " +
                               this->load() + "\r\nContent-Length: 0\r\n\r\n")) {
                    return;
                }
                continue;
            }
            if (!request.field("mangopulley-target-instance").empty() &&
                request.field("mangopulley-target-instance") != this->id) {
                from.send("HTTP/1.1 421 Misdirected Request\r\nMangopulley-Instance-Id: " + this->id +
                          "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (!this->work(*this, from, request)) {
                return;
            }
        }
    }

    worker work;
    health answer_health;
    bool whole;
    server port;
};

inline void replace_all(std::string& text, const std::string& what, const std::string& with) {
    for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + with.size())) {
        text.replace(at, what.size(), with);
    }
}

/*! What the platform fills into the template of the deploy file for one machine. */
struct machine {
    std::string name{};
    std::string ip{};
    std::string front{};
    std::string ready{};
    std::string directory{};
};

/*! Process of the deploy file's role on one loopback address. */
class gateway {
public:
    gateway(machine where, const std::string& store_endpoint, const std::vector<std::string>& seeds,
            const std::string& folder, const double grace_s)
        : place{std::move(where)}, settings{folder + "/" + this->place.name + ".yaml"}, output{folder + "/" +
                                                                                               this->place.name +
                                                                                               ".log"} {
        std::ifstream source{"deploy/settings.yaml"};
        std::string text{std::istreambuf_iterator<char>{source}, {}};
        std::string list{};
        for (const auto& seed : seeds) {
            list += (list.empty() ? "\"" : ",\"") + seed + "\"";
        }
        const auto quoted = [](const std::string& value) { return "\"" + value + "\""; };
        std::ostringstream grace{};
        grace << grace_s;
        const std::vector<std::pair<std::string, std::string>> values{
            {"{{node_name|json}}", quoted(this->place.name)},
            {"{{ip|json}}", quoted(this->place.ip)},
            {"{{zone|json}}", quoted("zone-a")},
            {"{{region|json}}", quoted("region-a")},
            {"{{limits.cpu_share}}", "0.2"},
            {"{{limits.cpu_cores}}", "1"},
            {"{{limits.memory_mb}}", "260"},
            {"{{listen.front|json}}", quoted(this->place.front)},
            {"{{listen.ready|json}}", quoted(this->place.ready)},
            {"{{listen.directory|json}}", quoted(this->place.directory)},
            {"{{ip}}", this->place.ip},
            {"{{internal_ports.0}}", "7540"},
            {"{{seeds|json}}", "[" + list + "]"},
            {"{{platform.address|json}}", quoted(store_endpoint)},
            {"{{bounds.grace_s}}", grace.str()},
            {"{{bounds.ttl_max_s}}", "5"},
            {"{{bounds.retry_ratio}}", "0.2"},
            {"{{bounds.retry_slack}}", "58"},
            {"{{bounds.retry_window_s}}", "10"},
            {"{{bounds.probes_per_s}}", "60"},
            {"{{heartbeat_s}}", "1.5"}};
        for (const auto& [what, with] : values) {
            replace_all(text, what, with);
        }
        if (text.find("{{") != std::string::npos) {
            throw cannot_run{"the template of the deploy file has a field that this stand-in does not know"};
        }
        std::ofstream{this->settings} << text;
        this->start();
    }
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway() {
        if (this->pid > 0) {
            ::kill(this->pid, SIGKILL);
            ::waitpid(this->pid, nullptr, 0);
        }
    }

    void signal(const int number) const { ::kill(this->pid, number); }

    [[nodiscard]] bool ready() const {
        const auto port = connection::open(this->place.ready);
        message answer{};
        return port && port->send("GET /v1/ready HTTP/1.1\r\nHost: " + this->place.ready + "\r\n\r\n") &&
               port->read(answer, steady::now() + milliseconds{500}) && answer.status() == 200;
    }

    /*! Returns whether the process has ended, and how. */
    [[nodiscard]] bool ended(int& status) {
        if (this->pid > 0 && ::waitpid(this->pid, &status, WNOHANG) == this->pid) {
            this->pid = -1;
        }
        return this->pid < 0;
    }

    const machine place;

private:
    void start() {
        this->pid = ::fork();
        if (this->pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("MANGOPULLEY_SETTINGS", this->settings.c_str(), 1);
            const int log = ::open(this->output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::execl("target/mangopulley", "target/mangopulley", "gateway", nullptr);
            ::_exit(127);
        }
    }

    std::string settings;
    std::string output;
    pid_t pid{-1};
};

/*! Small deployment: a store and some gateways on loopback addresses of their own. */
class deployment {
public:
    deployment(std::string prefix, std::string where, const std::size_t count, const double grace_s = 6.0)
        : net{std::move(prefix)}, folder{std::move(where)}, platform{this->net + ".200"}, machines{count},
          grace{grace_s} {}

    [[nodiscard]] store& objects() { return this->platform; }
    [[nodiscard]] std::string upstream_ip() const { return this->net + ".100"; }
    [[nodiscard]] std::vector<std::unique_ptr<gateway>>& gateways() { return this->all; }

    /*! Starts the gateways and waits until all are ready; `meanwhile` runs once they have been started. */
    void start(const std::function<void()>& meanwhile = {}) {
        std::vector<std::string> seeds{};
        for (std::size_t index = 0U; index < std::min<std::size_t>(this->machines, 3U); ++index) {
            seeds.push_back(this->ip(index) + ":8544");
        }
        for (std::size_t index = 0U; index < this->machines; ++index) {
            const auto ip = this->ip(index);
            this->all.push_back(std::make_unique<gateway>(
                machine{"front-zone-a-" + std::to_string(index + 1U), ip, ip + ":8548", ip + ":8542", ip + ":8546"},
                this->platform.endpoint(), seeds, this->folder, this->grace));
        }
        if (meanwhile) {
            meanwhile();
        }
        const auto until = steady::now() + milliseconds{15'000};
        for (auto& node : this->all) {
            while (!node->ready()) {
                if (steady::now() > until) {
                    throw cannot_run{"a gateway does not get ready"};
                }
                pause_for(milliseconds{100});
            }
        }
        // Introductions and the first lists reach all gateways.
        pause_for(milliseconds{2'500});
    }

    /*! Asks a directory which addresses to use. */
    [[nodiscard]] std::vector<std::string> resolve(double& ttl_s) {
        const auto& at = this->all.front()->place.directory;
        const auto port = connection::open(at);
        message answer{};
        if (!port ||
            !port->send("GET /v1/resolve?name=shop.example&region=region-a&zone=zone-a HTTP/1.1\r\nHost: " + at +
                        "\r\n\r\n") ||
            !port->read(answer, steady::now() + milliseconds{1'000}) || answer.status() != 200) {
            throw cannot_run{"no answer of a directory"};
        }
        ttl_s = std::atof(answer.body.c_str() + answer.body.find("\"ttl_s\":") + 8U);
        std::vector<std::string> found{};
        const auto list = answer.body.substr(answer.body.find('[') + 1U);
        std::istringstream items{list.substr(0U, list.find(']'))};
        for (std::string item{}; std::getline(items, item, ',');) {
            found.push_back(item.substr(1U, item.size() - 2U));
        }
        return found;
    }

    [[nodiscard]] gateway& at(const std::string& front) {
        for (auto& node : this->all) {
            if (node->place.front == front) {
                return *node;
            }
        }
        throw cannot_run{"an address of no gateway"};
    }

private:
    [[nodiscard]] std::string ip(const std::size_t index) const { return this->net + "." + std::to_string(index + 1U); }

    std::string net;
    std::string folder;
    store platform;
    std::size_t machines;
    double grace;
    std::vector<std::unique_ptr<gateway>> all{};
};

/*! Returns the head of a consumer's request. */
inline std::string request_head(const std::string& method, const std::string& path, const std::string& id,
                                const int deadline_ms, const std::size_t length = 0U) {
    std::string head = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nMangopulley-Request-Id: " + id +
                       "\r\nMangopulley-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (method != "GET" && method != "HEAD") {
        head += "Content-Length: " + std::to_string(length) + "\r\n";
    }
    return head + "\r\n";
}

/*! Runs a case: main(argc, argv) of each program. Arguments: the record and a temporary folder. */
inline int
run(const int argc, char** argv,
    const std::function<int(record& log, const std::string& net, const std::string& folder, bool trouble)>& body) {
    ::signal(SIGPIPE, SIG_IGN);
    if (argc < 3) {
        std::cerr << "usage: " << argv[0] << " RECORD FOLDER\n";
        return could_not_run;
    }
    const char* trouble = std::getenv("TROUBLE");
    // An own part of the loopback range, so that runs beside each other do not meet.
    const auto number = static_cast<unsigned>(::getpid());
    const auto net = "127." + std::to_string(10U + number / 250U % 200U) + "." + std::to_string(1U + number % 250U);
    try {
        record log{argv[1]};
        const int result = body(log, net, argv[2], trouble == nullptr || std::string{trouble} != "0");
        log.line(result == rule_held ? "RESULT rule held" : "RESULT rule broken");
        return result;
    } catch (const std::exception& error) {
        std::cerr << "could not run: " << error.what() << '\n';
        return could_not_run;
    }
}

} // namespace review

#endif

// Stand-ins of the second review: store, upstreams, consumers and the start of the project's own processes.
// Plain sockets and threads on loopback addresses; needs a C++20 compiler only.
#pragma once

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

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rv {

using steady = std::chrono::steady_clock;

inline const steady::time_point began = steady::now();

/// Seconds since the start of the case.
inline double now() { return std::chrono::duration<double>(steady::now() - began).count(); }
inline void pass(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }
inline long unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}
inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

/// Record of what was sent, answered and run.
class record {
public:
    explicit record(const std::string& path) : file{path} {}
    void line(const std::string& text) {
        const std::lock_guard lock{guard};
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f ", now());
        file << stamp << text << '\n';
    }
    void summary(const std::string& text) {
        line("== " + text);
        std::printf("%s\n", text.c_str());
    }

private:
    std::mutex guard;
    std::ofstream file;
};

/// Loopback address of this run; different runs use different ones.
inline std::string address(int number) {
    return "127." + std::to_string(40 + ::getpid() / 250 % 150) + "." + std::to_string(::getpid() % 250 + 1) + "." +
           std::to_string(number);
}

inline sockaddr_in socket_address(const std::string& ip, int port) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

inline int listen_on(const std::string& ip, int& port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    auto name = socket_address(ip, port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 || ::listen(fd, 512) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t size = sizeof name;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
    port = ntohs(name.sin_port);
    return fd;
}

/// Request or response head.
struct head {
    std::string first;
    std::map<std::string, std::string> fields;
    std::string get(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string{} : found->second;
    }
    std::string word(int number) const {
        std::istringstream words{first};
        std::string found;
        for (int index = 0; index <= number; ++index) {
            found.clear();
            words >> found;
        }
        return found;
    }
};

/// Blocking connection.
class connection {
public:
    explicit connection(int socket = -1) : fd{socket} {
        if (fd >= 0) {
            const int yes = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        }
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(); }

    static int open(const std::string& ip, int port) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto name = socket_address(ip, port);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0) {
            ::close(fd);
            return -1;
        }
        return fd;
    }
    void close() {
        if (fd >= 0) {
            ::close(std::exchange(fd, -1));
        }
    }
    void reset() {
        if (fd >= 0) {
            const linger now{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            close();
        }
    }
    /// Longest time that a read waits.
    void limit(double seconds) {
        timeval time{static_cast<time_t>(seconds), static_cast<suseconds_t>((seconds - static_cast<long>(seconds)) * 1e6)};
        ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    }
    bool send(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    bool fill() {
        char part[65536];
        const auto count = ::recv(fd, part, sizeof part, 0);
        if (count <= 0) {
            failure = count == 0 ? "closed" : errno == EAGAIN ? "no answer" : "reset";
            return false;
        }
        buffer.append(part, static_cast<std::size_t>(count));
        return true;
    }
    bool read_head(head& found) {
        std::size_t end;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        std::istringstream lines{buffer.substr(0, end)};
        buffer.erase(0, end + 4);
        found = head{};
        std::string line;
        std::getline(lines, line);
        found.first = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            for (auto& letter : name) {
                letter = static_cast<char>(std::tolower(letter));
            }
            const auto start = line.find_first_not_of(" \t", colon + 1);
            std::string value = start == std::string::npos ? "" : line.substr(start);
            while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
                value.pop_back();
            }
            found.fields.emplace(name, value);
        }
        return true;
    }
    bool read_exactly(std::size_t bytes, std::string& body) {
        while (buffer.size() < bytes) {
            if (!fill()) {
                return false;
            }
        }
        body = buffer.substr(0, bytes);
        buffer.erase(0, bytes);
        return true;
    }
    bool read_line(std::string& line) {
        std::size_t end;
        while ((end = buffer.find("\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        line = buffer.substr(0, end);
        buffer.erase(0, end + 2);
        return true;
    }
    bool read_body(const head& from, std::string& body) {
        body.clear();
        if (from.get("transfer-encoding") == "chunked") {
            std::string line, part;
            while (read_line(line)) {
                const auto size = std::strtoul(line.c_str(), nullptr, 16);
                if (size == 0) {
                    return read_line(line);
                }
                if (!read_exactly(size, part) || !read_line(line)) {
                    return false;
                }
                body += part;
            }
            return false;
        }
        const auto length = from.get("content-length");
        return length.empty() || read_exactly(std::strtoul(length.c_str(), nullptr, 10), body);
    }

    int fd;
    std::string buffer;
    std::string failure;
    /// Refusal of a status check that was sent on this connection; empty if none was.
    std::string refused_check;
};

/// Server with a thread for each connection; a connection ends when its handler returns.
class server {
public:
    using handler = std::function<void(connection& from)>;
    server(const std::string& own_ip, handler serve, int own_port = 0) : ip{own_ip}, port{own_port}, action{std::move(serve)} {
        fd = listen_on(ip, port);
        acceptor = std::thread{[this] { accept(); }};
    }
    ~server() { stop(); }
    /// Ends the server and resets its connections, as the end of a process does.
    void stop() {
        if (stopping.exchange(true)) {
            return;
        }
        ::shutdown(fd, SHUT_RDWR);
        acceptor.join();
        ::close(fd);
        {
            const std::lock_guard lock{guard};
            for (const int open : sockets) {
                ::shutdown(open, SHUT_RDWR);
            }
        }
        while (running > 0) {
            pass(0.002);
        }
    }
    std::string endpoint() const { return ip + ":" + std::to_string(port); }

    std::string ip;
    int port;

private:
    void accept() {
        while (!stopping) {
            const int open = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (open < 0) {
                continue;
            }
            ++running;
            {
                const std::lock_guard lock{guard};
                sockets.insert(open);
            }
            std::thread{[this, open] {
                {
                    connection from{open};
                    action(from);
                    const std::lock_guard lock{guard};
                    sockets.erase(open);
                }
                --running;
            }}.detach();
        }
    }

    handler action;
    int fd{-1};
    std::thread acceptor;
    std::atomic<bool> stopping{};
    std::atomic<int> running{};
    std::mutex guard;
    std::set<int> sockets;
};

/// The platform's store: objects by kind and name, read by the system and written by the case.
class store {
public:
    explicit store(const std::string& ip) : port{ip, [this](connection& from) { serve(from); }} {}
    /// Serves the same objects at another address, too.
    std::unique_ptr<server> also_at(const std::string& ip) {
        return std::make_unique<server>(ip, [this](connection& from) { serve(from); });
    }

    /// Writes an object; returns the time of the acknowledgement.
    double put(const std::string& kind, const std::string& name, const std::string& spec) {
        const std::lock_guard lock{guard};
        ++revision;
        objects[kind][name] = R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
                              R"(,"created":1,"finalizers":[],"pending_delete":false},"spec":)" + spec +
                              R"(,"status":null})";
        return now();
    }
    double remove(const std::string& kind, const std::string& name) {
        const std::lock_guard lock{guard};
        ++revision;
        objects[kind].erase(name);
        return now();
    }

    server port;

private:
    void serve(connection& from) {
        head request;
        while (from.read_head(request)) {
            const auto path = request.word(1);
            const auto plain = path.substr(0, path.find('?'));
            int status = 404;
            std::string body = "{}";
            {
                const std::lock_guard lock{guard};
                const std::string base = "/v1/objects/";
                const auto rest = plain.starts_with(base) ? plain.substr(base.size()) : std::string{};
                const auto slash = rest.find('/');
                if (!rest.empty() && slash == std::string::npos) {
                    status = 200;
                    body = R"({"items":[)";
                    bool first = true;
                    for (const auto& [name, object] : objects[rest]) {
                        body += (first ? "" : ",") + object;
                        first = false;
                    }
                    body += R"(],"has_more":false,"store_revision":)" + std::to_string(revision) + "}";
                } else if (!rest.empty()) {
                    const auto& kind = objects[rest.substr(0, slash)];
                    const auto found = kind.find(rest.substr(slash + 1));
                    if (found != kind.end()) {
                        status = 200;
                        body = found->second;
                    }
                }
            }
            if (!from.send("HTTP/1.1 " + std::to_string(status) +
                           " X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    std::mutex guard;
    std::uint64_t revision{100};
    std::map<std::string, std::map<std::string, std::string>> objects;
};

/// Route of a configuration.
inline std::string route(const std::string& prefix, const std::string& kind, const std::string& service,
                         double timeout_s, int attempts) {
    std::ostringstream text;
    text << R"({"name":"r)" << prefix << R"(","host":"h.example","path_prefix":")" << prefix << R"(","kind":")" << kind
         << R"(","timeout_s":)" << timeout_s << R"(,"latency_goal_s":0.3,"priority":1,"attempts":)" << attempts
         << R"(,"service":")" << service << "\"}";
    return text.str();
}

inline std::string config(int version, const std::string& routes, const std::vector<std::string>& services) {
    std::string list;
    for (const auto& name : services) {
        list += (list.empty() ? "" : ",") + (R"({"name":")" + name + R"(","health_path":"/health","max_conns":220})");
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[)" + list +
           R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}})";
}

/// Instance of the system, started with the command of the deploy file.
class gateway {
public:
    gateway(const std::string& own_ip, const std::vector<std::string>& seeds, const store& platform,
            const std::string& own_folder)
        : ip{own_ip}, folder{own_folder} {
        int taken = 0;
        ::close(listen_on(ip, taken));
        front = taken;
        ready_port = other_port();
        directory = other_port();
        peer = 7540;
        for (const auto& seed : seeds) {
            seed_list += (seed_list.empty() ? "" : ", ") + ("\"" + seed + ":8544\"");
        }
        write_settings(platform.port.endpoint());
    }
    /// Writes the settings as the template of the deploy file gives them; a reader sees the old or the new file.
    void write_settings(const std::string& store_endpoint) const {
        const auto next = settings() + ".next";
        std::ofstream{next} << "instance:\n  name: \"front-" << ip.substr(ip.rfind('.') + 1) << "\"\n  ip: \"" << ip
                            << "\"\n  zone: \"z-a\"\n  region: \"r\"\n  cpu_share: 0.2\n  cpu_cores: 1\n  memory_mb: 260\n"
                            << "listen:\n  callers: \"" << ip << ":" << front << "\"\n  readiness: \"" << ip << ":"
                            << ready_port << "\"\n  directory: \"" << ip << ":" << directory << "\"\n  operators: \""
                            << ip << ":9464\"\npeers:\n  port: " << peer << "\n  seeds: [" << seed_list
                            << "]\nplatform:\n  name: objects\n  store: \"" << store_endpoint
                            << "\"\nbounds:\n  stop_s: 6\n  lifetime_s: 5\n  repeat_ratio: 0.2\n  repeat_slack: 56\n"
                            << "  repeat_window_s: 10\n  probes_per_s: 60\n  target_heartbeat_s: 1.5\n";
        std::filesystem::rename(next, settings());
    }
    ~gateway() { kill(); }

    std::string settings() const { return folder + "/settings-" + ip + ".yaml"; }
    std::string log() const { return folder + "/log-" + ip + ".txt"; }
    void start() {
        pid = ::fork();
        if (pid == 0) {
            // Ends with the case, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log().c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("MANGOPULLEY_SETTINGS", settings().c_str(), 1);
            ::execl("target/mangopulley", "target/mangopulley", "gateway", static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }
    void signal(int number) const { ::kill(pid, number); }
    void kill() {
        if (pid > 0) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
            pid = -1;
        }
    }
    /// Returns whether the process has ended by itself.
    bool ended() {
        if (pid > 0 && ::waitpid(pid, nullptr, WNOHANG) == pid) {
            pid = -1;
        }
        return pid < 0;
    }
    bool is_ready() const {
        connection to{connection::open(ip, ready_port)};
        head found;
        if (to.fd < 0) {
            return false;
        }
        to.limit(1.0);
        return to.send("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n") && to.read_head(found) && found.word(1) == "200";
    }
    bool await_ready(double seconds) const {
        for (const double end = now() + seconds; now() < end; pass(0.05)) {
            if (is_ready()) {
                return true;
            }
        }
        return false;
    }

    std::string ip;
    std::string folder;
    int front{};
    int ready_port{};
    int directory{};
    int peer{};
    std::string seed_list;
    pid_t pid{-1};

private:
    int other_port() const {
        int taken = 0;
        ::close(listen_on(ip, taken));
        return taken;
    }
};

/// Answer that a consumer got; status 0 if there was none.
struct answer {
    int status{};
    std::string stamp;
    std::string body;
    std::string failure;
};

/// Sends one request on a new connection, as many consumers do.
inline answer ask(const std::string& ip, int port, const std::string& method, const std::string& path,
                  const std::string& id, int deadline_ms, const std::string& body) {
    answer result;
    connection to{connection::open(ip, port)};
    if (to.fd < 0) {
        result.failure = "not connected";
        return result;
    }
    to.limit(deadline_ms / 1000.0 + 0.5);
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nMangopulley-Request-Id: " + id +
                       "\r\nMangopulley-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    head found;
    if (!to.send(text + "\r\n" + body) || !to.read_head(found) || !to.read_body(found, result.body)) {
        result.failure = to.failure.empty() ? "reset" : to.failure;
        return result;
    }
    result.status = std::atoi(found.word(1).c_str());
    result.stamp = found.get("mangopulley-response-stamp");
    return result;
}

/// Arrival of a request at an upstream.
struct arrival {
    double time;
    std::string id;
};

/// Upstream that answers each request after its work, and says so in its answers when it leaves.
class upstream {
public:
    /// Decides about a request before the usual work; returns whether it has answered.
    using special = std::function<bool(upstream& self, connection& from, const std::string& request_id)>;

    upstream(const std::string& ip, std::string own_id, std::string own_service, double work, record& into)
        : id{std::move(own_id)}, service{std::move(own_service)}, work_s{work}, out{into},
          port{std::make_unique<server>(ip, [this](connection& from) { serve(from); })} {}

    /// Returns the entry that the upstream writes into the store.
    std::string entry(int sequence, const std::string& state) const {
        return R"({"service":")" + service + R"(","address":")" + port->endpoint() +
               R"(","zone":"z-a","version":"v1","slots":2,"state":")" + state +
               R"(","warmup_s_time":0,"sequence":)" + std::to_string(sequence) + R"(,"born":)" + std::to_string(born) +
               "}";
    }
    std::vector<arrival> arrived() {
        const std::lock_guard lock{guard};
        return arrivals;
    }
    /// Starts again under the same id after its server was stopped.
    void start_again() {
        const auto ip = port->ip;
        port = std::make_unique<server>(ip, [this](connection& from) { serve(from); });
        born = unix_ms();
        leaving = false;
    }
    std::string field(const std::string& request_id) const {
        return "Mangopulley-Request-Id: " + request_id + "\r\nMangopulley-Response-Stamp: s-" + id + "\r\n";
    }

    std::string id;
    std::string service;
    double work_s;
    record& out;
    special behave{};
    bool tells_load{};
    /// Each how many status checks one is refused, as other callers have taken all slots; 0 for none.
    int refused_checks{};
    std::atomic<int> checks{};
    long born{unix_ms()};
    std::atomic<bool> leaving{};
    std::atomic<int> at_work{};
    std::unique_ptr<server> port;

private:
    void serve(connection& from) {
        head request;
        std::string body;
        while (from.read_head(request) && from.read_body(request, body)) {
            const std::string load =
                tells_load ? "Mangopulley-Server-Load: " + std::to_string(at_work.load()) + ",0,2,100\r\n" : "";
            const std::string mark = load + (leaving ? "Server-Leaving: 1\r\n" : "");
            if (request.word(1) == "/health" && refused_checks > 0 && ++checks % refused_checks == 0) {
                from.refused_check = "HTTP/1.1 503 Service Unavailable\r\nMangopulley-Not-Executed: 1\r\n" + mark +
                                     "Content-Length: 0\r\n\r\n";
                from.send(from.refused_check);
                continue;
            }
            if (request.word(1) == "/health") {
                from.send("HTTP/1.1 " + std::string{leaving ? "503" : "200"} + " X\r\nMangopulley-Instance-Id: " + id +
                          "\r\n" + mark + "Content-Length: 0\r\n\r\n");
                continue;
            }
            const auto request_id = request.get("mangopulley-request-id");
            if (request.get("mangopulley-target-instance") != id) {
                from.send("HTTP/1.1 421 X\r\nMangopulley-Request-Id: " + request_id +
                          "\r\nMangopulley-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            {
                const std::lock_guard lock{guard};
                arrivals.push_back({now(), request_id});
            }
            out.line("runs " + request_id + " at " + id);
            ++at_work;
            const bool answered = behave && behave(*this, from, request_id);
            if (!answered) {
                pass(work_s);
                const std::string text = "ran " + request_id;
                from.send("HTTP/1.1 200 OK\r\n" + field(request_id) + mark +
                          "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
            }
            --at_work;
            if (from.fd < 0) {
                return;
            }
        }
    }

    std::mutex guard;
    std::vector<arrival> arrivals;
};

/// Consumers that send requests one after the other, each on a new connection.
class crowd {
public:
    crowd(std::vector<gateway*> fronts, record& into) : gateways{std::move(fronts)}, out{into} {}
    ~crowd() { end(); }
    void begin(int count, const std::string& method, const std::string& path, int deadline_ms, double pause) {
        for (int number = 0; number < count; ++number) {
            threads.emplace_back([=, this] {
                for (int turn = 0; !stop; ++turn) {
                    const auto request_id = "c" + std::to_string(number) + "-" + std::to_string(turn);
                    auto& to = *gateways[static_cast<std::size_t>(number + turn) % gateways.size()];
                    {
                        const std::lock_guard lock{guard};
                        sent[request_id] = now();
                    }
                    const auto got = ask(to.ip, to.front, method, path, request_id, deadline_ms, method == "GET" ? "" : "order");
                    out.line("answer " + std::to_string(got.status) + " " + got.failure + " to " + request_id);
                    {
                        const std::lock_guard lock{guard};
                        told[request_id] = got;
                    }
                    pass(got.status == 200 ? pause : std::max(pause, 0.1));
                }
            });
        }
    }
    void end() {
        stop = true;
        for (auto& item : threads) {
            item.join();
        }
        threads.clear();
    }

    /// Returns when a request was sent; 0 for one that was not.
    double time_of(const std::string& request_id) {
        const std::lock_guard lock{guard};
        const auto found = sent.find(request_id);
        return found == sent.end() ? 0.0 : found->second;
    }
    /// Returns the status of the answer to a request; 0 for none.
    int answer_to(const std::string& request_id) {
        const std::lock_guard lock{guard};
        const auto found = told.find(request_id);
        return found == told.end() ? 0 : found->second.status;
    }

    std::map<std::string, double> sent;
    std::map<std::string, answer> told;

private:
    std::vector<gateway*> gateways;
    record& out;
    std::mutex guard;
    std::atomic<bool> stop{};
    std::vector<std::thread> threads;
};

} // namespace rv

// LOST: after SIGTERM, a request at which its upstream is at work is cut before the end of `grace_s`.
#include "harness.hh"

using namespace review;

namespace {

constexpr double grace_s = 6.0;
constexpr milliseconds sent_after{3'500};
constexpr milliseconds work_time{2'300};

} // namespace

int main(int argc, char** argv) {
    return run(argc, argv, [](record& log, const std::string& net, const std::string& folder, const bool trouble) {
        deployment system{net, folder, 3U, grace_s};
        std::atomic<steady::time_point> finished{};
        const auto work = [&log, &finished](upstream& self, connection& from, message& request) {
            ++self.running;
            log.line("upstream " + self.id + " runs " + request.id());
            pause_for(work_time);
            --self.running;
            finished = steady::now();
            const bool sent = from.send(self.head(request.id()) + "Content-Length: 4\r\n\r\ndone");
            log.line("upstream " + self.id + " answers " + request.id() + (sent ? "" : " in vain"));
            return true;
        };
        upstream first{system.objects(), system.upstream_ip(), "i-0001", "orders", work};
        upstream second{system.objects(), system.upstream_ip(), "i-0002", "orders", work};
        system.objects().put_config(
            config(3, {route("r-1", "/orders/", "non_idempotent", "orders", 2.5, 2)}, "orders"));
        system.start();

        double ttl{};
        const auto asked = steady::now();
        const auto front = system.resolve(ttl).front();
        log.line("a directory names " + front + " for " + std::to_string(ttl) + " s; this consumer keeps it " +
                 std::to_string(3.0 * ttl) + " s");
        auto& node = system.at(front);
        const auto began = steady::now();
        if (trouble) {
            node.signal(SIGTERM);
            log.line("SIGTERM to " + node.place.name);
        }
        std::this_thread::sleep_until(began + sent_after);
        if (std::chrono::duration<double>(steady::now() - asked).count() > 3.0 * ttl) {
            throw cannot_run{"the answer of the directory is too old"};
        }
        const auto caller = connection::open(front);
        if (!caller) {
            throw cannot_run{"no connection to the gateway"};
        }
        const std::string id{"bb00000000000001"};
        caller->send(request_head("POST", "/orders/1", id, 2'500, 4U) + "body");
        log.line("consumer sends " + id + " " +
                 std::to_string(std::chrono::duration<double>(steady::now() - began).count()) + " s after the SIGTERM");
        message answer{};
        const bool complete = caller->read(answer, steady::now() + milliseconds{4'000});
        const double ended_s = std::chrono::duration<double>(steady::now() - began).count();
        log.line("consumer gets for " + id + ": " + (answer.first.empty() ? "nothing" : answer.first) + ", " +
                 (complete ? "complete" : "the connection ends") + ", " + std::to_string(ended_s) +
                 " s after the SIGTERM");
        pause_for(milliseconds{800});
        const double finished_s = std::chrono::duration<double>(finished.load() - began).count();
        log.line("the upstream's work on it ended " + std::to_string(finished_s) + " s after the SIGTERM, grace_s is " +
                 std::to_string(grace_s));
        if (!complete && finished_s < grace_s) {
            log.line("BROKEN LOST: passed on to an upstream, and the connection ends without an answer");
            return rule_broken;
        }
        return rule_held;
    });
}

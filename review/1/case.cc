// TWICE: a late second answer to one request is taken for a probe's answer; the probe's answer then ends another one.
#include "harness.hh"

using namespace review;

namespace {

constexpr int upstreams = 5;
// Inside the largest dose of `garble`, `extra late`: a share of 0.6 of the upstreams, 0.03 of their answers.
constexpr int faulty_upstreams = 3;
constexpr int answers_per_extra = 34;
constexpr int requests = 400;
constexpr milliseconds work_time{30};

} // namespace

int main(int argc, char** argv) {
    return run(argc, argv, [](record& log, const std::string& net, const std::string& folder, const bool trouble) {
        deployment system{net, folder, 1U};
        std::mutex mutex{};
        std::map<std::string, int> runs{};
        std::map<std::string, int> answers{};
        int extras = 0;
        const auto work = [&](upstream& self, connection& from, message& request) {
            ++self.running;
            bool second = false;
            {
                const std::lock_guard lock{mutex};
                ++runs[request.id()];
                second = trouble && self.id <= "i-000" + std::to_string(faulty_upstreams) &&
                         ++answers[self.id] % answers_per_extra == 0;
                extras += second ? 1 : 0;
            }
            log.line("upstream " + self.id + " runs " + request.id());
            pause_for(work_time);
            --self.running;
            const auto answer = self.head(request.id()) + "Content-Length: 4\r\n\r\ndone";
            if (!from.send(answer)) {
                return false;
            }
            if (!second) {
                return true;
            }
            // The second answer comes late, at the point where the next one is expected.
            while (from.pending.empty()) {
                if (from.more(steady::now() + idle_time) != connection::got::bytes) {
                    return false;
                }
            }
            log.line("upstream " + self.id + " sends a second answer to " + request.id() + " before it answers '" +
                     from.pending.substr(0U, from.pending.find('\r')) + "'");
            if (!from.send(answer)) {
                return false;
            }
            pause_for(milliseconds{6});
            return true;
        };
        std::vector<std::unique_ptr<upstream>> all{};
        for (int number = 1; number <= upstreams; ++number) {
            all.push_back(std::make_unique<upstream>(system.objects(), system.upstream_ip(),
                                                     "i-000" + std::to_string(number), "orders", work));
        }
        // The first configuration is written before traffic starts, here 2 s after the start of the machine.
        system.start([&system, &log] {
            pause_for(milliseconds{2'000});
            system.objects().put_config(
                config(3, {route("r-1", "/orders/", "non_idempotent", "orders", 2.0, 3)}, "orders"));
            log.line("the operator writes the first configuration");
        });
        double ttl{};
        const auto front = system.resolve(ttl).front();
        for (int number = 1; number <= requests; ++number) {
            const auto caller = connection::open(front);
            if (!caller) {
                throw cannot_run{"no connection to a gateway"};
            }
            char id[17];
            std::snprintf(id, sizeof id, "dd%014d", number);
            caller->send(request_head("POST", "/orders/1", id, 2'000, 4U) + "body");
            message answer{};
            const bool complete = caller->read(answer, steady::now() + milliseconds{4'000});
            log.line("consumer gets for " + std::string{id} + ": " + (complete ? answer.first : "nothing"));
            pause_for(milliseconds{30});
        }
        pause_for(milliseconds{300});
        const std::lock_guard lock{mutex};
        log.line(std::to_string(requests) + " requests, each with an id of its own; " + std::to_string(extras) +
                 " second answers");
        int broken = 0;
        for (const auto& [id, count] : runs) {
            if (count > 1) {
                log.line("BROKEN TWICE: " + id + ", not idempotent, ran " + std::to_string(count) + " times");
                ++broken;
            }
        }
        return broken == 0 ? rule_held : rule_broken;
    });
}

#include <chrono>
#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "common/event_loop.hpp"
#include "common/http_server.hpp"
#include "common/loop_thread.hpp"
#include "common/program.hpp"
#include "common/stop_signal.hpp"

namespace standin {

namespace {

/*! @brief Endpoint of the operators' director that records the alerts it receives. */
class director {
public:
    void handle(const http_request& request, const std::shared_ptr<http_connection>& connection) {
        if (request.method == "POST") {
            this->record(request);
            if (!this->never_answer) {
                connection->respond({this->status, "{}"});
            }
        } else if (request.method == "GET" && request.path == "/control/alerts") {
            connection->respond({200, this->alerts.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
        } else if (request.method == "PUT" && request.path == "/control") {
            const auto json = nlohmann::json::parse(request.body, nullptr, false);
            try {
                this->status = json.value("status", this->status);
                this->never_answer = json.value("never_answer", this->never_answer);
                connection->respond({200, "{}"});
            } catch (const nlohmann::json::exception& error) {
                connection->respond({400, error.what(), "text/plain", {}});
            }
        } else {
            connection->respond({404, {}, "text/plain", {}});
        }
    }

private:
    void record(const http_request& request) {
        const auto wall = std::chrono::system_clock::now().time_since_epoch();
        auto body = nlohmann::json::parse(request.body, nullptr, false);
        this->alerts.push_back({{"wall_ms", std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()},
                                {"path", request.path},
                                {"status", this->never_answer ? 0 : this->status},
                                {"body", body.is_discarded() ? nlohmann::json(request.body) : std::move(body)}});
    }

    int status{200};
    bool never_answer{};
    nlohmann::json alerts = nlohmann::json::array();
};

void run_director(int argc, char** argv) {
    TCLAP::CmdLine command{"Stand-in for the operators' director", ' ', "1"};
    command.setExceptionHandling(false);
    TCLAP::ValueArg<std::uint16_t> port{"", "port", "Port on 127.0.0.1", true, 0, "port", command};
    command.parse(argc, argv);
    block_stop_signals();
    event_loop loop{};
    director served{};
    const http_server server{
        loop,
        port.getValue(),
        {},
        [&served](const http_request& request, const std::shared_ptr<http_connection>& connection) {
            served.handle(request, connection);
        }};
    const loop_thread thread{loop};
    announce_ready();
    wait_for_stop_signal();
}

} // namespace

} // namespace standin

int main(int argc, char** argv) {
    return standin::run_program([&] { standin::run_director(argc, argv); });
}

#include "stop_signal.hpp"

#include <csignal>

namespace standin {

namespace {

[[nodiscard]] sigset_t stop_signals() {
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

} // namespace

void block_stop_signals() {
    const auto signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_stop_signal() {
    const auto signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace standin

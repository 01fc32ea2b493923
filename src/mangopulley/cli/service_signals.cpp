#include "service_signals.hpp"

#include <csignal>
#include <initializer_list>

namespace mangopulley {

namespace internal {

namespace {

void change_signal_mask(const int how) noexcept {
    sigset_t signals{};
    sigemptyset(&signals);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT}) {
        sigaddset(&signals, signal);
    }
    // Fails only for an unknown `how`.
    static_cast<void>(sigprocmask(how, &signals, nullptr));
}

} // namespace

} // namespace internal

void block_service_signals() noexcept {
    internal::change_signal_mask(SIG_BLOCK);
}

void unblock_service_signals() noexcept {
    internal::change_signal_mask(SIG_UNBLOCK);
}

} // namespace mangopulley

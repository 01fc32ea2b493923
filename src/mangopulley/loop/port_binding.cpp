#include "port_binding.hpp"

#include <chrono>
#include <utility>

#include <Poco/Exception.h>

namespace mangopulley {

namespace internal {

namespace {

constexpr duration port_retry_period{std::chrono::milliseconds{100}};

} // namespace

} // namespace internal

port_binding::port_binding(event_loop& owner, std::string local_address, open_function action)
    : loop{owner}, address{std::move(local_address)}, open{std::move(action)} {
    this->try_open();
}

port_binding::~port_binding() {
    this->loop.cancel(this->retry_timer);
}

const std::optional<port_error>& port_binding::failure() const noexcept {
    return this->last_failure;
}

void port_binding::try_open() {
    this->retry_timer = 0U;
    try {
        this->open();
        this->last_failure.reset();
    } catch (const Poco::Exception& error) {
        this->last_failure = port_error{this->address, error.displayText()};
        this->retry_timer = this->loop.after(internal::port_retry_period, [this] { this->try_open(); });
    }
}

} // namespace mangopulley

#pragma once

#include <memory>

#include "../settings/settings.hpp"

namespace mangopulley {

/*! @brief One entry instance: builds all parts from the settings and runs them. */
class entry_process {
public:
    /*! @brief Builds the parts; no port is opened before `start`. */
    explicit entry_process(settings configuration);
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;
    ~entry_process();

    /*! @brief Opens the ports and begins to serve; throws `Poco::Exception` when a port cannot be opened. */
    void start();

    /**
     * @brief Tells the others that this instance leaves, and serves until the address lists that name it have run out.
     * @param linger Time to go on serving; zero ends at once.
     */
    void leave(milliseconds linger);

    /*! @brief Answers the requests that have arrived, hands over what must last, and ends. */
    void stop() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

/**
 * @brief Time that a leaving instance goes on serving: the lifetime of address lists, 5 s, and the 2 s within which the
 * other instances have heard that it leaves and name it no more.
 */
inline constexpr milliseconds leaving_linger{7'000};

} // namespace mangopulley

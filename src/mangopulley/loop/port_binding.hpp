#pragma once

#include <functional>
#include <optional>

#include "../core/error.hpp"
#include "event_loop.hpp"

namespace mangopulley {

/**
 * @brief Keeps trying to open a local port.
 *
 * Another process may hold the port for a while: an earlier instance that is still stopping, or a connection with this
 * port as its local end. The process serves on its other ports meanwhile.
 */
class port_binding {
public:
    /*! @brief Opens the port; throws `Poco::Exception` when that fails. */
    using open_function = std::function<void()>;

    /**
     * @brief Tries to open the port, and tries again on the loop until it is open.
     * @param loop Event loop; must outlive the binding.
     * @param address Local address as `ip:port`, for errors.
     * @param open Opens the port.
     */
    port_binding(event_loop& loop, std::string address, open_function open);
    port_binding(const port_binding&) = delete;
    port_binding& operator=(const port_binding&) = delete;
    ~port_binding();

    /*! @brief Returns why the port is not open; nothing once it is. */
    [[nodiscard]] const std::optional<port_error>& failure() const noexcept;

private:
    void try_open();

    event_loop& loop;
    std::string address;
    open_function open;
    std::optional<port_error> last_failure{};
    timer_id retry_timer{};
};

} // namespace mangopulley

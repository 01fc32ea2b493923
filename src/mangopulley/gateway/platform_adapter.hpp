#pragma once

#include <functional>
#include <memory>
#include <string>

#include "../loop/event_loop.hpp"
#include "dialect.hpp"
#include "platform_client.hpp"

namespace mangopulley {

/*! @brief Platform-specific parts: the HTTP header dialect and the object store client. */
struct platform_adapter {
    std::unique_ptr<dialect> wire_dialect{};
    std::unique_ptr<platform_client> store{};
};

/*! @brief Creates the adapter of a platform; registered in `registry<platform_factory>` under the platform's name. */
using platform_factory = std::function<platform_adapter(event_loop& loop, const std::string& store_endpoint)>;

} // namespace mangopulley

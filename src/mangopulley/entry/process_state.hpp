#pragma once

#include <nlohmann/json_fwd.hpp>

#include "../catalogue/catalogue_holder.hpp"
#include "../http/http_server.hpp"
#include "../limit/admission.hpp"
#include "../membership/catalogue_freshness.hpp"
#include "../order/ledger.hpp"
#include "../order/order_archive.hpp"
#include "../order/witness_table.hpp"
#include "../peer/peer_server.hpp"
#include "../peer/tcp_peer_transport.hpp"
#include "../settings/settings.hpp"
#include "../store/http_store_client.hpp"
#include "service_table.hpp"

namespace mangopulley {

/**
 * @name Sections of the state dump.
 * Each reads a consistent snapshot of one part; times are ages in milliseconds.
 * @{
 */
[[nodiscard]] nlohmann::json describe_instance(const settings& configuration, const member& self);
[[nodiscard]] nlohmann::json describe_catalogue(const catalogue_holder& catalogue,
                                                const catalogue_freshness& freshness);
[[nodiscard]] nlohmann::json describe_services(const service_table& services);
[[nodiscard]] nlohmann::json describe_limits(const admission& limits, const share_table& shares,
                                             const alert_gate& alerts);
[[nodiscard]] nlohmann::json describe_orders(const ledger& records, const witness_table& witnesses,
                                             const order_archive& archive);
[[nodiscard]] nlohmann::json describe_ports(const http_server& callers, const http_server& operators);
[[nodiscard]] nlohmann::json describe_control(const http_store_client& store, const tcp_peer_transport& peers,
                                              const peer_server& port);
/*! @} */

} // namespace mangopulley

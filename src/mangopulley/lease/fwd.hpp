#pragma once

namespace mangopulley {

class lease_manager;
struct lease_error;
struct lease_grant;
struct lease_timing;

} // namespace mangopulley

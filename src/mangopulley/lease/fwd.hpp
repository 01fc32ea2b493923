#pragma once

namespace mangopulley {

class lease_keeper;
struct lease_error;
struct lease_grant;
struct lease_rule;

} // namespace mangopulley

#pragma once

namespace mangopulley {

class allowance_table;
class demand_meter;
class reporting_peers;
struct allowance_limit;
struct allowance_report;
struct allowance_rule;

} // namespace mangopulley

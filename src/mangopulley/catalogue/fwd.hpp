#pragma once

namespace mangopulley {

enum class work_class : unsigned char;
struct document;
struct kind_rule;
struct measuring_budget;
struct service_entry;
struct service_limits;
class document_holder;

} // namespace mangopulley

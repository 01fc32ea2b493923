#pragma once

namespace mangopulley {

enum class work_class : unsigned char;
struct catalogue_history;
struct catalogue_document;
struct catalogue_warning;
struct edit_limits;
struct edit_receipt;
struct edit_record;
struct edit_unknown_error;
struct field_changed;
struct kind_rule;
struct measuring_budget;
struct service_added;
struct service_entry;
struct service_limits;
struct service_removed;
struct stale_edit_error;
struct stored_catalogue;
class catalogue_editor;
class catalogue_holder;

} // namespace mangopulley

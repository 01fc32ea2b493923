#pragma once

namespace mangopulley {

class store_client;
class http_store_client;
struct instance_list;
struct instance_record;
struct listed_object;
struct store_error;
struct stored_object;

} // namespace mangopulley

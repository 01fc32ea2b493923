#pragma once

namespace mangopulley {

class message_reader;
class message_writer;
enum class message_type : unsigned char;

} // namespace mangopulley

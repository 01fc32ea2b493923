#include "mutator.hpp"

#include <array>
#include <string_view>

namespace fuzz {

namespace {

constexpr std::size_t most_changes = 6U;
constexpr std::size_t longest_piece = 24U;
// Values at which parsers of HTTP, JSON, YAML and MessagePack branch.
constexpr std::array<std::string_view, 22U> tokens{
    "\r\n",     "\r\n\r\n",     "\n",       "0",    "-1",       "18446744073709551616",
    "1e999",    "null",         "[]",       "{}",   "\"\"",     "Content-Length: 4\r\n",
    "\xff\xfe", "chunked",      "\xdd\xff", ": ",   "\xcf\xff", "Transfer-Encoding: chunked\r\n",
    "100",      "HTTP/1.1 200", "\xc1",     "&a *a"};

} // namespace

std::size_t mutator::below(const std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>{0U, bound - 1U}(this->random);
}

std::string mutator::make(const std::span<const std::string> corpus) {
    auto input = corpus[this->below(corpus.size())];
    for (auto left = 1U + this->below(most_changes); left > 0U; --left) {
        this->change(input, corpus);
    }
    return input;
}

void mutator::change(std::string& input, const std::span<const std::string> corpus) {
    enum kind : std::size_t { flip, overwrite, insert, erase, repeat, splice, truncate, kinds };
    const auto position = this->below(input.size() + 1U);
    const auto length = this->below(longest_piece) + 1U;
    const auto& other = corpus[this->below(corpus.size())];
    switch (this->below(kinds)) {
    case flip:
        if (position < input.size()) {
            input[position] = static_cast<char>(input[position] ^ (1 << this->below(8U)));
        }
        break;
    case overwrite:
        if (position < input.size()) {
            input[position] = static_cast<char>(this->below(256U));
        }
        break;
    case insert:
        input.insert(position, tokens.at(this->below(tokens.size())));
        break;
    case erase:
        input.erase(position, length);
        break;
    case repeat:
        input.insert(position, input.substr(position, length));
        break;
    case splice:
        input.replace(position, length, other.substr(this->below(other.size()), length));
        break;
    default:
        input.resize(position);
        break;
    }
}

} // namespace fuzz

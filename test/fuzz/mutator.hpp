#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <string>

namespace fuzz {

/*! @brief Changes inputs by chance; the same seed gives the same changes. */
class mutator {
public:
    explicit mutator(std::uint64_t seed) : random{seed} {}

    /**
     * @brief Makes an input from a corpus.
     * @param corpus Valid inputs, at least one.
     * @return One of them with one to six changes.
     */
    [[nodiscard]] std::string make(std::span<const std::string> corpus);

    /*! @brief Returns a number below a bound, which is above 0. */
    [[nodiscard]] std::size_t below(std::size_t bound);

private:
    void change(std::string& input, std::span<const std::string> corpus);

    std::mt19937_64 random;
};

} // namespace fuzz

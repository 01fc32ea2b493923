#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

#include <tclap/CmdLine.h>

#include "input_case.hpp"

namespace {

constexpr int wrong = 1;

/*! @brief Runs one kind of input; returns false and prints the input at the first that misbehaves. */
[[nodiscard]] bool run(const fuzz::input_case& kind, const std::uint64_t seed, const std::size_t runs) {
    const auto corpus = kind.corpus();
    for (std::size_t number = 0U; number < runs; ++number) {
        // Each input has its own seed, so that one can be run again alone.
        fuzz::mutator chance{seed + number};
        const auto input = chance.make(corpus);
        const auto found = kind.check(input, chance);
        if (!found.empty()) {
            std::printf("%s, seed %s: %s\n", kind.name, std::to_string(seed + number).c_str(), found.c_str());
            std::fwrite(input.data(), 1U, input.size(), stdout);
            std::printf("\n");
            return false;
        }
    }
    std::printf("%s: %zu inputs\n", kind.name, runs);
    return true;
}

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine line{"Feeds changed inputs from outside to the parsers and decoders"};
        TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "seed of the first input", false, 1U, "number", line};
        TCLAP::ValueArg<std::size_t> runs{"", "runs", "inputs of each kind", false, 20'000U, "number", line};
        TCLAP::ValueArg<std::string> only{"", "only", "one kind of input", false, "", "name", line};
        line.parse(argc, argv);
        bool good = true;
        for (const auto& kind : fuzz::input_cases()) {
            if (only.getValue().empty() || only.getValue() == kind.name) {
                good = run(kind, seed.getValue(), runs.getValue()) && good;
            }
        }
        return good ? EXIT_SUCCESS : wrong;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "fuzz_inputs: %s\n", error.what());
        return wrong;
    }
}

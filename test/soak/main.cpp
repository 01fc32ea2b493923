#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <string>

#include <tclap/CmdLine.h>

#include "schedule.hpp"
#include "soak_run.hpp"

namespace {

constexpr int violated = 1;
constexpr int wrong = 2;

} // namespace

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine line{"Runs gateways as real processes under faults and judges their promises"};
        TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "seed of the schedule", false, 1U, "number", line};
        TCLAP::ValueArg<int> length{"", "seconds", "length of the faults", false, 20, "seconds", line};
        TCLAP::ValueArg<std::size_t> instances{"", "instances", "gateway processes", false, 3U, "number", line};
        TCLAP::ValueArg<std::string> file{"",     "schedule", "faults to inject instead of drawn ones", false, "",
                                          "file", line};
        TCLAP::ValueArg<std::string> logs{"",       "logs", "folder that keeps what the instances write", false, "",
                                          "folder", line};
        TCLAP::ValueArg<std::string> program{"",     "program", "program to run instead of this build's", false, "",
                                             "file", line};
        line.parse(argc, argv);
        auto faults = soak::draw_schedule(seed.getValue(), std::chrono::seconds{length.getValue()},
                                          instances.getValue(), soak::target_count);
        if (file.isSet()) {
            std::ifstream given{file.getValue()};
            faults = soak::read_schedule(given);
        }
        std::cout << "# --seed " << seed.getValue() << " --seconds " << length.getValue() << " --instances "
                  << instances.getValue() << '\n';
        soak::write_schedule(std::cout, faults);
        std::cout.flush();
        soak::soak_run run{{seed.getValue(), instances.getValue(), logs.getValue(), program.getValue()}};
        return run.run(faults, std::cout) ? EXIT_SUCCESS : violated;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "soak: %s\n", error.what());
        return wrong;
    }
}

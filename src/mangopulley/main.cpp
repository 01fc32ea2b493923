#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "cli/command.hpp"
#include "cli/service_signals.hpp"

namespace {

using initializer = void (*)(int, char**, char**);

void block_signals(int, char**, char**) {
    mangopulley::block_service_signals();
}

// Called by the dynamic linker before the initialization of any library, which takes several milliseconds.
[[gnu::section(".preinit_array"), gnu::used]] const initializer first_initializer = block_signals;

} // namespace

int main(int argc, char** argv) {
    try {
        const std::vector<std::string> arguments{argv + 1, argv + argc};
        return mangopulley::run_command(arguments, std::cout, std::cerr);
    } catch (const std::exception& error) {
        std::cerr << "mangopulley: " << error.what() << '\n';
        return static_cast<int>(mangopulley::exit_code::failed);
    }
}

#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "cli/command.hpp"

int main(int argc, char** argv) {
    try {
        const std::vector<std::string> arguments{argv + 1, argv + argc};
        return mangopulley::run_command(arguments, std::cout, std::cerr);
    } catch (const std::exception& error) {
        std::cerr << "mangopulley: " << error.what() << '\n';
        return static_cast<int>(mangopulley::exit_code::failed);
    }
}

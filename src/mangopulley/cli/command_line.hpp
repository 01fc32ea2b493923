#pragma once

#include <iosfwd>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include <tclap/CmdLine.h>

#include "exit_code.hpp"

namespace mangopulley {

/*! @brief Arguments of one command, with `--help` and `--version`, read by TCLAP and printed to given streams. */
class command_line {
public:
    /**
     * @brief Prepares the command line; add the arguments to `arguments` before `parse`.
     * @param name Command as the operator types it, such as `mangopulley catalogue get`.
     * @param description What the command does.
     * @param out Receives help and version.
     * @param err Receives errors.
     */
    command_line(const std::string& name, const std::string& description, std::ostream& out, std::ostream& err);
    command_line(const command_line&) = delete;
    command_line& operator=(const command_line&) = delete;
    ~command_line();

    [[nodiscard]] TCLAP::CmdLine& arguments() noexcept;

    /**
     * @brief Reads the arguments.
     * @param given Arguments after the command's name.
     * @return Nothing when the command shall run, or the exit code after help, version or a usage error.
     */
    [[nodiscard]] std::optional<exit_code> parse(std::span<const std::string> given);

    /*! @brief Reports an argument with a value that is not allowed. */
    [[nodiscard]] exit_code fail(const std::string& argument, const std::string& found, const std::string& expected);

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley

#include "command_line.hpp"

#include <ostream>
#include <vector>

#include <tclap/ArgException.h>
#include <tclap/StdOutput.h>

#include "../core/yaml_value.hpp"

namespace mangopulley {

namespace internal {

/*! @brief Prints to given streams instead of those of the process. */
class stream_output final : public TCLAP::StdOutput {
public:
    stream_output(std::ostream& results, std::ostream& errors) : out{results}, err{errors} {}

    void usage(TCLAP::CmdLineInterface& line) override {
        this->out << "Usage:\n\n";
        this->_shortUsage(line, this->out);
        this->out << "\nOptions:\n\n";
        this->_longUsage(line, this->out);
    }

    void version(TCLAP::CmdLineInterface& line) override { this->out << "mangopulley " << line.getVersion() << '\n'; }

    void failure(TCLAP::CmdLineInterface& line, TCLAP::ArgException& error) override {
        this->err << line.getProgramName() << ": " << printable(error.error()) << ' ' << printable(error.argId())
                  << '\n';
        this->usage_hint(line);
    }

    void usage_hint(TCLAP::CmdLineInterface& line) {
        this->_shortUsage(line, this->err);
        this->err << "See " << line.getProgramName() << " --help\n";
    }

private:
    std::ostream& out;
    std::ostream& err;
};

} // namespace internal

struct command_line::implementation {
    std::string name;
    std::ostream& err;
    internal::stream_output output;
    TCLAP::CmdLine line;

    implementation(const std::string& command, const std::string& description, std::ostream& results,
                   std::ostream& errors)
        : name{command}, err{errors}, output{results, errors}, line{description, ' ', MANGOPULLEY_VERSION} {
        this->line.setOutput(&this->output);
        this->line.setExceptionHandling(false);
    }
};

command_line::command_line(const std::string& name, const std::string& description, std::ostream& out,
                           std::ostream& err)
    : self{std::make_unique<implementation>(name, description, out, err)} {}

command_line::~command_line() = default;

TCLAP::CmdLine& command_line::arguments() noexcept {
    return this->self->line;
}

std::optional<exit_code> command_line::parse(const std::span<const std::string> given) {
    std::vector<std::string> words{this->self->name};
    words.insert(words.end(), given.begin(), given.end());
    try {
        this->self->line.parse(words);
        return std::nullopt;
    } catch (TCLAP::ArgException& error) {
        this->self->output.failure(this->self->line, error);
        return exit_code::usage;
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus() == 0 ? exit_code::done : exit_code::usage;
    }
}

exit_code command_line::fail(const std::string& argument, const std::string& found, const std::string& expected) {
    this->self->err << this->self->name << ": " << argument << ": found \"" << printable(found) << "\", expected "
                    << expected << '\n';
    this->self->output.usage_hint(this->self->line);
    return exit_code::usage;
}

} // namespace mangopulley

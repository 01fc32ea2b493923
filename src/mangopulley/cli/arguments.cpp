#include "arguments.hpp"

#include <ostream>
#include <vector>

#include <tclap/StdOutput.h>

#include "command.hpp"

namespace mangopulley {

namespace internal {

/*! @brief Writes help and version to a stream of the caller's choice; TCLAP's own goes to standard output. */
class stream_output final : public TCLAP::StdOutput {
public:
    explicit stream_output(std::ostream& target) : stream{target} {}

    void version(TCLAP::CmdLineInterface& line) override {
        this->stream << "mangopulley " << line.getVersion() << '\n';
    }

    void usage(TCLAP::CmdLineInterface& line) override {
        this->stream << "usage:\n";
        this->_shortUsage(line, this->stream);
        this->stream << "\noptions:\n";
        this->_longUsage(line, this->stream);
    }

private:
    std::ostream& stream;
};

} // namespace internal

std::optional<int> parse_arguments(TCLAP::CmdLine& line, const std::span<const std::string> arguments,
                                   std::ostream& out, std::ostream& err) {
    internal::stream_output output{out};
    line.setOutput(&output);
    line.setExceptionHandling(false);
    std::vector<std::string> words{arguments.begin(), arguments.end()};
    try {
        line.parse(words);
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& error) {
        err << arguments.front() << ": " << error.error() << ' ' << error.argId() << "\n'" << arguments.front()
            << " --help' describes the options\n";
        return static_cast<int>(exit_code::usage);
    }
    return std::nullopt;
}

} // namespace mangopulley

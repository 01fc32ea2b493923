#include "program.hpp"

#include <cstdio>
#include <exception>

#include <Poco/Exception.h>
#include <tclap/ArgException.h>

namespace standin {

int run_program(const std::function<void()>& body) noexcept {
    try {
        body();
        return 0;
    } catch (const TCLAP::ExitException& error) {
        return error.getExitStatus();
    } catch (const TCLAP::ArgException& error) {
        std::fprintf(stderr, "%s: %s\n", error.argId().c_str(), error.error().c_str());
        return 2;
    } catch (const Poco::Exception& error) {
        std::fprintf(stderr, "%s\n", error.displayText().c_str());
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    return 1;
}

void announce_ready() {
    std::puts("ready");
    std::fflush(stdout);
}

} // namespace standin

#include "journal.hpp"

#include <cerrno>
#include <system_error>

#include <Poco/DigestEngine.h>
#include <Poco/SHA1Engine.h>
#include <fcntl.h>
#include <unistd.h>

namespace standin {

journal::journal(const std::string& path)
    : file{::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)} {
    if (!this->file.valid()) {
        throw std::system_error{errno, std::generic_category(), path};
    }
}

void journal::write(std::string line) const {
    line += '\n';
    // One call per line: appended lines of several writers do not mix.
    if (::write(this->file.get(), line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        throw std::system_error{errno, std::generic_category(), "journal"};
    }
}

std::string body_digest(const std::string_view body) {
    Poco::SHA1Engine engine{};
    engine.update(body.data(), body.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

} // namespace standin

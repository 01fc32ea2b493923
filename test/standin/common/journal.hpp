#pragma once

#include <string>
#include <string_view>

#include "descriptor.hpp"

namespace standin {

/*! @brief File with one line of JSON per event, written at once; several writers can share a file. */
class journal {
public:
    /*! @brief Creates a journal that writes nothing. */
    journal() noexcept = default;
    /*! @brief Opens a file for appending; throws std::system_error on failure. */
    explicit journal(const std::string& path);

    [[nodiscard]] bool enabled() const noexcept { return this->file.valid(); }
    /*! @brief Appends a line. */
    void write(std::string line) const;

private:
    descriptor file{};
};

/*! @brief Returns the SHA-1 digest of a body as 40 hexadecimal digits. */
[[nodiscard]] std::string body_digest(std::string_view body);

} // namespace standin

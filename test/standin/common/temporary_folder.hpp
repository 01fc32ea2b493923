#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace standin {

/*! @brief Folder in the system's folder for temporary files; removed at destruction. */
class temporary_folder {
public:
    temporary_folder() {
        auto pattern = (std::filesystem::temp_directory_path() / "mangopulley-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error{"no temporary folder"};
        }
        this->folder = pattern;
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder() {
        std::error_code ignored{};
        std::filesystem::remove_all(this->folder, ignored);
    }

    [[nodiscard]] const std::filesystem::path& path() const noexcept { return this->folder; }

private:
    std::filesystem::path folder{};
};

} // namespace standin

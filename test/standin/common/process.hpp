#pragma once

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace standin {

/*! @brief Program started by a test; its standard output and error go to a file. */
class process {
public:
    /**
     * @brief Starts a program.
     *
     * The system kills the program when the thread that started it ends, so that an aborted test leaves none behind.
     * @param program Path of the program.
     * @param arguments Arguments without the program's name.
     * @param output File for standard output and error; overwritten.
     * @throw std::system_error when it cannot be started.
     */
    process(const std::filesystem::path& program, const std::vector<std::string>& arguments,
            std::filesystem::path output);
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    /*! @brief Kills the program when it still runs, and waits for its end. */
    ~process();

    [[nodiscard]] pid_t id() const noexcept { return this->child; }

    /*! @brief Waits for a line `ready` in the output; false when it did not come or the program ended. */
    [[nodiscard]] bool wait_ready(std::chrono::milliseconds limit);

    /*! @brief Sends a signal, such as SIGTERM; nothing happens when the program has ended. */
    void signal(int number) noexcept;

    /*! @brief Freezes the program with SIGSTOP and waits until it has stopped. */
    [[nodiscard]] bool freeze(std::chrono::milliseconds limit = std::chrono::milliseconds{2000});

    /*! @brief Wakes the program with SIGCONT. */
    void wake() noexcept;

    /*! @brief Kills the program with SIGKILL and waits for its end. */
    void kill() noexcept;

    /**
     * @brief Waits for the end of the program.
     * @param limit Longest time to wait.
     * @return Exit code, 128 + signal when a signal ended it, or nothing when it still runs.
     */
    [[nodiscard]] std::optional<int> wait_exit(std::chrono::milliseconds limit);

    /*! @brief Tells whether the program has not ended. */
    [[nodiscard]] bool running() noexcept;

    /*! @brief Returns what the program has written so far. */
    [[nodiscard]] std::string output() const;

private:
    void collect(int options) noexcept;

    std::filesystem::path output_file;
    pid_t child{-1};
    std::optional<int> exit_code{};
    bool frozen{};
};

} // namespace standin

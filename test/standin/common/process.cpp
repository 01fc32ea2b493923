#include "process.hpp"

#include <cerrno>
#include <csignal>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "descriptor.hpp"
#include "wait_until.hpp"

namespace standin {

namespace {

constexpr int not_started = 127;

// Runs in the child of a process with threads: only calls that are safe there.
[[noreturn]] void become(char* const* arguments, const int output, const pid_t parent) {
    sigset_t none{};
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() == parent && dup2(output, STDOUT_FILENO) >= 0 && dup2(output, STDERR_FILENO) >= 0) {
        execv(arguments[0], arguments);
    }
    _exit(not_started);
}

} // namespace

process::process(const std::filesystem::path& program, const std::vector<std::string>& arguments,
                 std::filesystem::path output)
    : output_file{std::move(output)} {
    auto texts = arguments;
    texts.insert(texts.begin(), program.string());
    std::vector<char*> pointers{};
    pointers.reserve(texts.size() + 1U);
    for (auto& text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    const descriptor file{::open(this->output_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644)};
    if (!file.valid()) {
        throw std::system_error{errno, std::generic_category(), this->output_file.string()};
    }
    const auto parent = ::getpid();
    this->child = ::fork();
    if (this->child == 0) {
        become(pointers.data(), file.get(), parent);
    }
    if (this->child < 0) {
        throw std::system_error{errno, std::generic_category(), "fork"};
    }
}

process::~process() {
    this->kill();
}

bool process::wait_ready(const std::chrono::milliseconds limit) {
    bool ready = false;
    const auto ended = [&] {
        const auto text = '\n' + this->output();
        ready = text.find("\nready\n") != std::string::npos;
        return ready || !this->running();
    };
    return wait_until(ended, limit) && ready;
}

void process::signal(const int number) noexcept {
    if (this->running()) {
        ::kill(this->child, number);
    }
}

bool process::freeze(const std::chrono::milliseconds limit) {
    this->signal(SIGSTOP);
    return wait_until(
        [this] {
            this->collect(WNOHANG | WUNTRACED);
            return this->frozen || this->exit_code.has_value();
        },
        limit);
}

void process::wake() noexcept {
    this->frozen = false;
    this->signal(SIGCONT);
}

void process::kill() noexcept {
    this->signal(SIGKILL);
    this->collect(0);
}

std::optional<int> process::wait_exit(const std::chrono::milliseconds limit) {
    static_cast<void>(wait_until([this] { return !this->running(); }, limit));
    return this->exit_code;
}

bool process::running() noexcept {
    this->collect(WNOHANG);
    return !this->exit_code.has_value();
}

std::string process::output() const {
    const std::ifstream file{this->output_file};
    std::ostringstream text{};
    text << file.rdbuf();
    return text.str();
}

void process::collect(const int options) noexcept {
    int status = 0;
    if (this->exit_code.has_value() || ::waitpid(this->child, &status, options) != this->child) {
        return;
    }
    if (WIFSTOPPED(status)) {
        this->frozen = true;
    } else if (WIFSIGNALED(status)) {
        this->exit_code = 128 + WTERMSIG(status);
    } else {
        this->exit_code = WEXITSTATUS(status);
    }
}

} // namespace standin

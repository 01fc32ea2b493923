#include "event_log.hpp"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace mangopulley {

namespace internal {

[[nodiscard]] log4cxx::LevelPtr to_level(const log_level level) {
    switch (level) {
    case log_level::trace:
        return log4cxx::Level::getTrace();
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warn:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

constexpr const char* line_format = "time=\"%d{yyyy-MM-dd HH:mm:ss.SSS}\" level=%p component=%c %m%n";
constexpr int most_buffered_lines = 2'000;

void install(const std::string_view level, const log4cxx::AppenderPtr& appender) {
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::toLevel(std::string{level}, log4cxx::Level::getInfo()));
}

/*! @brief Appends a value in quotes when it holds a character that would break the line into other fields. */
void append_value(std::string& line, const std::string_view value) {
    if (!value.empty() && value.find_first_of(" \"=\\\r\n\t") == std::string_view::npos) {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (const char letter : value) {
        const auto code = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            line.push_back('\\');
        }
        line.push_back(code < 0x20U ? ' ' : letter);
    }
    line.push_back('"');
}

} // namespace internal

void configure_logging(const std::string_view level) {
    const auto layout = std::make_shared<log4cxx::PatternLayout>(internal::line_format);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    internal::install(level, appender);
}

void configure_background_logging(const std::string_view level) {
    const auto layout = std::make_shared<log4cxx::PatternLayout>(internal::line_format);
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    const auto appender = std::make_shared<log4cxx::AsyncAppender>();
    appender->addAppender(console);
    appender->setBufferSize(internal::most_buffered_lines);
    // A reader of standard output that stops reading costs lines, never requests.
    appender->setBlocking(false);
    internal::install(level, appender);
}

void stop_logging() {
    log4cxx::LogManager::shutdown();
}

struct event_log::implementation {
    log4cxx::LoggerPtr logger{};
};

event_log::event_log(const std::string_view component) : self{std::make_unique<implementation>()} {
    this->self->logger = log4cxx::Logger::getLogger(std::string{component});
}

event_log::~event_log() = default;

void event_log::write(const log_level level, const std::string_view event,
                      const std::initializer_list<field> fields) const {
    const auto target = internal::to_level(level);
    if (!this->self->logger->isEnabledFor(target)) {
        return;
    }
    std::string line{"event="};
    line.append(event);
    for (const auto& item : fields) {
        line.append(" ").append(item.name).append("=");
        internal::append_value(line, item.value);
    }
    this->self->logger->forcedLog(target, line);
}

} // namespace mangopulley

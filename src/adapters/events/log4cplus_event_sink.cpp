#include "adapters/events/log4cplus_event_sink.hpp"

#include "adapters/events/event_line.hpp"

#include <log4cplus/config.hxx>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loglevel.h>

#include <fstream>
#include <utility>

namespace roseworks::events
{

namespace
{

// %D is the UTC time, %q its milliseconds, %p the level, %m the event and %n
// the line break.
constexpr auto text_pattern = "%D{%Y-%m-%dT%H:%M:%S.%qZ} %p %m%n";
constexpr auto json_pattern = "{\"time\":\"%D{%Y-%m-%dT%H:%M:%S.%qZ}\",%m}%n";

/// Initialises log4cplus for the life of the process, because it cannot be
/// initialised twice.
void start_log4cplus()
{
    static const log4cplus::Initializer initializer;
    // Only asynchronous appenders use the thread pool, and there are none. One
    // thread is the smallest size.
    log4cplus::setThreadPoolSize(1);
}

log4cplus::LogLevel to_log_level(event_level level)
{
    switch (level)
    {
    case event_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case event_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case event_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case event_level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::SharedAppenderPtr make_console()
{
    constexpr bool to_standard_error = true;
    constexpr bool flush_immediately = true;
    return log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(to_standard_error, flush_immediately));
}

log4cplus::SharedAppenderPtr make_file(const std::string& path)
{
    if (!std::ofstream(path, std::ios::app))
        return log4cplus::SharedAppenderPtr();
    return log4cplus::SharedAppenderPtr(
        new log4cplus::FileAppender(path, std::ios::app));
}

} // namespace

std::unique_ptr<log4cplus_event_sink>
log4cplus_event_sink::make(const event_sink_options& options)
{
    start_log4cplus();
    auto appender =
        options.file.empty() ? make_console() : make_file(options.file);
    if (!appender)
        return nullptr;
    return std::make_unique<log4cplus_event_sink>(options, std::move(appender));
}

log4cplus_event_sink::log4cplus_event_sink(
    const event_sink_options& options, log4cplus::SharedAppenderPtr appender)
    : vm(options.vm)
    , format((start_log4cplus(), options.format))
    , logger(this->hierarchy.getRoot())
{
    const auto* const pattern =
        this->format == line_format::text ? text_pattern : json_pattern;
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    this->logger.setLogLevel(to_log_level(options.level));
    this->logger.addAppender(std::move(appender));
}

log4cplus_event_sink::~log4cplus_event_sink()
{
    this->logger.removeAllAppenders();
}

void log4cplus_event_sink::emit(const event_record& record) noexcept
{
    const auto level = to_log_level(level_of(record.id));
    if (!this->logger.isEnabledFor(level))
        return;
    try
    {
        this->logger.log(level, format_event(this->format, this->vm, record));
    }
    catch (...)
    {
        // Out of memory or a failed stream: the event is lost. Logging must not
        // fail the operation that reports it.
    }
}

} // namespace roseworks::events

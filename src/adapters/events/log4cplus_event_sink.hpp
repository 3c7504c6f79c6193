#pragma once

#include "adapters/events/line_format.hpp"
#include "ports/event_sink.hpp"

#include <log4cplus/appender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/logger.h>

#include <memory>
#include <string>

namespace roseworks::events
{

/// Options of a `log4cplus_event_sink`.
struct event_sink_options
{
    /// The VM's name, which is part of every line.
    std::string vm;
    /// Events below this level are dropped.
    event_level level = event_level::info;
    line_format format = line_format::text;
    /// The file to append to; empty for the standard error stream.
    std::string file;
};

/// Writes each event as one line through log4cplus, with the time in UTC.
/// External values are quoted, truncated to a bounded length and written
/// without line breaks, so that a caller cannot forge log lines. Thread-safe;
/// writes are synchronous.
class log4cplus_event_sink final : public event_sink
{
public:
    /// @return a sink that writes to `options.file` or to the standard error
    ///         stream; null if the file cannot be opened.
    static std::unique_ptr<log4cplus_event_sink>
    make(const event_sink_options& options);

    /// Creates a sink that writes to `appender` and replaces its layout.
    log4cplus_event_sink(
        const event_sink_options& options,
        log4cplus::SharedAppenderPtr appender);
    ~log4cplus_event_sink() override;

    log4cplus_event_sink(const log4cplus_event_sink&) = delete;
    log4cplus_event_sink& operator=(const log4cplus_event_sink&) = delete;

    void emit(const event_record& record) noexcept override;

private:
    std::string vm;
    line_format format;
    log4cplus::Hierarchy hierarchy;
    log4cplus::Logger logger;
};

} // namespace roseworks::events

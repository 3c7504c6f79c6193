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

/// What the sink writes and where.
struct event_sink_options
{
    /// The VM's name, part of every line.
    std::string vm;
    /// Events below this level are dropped.
    event_level level = event_level::info;
    line_format format = line_format::text;
    /// A file to append to; empty for the standard error stream.
    std::string file;
};

/// Writes events through log4cplus, one line each, times in UTC. Values from
/// outside are quoted, cut to a bounded length and kept on their line, so a
/// caller cannot forge a line. Thread-safe; writes are synchronous.
class log4cplus_event_sink final : public event_sink
{
public:
    /// @return a sink on the stated file or the standard error stream; empty
    ///         when the file cannot be opened.
    static std::unique_ptr<log4cplus_event_sink>
    make(const event_sink_options& options);

    /// A sink on an appender of the caller's; its layout is replaced.
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

#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>

#include <cstdint>
#include <vector>

namespace roseworks
{

/// Why a read of the log gave nothing.
enum class log_fault : std::uint8_t
{
    unreachable, ///< no answer, or one that says the log is down
    malformed    ///< an answer that isn't a run of consecutive entries
};

/// Receives what a `log_port` reads, on the thread that runs the port.
class log_listener
{
public:
    virtual ~log_listener() = default;

    /// The log answered for the first time, or forgot what was asked for.
    /// Reading pauses until `log_port::tail_from` is called.
    /// @param first   Oldest offset kept.
    /// @param next    The log's end as far as known.
    /// @param trimmed Whether entries that were asked for are forgotten.
    virtual void
    log_opened(log_offset first, log_offset next, bool trimmed) = 0;

    /// Entries in order, without a gap; none when a poll ran out.
    /// @param next The log's end as far as known.
    virtual void
    entries_read(std::vector<log_entry> entries, log_offset next) = 0;

    /// The log was asked again what it keeps.
    /// @param first Oldest offset kept.
    virtual void log_kept(log_offset first) = 0;

    /// A read failed; it is repeated with a growing delay.
    virtual void log_failed(log_fault fault) = 0;

    /// Answer to one `log_port::append`.
    virtual void
    append_answered(std::uint64_t batch, append_outcome outcome) = 0;
};

/// Port: the platform's append-only log. Decided state rests on it alone.
class log_port
{
public:
    virtual ~log_port() = default;

    /// Looks for the log and then calls `log_listener::log_opened`.
    virtual void start(log_listener& listener) = 0;

    /// Reads from this offset on, and goes on from the last entry delivered.
    virtual void tail_from(log_offset from) = 0;

    /// Somebody waits for what is read next: for a while nothing is gathered
    /// before it is read. A hint.
    virtual void hurry() = 0;

    /// Appends a batch; batches go out one after another, in order. Answered
    /// exactly once unless the port is stopped. Never repeated by the port.
    virtual void append(append_batch batch) = 0;

    /// Ends all reads and appends; nothing is called any more.
    virtual void stop() = 0;
};

} // namespace roseworks

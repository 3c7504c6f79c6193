#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>

#include <cstdint>
#include <vector>

namespace roseworks
{

/// Why a read of the log failed.
enum class log_fault : std::uint8_t
{
    unreachable, ///< no answer, or an answer that says the log is down
    malformed    ///< the answer isn't a sequence of consecutive entries
};

/// Receives the results of a `log_port`, on the thread that runs the port.
class log_listener
{
public:
    virtual ~log_listener() = default;

    /// The log answered for the first time, or has trimmed entries that were
    /// requested. Reading pauses until `log_port::tail_from` is called.
    /// @param first   Oldest offset that the log retains.
    /// @param next    End of the log, as far as known.
    /// @param trimmed Whether requested entries have been trimmed.
    virtual void
    log_opened(log_offset first, log_offset next, bool trimmed) = 0;

    /// Consecutive entries, in order; empty if a poll timed out.
    /// @param next End of the log, as far as known.
    virtual void
    entries_read(std::vector<log_entry> entries, log_offset next) = 0;

    /// The retained range of the log was read again.
    /// @param first Oldest offset that the log retains.
    virtual void oldest_offset_read(log_offset first) = 0;

    /// A read failed. The port retries with an increasing delay.
    virtual void log_failed(log_fault fault) = 0;

    /// The outcome of one `log_port::append`.
    virtual void
    append_answered(std::uint64_t batch, append_outcome outcome) = 0;
};

/// Port: the platform's append-only log, the only source of the replicated
/// state.
class log_port
{
public:
    virtual ~log_port() = default;

    /// Connects to the log and then calls `log_listener::log_opened`.
    virtual void start(log_listener& listener) = 0;

    /// Reads from the given offset, and follows the log from there.
    virtual void tail_from(log_offset from) = 0;

    /// A caller is waiting for the next entries: for a while, reads don't wait
    /// for entries to accumulate. A hint.
    virtual void expedite_reads() = 0;

    /// Appends a batch. Batches are sent one at a time, in order. The listener
    /// gets exactly one answer unless the port is stopped. The port never
    /// retries.
    virtual void append(append_batch batch) = 0;

    /// Cancels all reads and appends. The listener isn't called after this.
    virtual void stop() = 0;
};

} // namespace roseworks

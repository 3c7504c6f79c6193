#pragma once

#include <roseworks/instant.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_set>

namespace roseworks
{

/// A limit that a caller has met.
enum class receive_limit : std::uint8_t
{
    header,    ///< size of a request's head
    framing,   ///< size of a chunk header or of the trailers
    body,      ///< size of a body
    memory,    ///< refused, since the memory for requests is used up
    displaced, ///< ended to free memory for another request
    place      ///< ended to free a connection for another caller
};

inline constexpr std::size_t receive_limit_count = 6;

/** Accounts for what callers' requests occupy, and decides who goes when the
    memory or the connections are used up.

    A connection states what it really holds as that grows, so that callers who
    announce much and send nothing take nothing. One that sends a request may be
    displaced: no backend server has its request yet. Small requests take what
    is reserved for them, and displace the request that has been sent for the
    longest time. A large one only displaces a stalled one; otherwise it is
    refused, so that large requests don't displace each other shortly before
    their end.

    Used on one event loop.
*/
class receive_budget
{
public:
    struct options
    {
        /// Memory for the requests of all callers, in bytes.
        std::size_t max_bytes = std::size_t(128) << 20;
        /// A request up to this size counts as small.
        std::size_t small_bytes = std::size_t(192) << 10;
        /// Memory that large requests may occupy, in percent of `max_bytes`.
        std::size_t large_percent = 80;
        /// A request is stalled when `min_progress_bytes` of it take longer.
        duration stall_time = std::chrono::seconds(1);
        std::size_t min_progress_bytes = std::size_t(4) << 10;
        /// Connections that are being closed in favour of others at one time.
        std::size_t max_leaving = 64;
    };

    /// How often callers met each limit, by `receive_limit`.
    using counts = std::array<std::uint64_t, receive_limit_count>;

    class entry;

    explicit receive_budget(options chosen)
        : settings(chosen)
    {
    }

    /// Detaches the connections that still exist. An event loop may destroy
    /// them later, without running them again.
    ~receive_budget();

    receive_budget(const receive_budget&) = delete;
    receive_budget& operator=(const receive_budget&) = delete;

    /// Sets what a single request inside the limits occupies at most. It is
    /// taken when nothing else is held, whatever `max_bytes` is.
    void set_largest_request(std::size_t bytes)
    {
        this->largest_request = bytes;
    }

    /// Has a connection closed that is being closed already, that stalls inside
    /// a request, or that has been idle for the longest time.
    /// @return Whether there is one.
    bool free_place(instant now);

    /// @return Connections that `free_place` has had closed and that are still
    ///         open.
    std::size_t leaving() const
    {
        return this->leaving_count;
    }

    std::size_t used_bytes() const
    {
        return this->used;
    }

    std::size_t max_bytes() const;

    /// @return The counts since the last call.
    counts take_counts();

private:
    bool reserve(entry& requester, std::size_t bytes, instant now);
    bool fits(const entry& requester, std::size_t bytes) const;
    entry* find_displaceable(
        const entry& requester, std::size_t bytes, instant now) const;
    entry* find_replaceable(instant now) const;
    bool is_stalled(const entry& one, instant now) const;
    void count(receive_limit limit)
    {
        ++this->met[static_cast<std::size_t>(limit)];
    }

    options settings;
    std::size_t largest_request = 0;
    std::size_t used = 0;
    std::size_t leaving_count = 0;
    std::uint64_t last_serial = 0;
    std::unordered_set<entry*> entries;
    counts met{};
};

/// The part of the budget that one connection occupies.
class receive_budget::entry
{
public:
    /// @param displace Ends the connection's request, or the connection while
    ///                 it has none. Releases at once what can be released.
    ///                 @return Whether it does so.
    entry(receive_budget& budget, std::function<bool()> displace);
    ~entry();

    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    /// The connection waits for a request, and holds nothing.
    void wait(instant now);

    /// The first bytes of a request have arrived.
    void begin(instant now);

    /// More of the request has arrived.
    void received(std::size_t bytes, instant now);

    /// Sets how much memory the request occupies.
    /// @return Whether the budget allows that. It always allows less.
    bool hold(std::size_t bytes, instant now);

    /// The whole request has arrived. It isn't displaced any more.
    void complete();

    /// The connection is closed once its caller has read the last response.
    void close();

    void count(receive_limit limit)
    {
        this->owner->count(limit);
    }

private:
    friend class receive_budget;

    enum class phase : std::uint8_t
    {
        idle,
        receiving,
        complete,
        closing
    };

    receive_budget* owner; ///< null: it is gone
    std::function<bool()> on_displace;
    std::uint64_t serial; ///< orders entries of the same time
    phase state = phase::complete;
    bool is_leaving = false;
    std::size_t bytes = 0;
    instant since;         ///< of the present phase
    instant last_progress; ///< when `fresh_bytes` was last 0
    std::size_t fresh_bytes = 0;
};

} // namespace roseworks

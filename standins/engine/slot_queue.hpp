#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace roseworks::standins
{

class slot_queue;

/// A right to run, given back on destruction.
class slot
{
public:
    explicit slot(slot_queue& issuer);
    ~slot();

    slot(slot&& other) noexcept;
    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;
    slot& operator=(slot&&) = delete;

private:
    slot_queue* owner;
};

/// Gives a fixed number of slots to requests: lower priority values first,
/// then in the order of arrival.
class slot_queue
{
public:
    using time_point = boost::asio::steady_timer::time_point;

    /// @param count     how many slots there are.
    /// @param on_change called when `running` or `waiting` has changed.
    slot_queue(std::size_t count, std::function<void()> on_change);

    /// Waits for a slot.
    ///
    /// @param priority lower goes first.
    /// @param deadline when to give up.
    /// @param stopped  asked after each `recheck`; true gives up.
    /// @return         empty when it was given up.
    boost::asio::awaitable<std::optional<slot>>
    acquire(int priority, time_point deadline, std::function<bool()> stopped);

    /// Lets every waiting request ask whether it is stopped.
    void recheck();

    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t waiting() const;

private:
    friend class slot;

    struct waiter
    {
        boost::asio::steady_timer& timer;
        bool granted = false;
    };
    using position = std::pair<int, std::uint64_t>;
    class registration;

    void release();

    std::size_t free;
    std::function<void()> changed;
    std::size_t taken = 0;
    std::uint64_t arrivals = 0;
    std::map<position, waiter*> waiters;
};

} // namespace roseworks::standins

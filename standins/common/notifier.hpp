#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <vector>

namespace roseworks::standins
{

/// Wakes coroutines of one thread when something has changed. A woken
/// coroutine checks its condition again.
class notifier
{
public:
    /// Returns after `notify_all`, or when the time has passed.
    boost::asio::awaitable<void> wait_for(std::chrono::milliseconds limit);

    /// Returns after `notify_all`.
    boost::asio::awaitable<void> wait();

    void notify_all();

private:
    boost::asio::awaitable<void>
    wait_until(boost::asio::steady_timer::time_point limit);

    std::vector<boost::asio::steady_timer*> waiters;
};

} // namespace roseworks::standins

#include "standins/common/notifier.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace roseworks::standins
{

namespace asio = boost::asio;

namespace
{

/// Keeps a timer in the list while the coroutine that owns it waits.
class registration
{
public:
    registration(
        std::vector<asio::steady_timer*>& list, asio::steady_timer& waiter)
        : waiters(list)
        , timer(waiter)
    {
        this->waiters.push_back(&this->timer);
    }

    ~registration()
    {
        std::erase(this->waiters, &this->timer);
    }

    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;

private:
    std::vector<asio::steady_timer*>& waiters;
    asio::steady_timer& timer;
};

} // namespace

asio::awaitable<void> notifier::wait_for(std::chrono::milliseconds limit)
{
    return this->wait_until(asio::steady_timer::clock_type::now() + limit);
}

asio::awaitable<void> notifier::wait()
{
    return this->wait_until(asio::steady_timer::time_point::max());
}

void notifier::notify_all()
{
    for (asio::steady_timer* timer : this->waiters)
    {
        timer->cancel();
    }
}

asio::awaitable<void> notifier::wait_until(asio::steady_timer::time_point limit)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, limit);
    const registration registered(this->waiters, timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace roseworks::standins

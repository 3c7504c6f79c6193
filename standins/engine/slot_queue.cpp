#include "standins/engine/slot_queue.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace roseworks::standins
{

namespace asio = boost::asio;

slot::slot(slot_queue& issuer)
    : owner(&issuer)
{
}

slot::slot(slot&& other) noexcept
    : owner(std::exchange(other.owner, nullptr))
{
}

slot::~slot()
{
    if (this->owner != nullptr)
    {
        this->owner->release();
    }
}

/// Keeps a waiter in the queue while its coroutine waits.
class slot_queue::registration
{
public:
    registration(slot_queue& target, position place, waiter& entry)
        : queue(target)
        , where(place)
    {
        this->queue.waiters.emplace(this->where, &entry);
        this->queue.changed();
    }

    ~registration()
    {
        this->queue.waiters.erase(this->where);
        this->queue.changed();
    }

    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;

private:
    slot_queue& queue;
    position where;
};

slot_queue::slot_queue(std::size_t count, std::function<void()> on_change)
    : free(count)
    , changed(std::move(on_change))
{
}

asio::awaitable<std::optional<slot>> slot_queue::acquire(
    int priority, time_point deadline, std::function<bool()> stopped)
{
    if (this->free > 0)
    {
        --this->free;
        ++this->taken;
        this->changed();
        co_return std::optional<slot>(std::in_place, *this);
    }
    asio::steady_timer timer(co_await asio::this_coro::executor, deadline);
    waiter entry{timer};
    const position place(priority, ++this->arrivals);
    const registration registered(*this, place, entry);
    while (!entry.granted)
    {
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const bool late = asio::steady_timer::clock_type::now() >= deadline;
        if (!entry.granted && (late || stopped()))
        {
            co_return std::nullopt;
        }
    }
    co_return std::optional<slot>(std::in_place, *this);
}

void slot_queue::recheck()
{
    for (const auto& [place, entry] : this->waiters)
    {
        entry->timer.cancel();
    }
}

std::size_t slot_queue::running() const
{
    return this->taken;
}

std::size_t slot_queue::waiting() const
{
    return this->waiters.size();
}

void slot_queue::release()
{
    if (this->waiters.empty())
    {
        --this->taken;
        ++this->free;
        this->changed();
        return;
    }
    // The slot goes straight to the first in the queue.
    const auto first = this->waiters.begin();
    waiter* const entry = first->second;
    this->waiters.erase(first);
    entry->granted = true;
    entry->timer.cancel();
}

} // namespace roseworks::standins

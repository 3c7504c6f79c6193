#pragma once

#include "adapters/edge/net.hpp"
#include "ports/dispatch_port.hpp"

#include <roseworks/controller.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace roseworks::edge
{

/** Delivers to one running call the events that it waits for: replies of the
    dispatcher, the result of its claim, and the caller closing its connection.

    Use it on the call's event loop only, except for `post_*`, which may be
    called from any thread. These keep the inbox alive until the message has
    been delivered.
*/
class call_inbox : public std::enable_shared_from_this<call_inbox>
{
public:
    explicit call_inbox(asio::any_io_executor loop);

    void post_reply(const dispatch_port::reply& answer);
    void post_claim(const claim_result& result);

    /// Records that the caller has closed its connection. Event loop only.
    void caller_left();

    /// Makes the call end because the drain limit is reached. Event loop only.
    void force_end();

    /// Records that the call has ended. Later messages are ignored.
    void finish();

    /// @return The next reply; empty if the call must end.
    asio::awaitable<std::optional<dispatch_port::reply>> next_reply();

    /// @return The result of the claim, even if the caller has left.
    asio::awaitable<claim_result> wait_for_claim();

    bool caller_has_left() const
    {
        return this->has_left;
    }

    bool forced() const
    {
        return this->is_forced;
    }

    bool finished() const
    {
        return this->is_finished;
    }

    /// @return Whether a running attempt must end.
    bool interrupted() const
    {
        return this->is_forced || (this->has_left && !this->outlives_caller);
    }

    /// Interrupts the running attempt; empty if there is none.
    std::function<void()> on_interrupt;

    /// Whether an attempt continues after the caller has left, so that its
    /// outcome becomes known.
    bool outlives_caller = false;

private:
    asio::awaitable<void> wait();
    void interrupt();

    asio::any_io_executor executor;
    asio::steady_timer wakeup;
    std::deque<dispatch_port::reply> replies;
    std::optional<claim_result> claim;
    bool has_left = false;
    bool is_forced = false;
    bool is_finished = false;
};

} // namespace roseworks::edge

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

/** What one running call waits for: replies of admission, the result of its
    claim, and its caller leaving.

    Belongs to the call's event loop; `post_*` may be called from any thread
    and keeps the inbox alive until the message is in.
*/
class call_inbox : public std::enable_shared_from_this<call_inbox>
{
public:
    explicit call_inbox(asio::any_io_executor loop);

    void post_reply(const dispatch_port::reply& answer);
    void post_claim(const claim_result& result);

    /// The caller has closed its connection. On the event loop only.
    void caller_left();

    /// The drain limit is reached: the call has to end. On the event loop
    /// only.
    void force_end();

    /// The call is over: later messages mean nothing.
    void finish();

    /// @return The next reply; empty when the call has to end.
    asio::awaitable<std::optional<dispatch_port::reply>> next_reply();

    /// @return The claim's result, also when the caller has left meanwhile.
    asio::awaitable<claim_result> claim_answer();

    bool left() const
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

    /// @return Whether a running attempt has to end.
    bool interrupted() const
    {
        return this->is_forced || (this->has_left && !this->outlives_caller);
    }

    /// Interrupts the running attempt; empty when there is none.
    std::function<void()> on_interrupt;

    /// Whether an attempt goes on without its caller, so that its outcome
    /// becomes known.
    bool outlives_caller = false;

private:
    asio::awaitable<void> wait();
    void interrupt();

    asio::any_io_executor executor;
    asio::steady_timer signal;
    std::deque<dispatch_port::reply> replies;
    std::optional<claim_result> claim;
    bool has_left = false;
    bool is_forced = false;
    bool is_finished = false;
};

} // namespace roseworks::edge

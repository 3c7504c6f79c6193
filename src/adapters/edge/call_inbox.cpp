#include "adapters/edge/call_inbox.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace roseworks::edge
{

call_inbox::call_inbox(asio::any_io_executor loop)
    : executor(std::move(loop))
    , wakeup(this->executor, asio::steady_timer::time_point::max())
{
}

void call_inbox::post_reply(const dispatch_port::reply& answer)
{
    asio::post(
        this->executor,
        [self = this->shared_from_this(), answer]
        {
            self->replies.push_back(answer);
            self->wakeup.cancel();
        });
}

void call_inbox::post_claim(const claim_result& result)
{
    asio::post(
        this->executor,
        [self = this->shared_from_this(), result]
        {
            self->claim = result;
            self->wakeup.cancel();
        });
}

void call_inbox::caller_left()
{
    this->has_left = true;
    this->interrupt();
}

void call_inbox::force_end()
{
    this->is_forced = true;
    this->interrupt();
}

void call_inbox::interrupt()
{
    this->wakeup.cancel();
    if (this->on_interrupt && this->interrupted())
        this->on_interrupt();
}

void call_inbox::finish()
{
    this->is_finished = true;
    this->on_interrupt = nullptr;
}

asio::awaitable<std::optional<dispatch_port::reply>> call_inbox::next_reply()
{
    while (this->replies.empty() && !this->has_left && !this->is_forced)
        co_await this->wait();
    if (this->has_left || this->is_forced)
        co_return std::nullopt;
    dispatch_port::reply answer = std::move(this->replies.front());
    this->replies.pop_front();
    co_return answer;
}

asio::awaitable<claim_result> call_inbox::wait_for_claim()
{
    while (!this->claim)
        co_await this->wait();
    co_return *std::exchange(this->claim, std::nullopt);
}

asio::awaitable<void> call_inbox::wait()
{
    co_await this->wakeup.async_wait(use_awaitable_tuple);
}

} // namespace roseworks::edge

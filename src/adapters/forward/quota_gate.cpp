#include "adapters/forward/quota_gate.hpp"

#include "adapters/edge/net.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace roseworks::forward
{

namespace asio = boost::asio;

namespace
{

/// One draw on its way; shared with the handler of its decision.
struct open_draw
{
    explicit open_draw(const asio::any_io_executor& executor)
        : timer(executor, asio::steady_timer::time_point::max())
    {
    }

    asio::steady_timer timer;
    std::optional<quota_decision> decision;
    bool is_abandoned = false;
};

} // namespace

quota_gate::quota_gate(quota_port& port, asio::any_io_executor loop)
    : limits(port)
    , executor(std::move(loop))
{
}

asio::awaitable<std::optional<quota_decision>>
quota_gate::pass(quota_request request, edge::call_inbox& inbox)
{
    const auto open = std::make_shared<open_draw>(this->executor);
    inbox.on_interrupt = [open]
    {
        open->timer.cancel();
    };
    this->limits.draw(
        request,
        [open, request, &port = this->limits, loop = this->executor](
            const quota_decision& made)
        {
            asio::post(
                loop,
                [open, request, &port, made]
                {
                    open->decision = made;
                    open->timer.cancel();
                    if (open->is_abandoned && made.is_allowed)
                        port.give_back(request.organisation, request.amount);
                });
        });
    while (!open->decision && !inbox.interrupted())
        co_await open->timer.async_wait(edge::use_awaitable_tuple);
    const bool has_to_wait = open->decision && open->decision->is_allowed &&
                             open->decision->wait > duration::zero();
    if (has_to_wait && !inbox.interrupted())
    {
        open->timer.expires_after(open->decision->wait);
        co_await open->timer.async_wait(edge::use_awaitable_tuple);
    }
    inbox.on_interrupt = nullptr;
    if (!inbox.interrupted())
        co_return open->decision;
    open->is_abandoned = true;
    if (open->decision && open->decision->is_allowed)
        this->limits.give_back(request.organisation, request.amount);
    co_return std::nullopt;
}

} // namespace roseworks::forward

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

/// State of a pending quota request, shared with its decision handler.
struct pending_request
{
    explicit pending_request(const asio::any_io_executor& executor)
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
quota_gate::acquire(quota_request request, edge::call_inbox& inbox)
{
    const auto pending = std::make_shared<pending_request>(this->executor);
    inbox.on_interrupt = [pending]
    {
        pending->timer.cancel();
    };
    this->limits.draw(
        request,
        [pending, request, &port = this->limits, loop = this->executor](
            const quota_decision& outcome)
        {
            asio::post(
                loop,
                [pending, request, &port, outcome]
                {
                    pending->decision = outcome;
                    pending->timer.cancel();
                    if (pending->is_abandoned && outcome.is_allowed)
                        port.refund(request.account, request.amount);
                });
        });
    while (!pending->decision && !inbox.interrupted())
        co_await pending->timer.async_wait(edge::use_awaitable_tuple);
    const bool has_to_wait = pending->decision &&
                             pending->decision->is_allowed &&
                             pending->decision->wait > duration::zero();
    if (has_to_wait && !inbox.interrupted())
    {
        pending->timer.expires_after(pending->decision->wait);
        co_await pending->timer.async_wait(edge::use_awaitable_tuple);
    }
    inbox.on_interrupt = nullptr;
    if (!inbox.interrupted())
        co_return pending->decision;
    pending->is_abandoned = true;
    if (pending->decision && pending->decision->is_allowed)
        this->limits.refund(request.account, request.amount);
    co_return std::nullopt;
}

} // namespace roseworks::forward

#include "adapters/forward/origin_gate.hpp"

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

/// A question without an answer, shared with the handler of its answer.
struct pending_question
{
    explicit pending_question(const asio::any_io_executor& executor)
        : timer(executor, asio::steady_timer::time_point::max())
    {
    }

    asio::steady_timer timer;
    std::optional<stream_origin> origin;
};

} // namespace

origin_gate::origin_gate(origin_port& port, asio::any_io_executor loop)
    : origins(port)
    , executor(std::move(loop))
{
}

asio::awaitable<std::optional<stream_origin>>
origin_gate::find(origin_question question, edge::call_inbox& inbox)
{
    const auto pending = std::make_shared<pending_question>(this->executor);
    inbox.on_interrupt = [pending]
    {
        pending->timer.cancel();
    };
    this->origins.find(
        std::move(question),
        [pending, loop = this->executor](const stream_origin& found)
        {
            asio::post(
                loop,
                [pending, found]
                {
                    pending->origin = found;
                    pending->timer.cancel();
                });
        });
    while (!pending->origin && !inbox.interrupted())
        co_await pending->timer.async_wait(edge::use_awaitable_tuple);
    inbox.on_interrupt = nullptr;
    if (inbox.interrupted())
        co_return std::nullopt;
    co_return pending->origin;
}

} // namespace roseworks::forward

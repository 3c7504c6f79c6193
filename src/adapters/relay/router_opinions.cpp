#include "adapters/relay/router_opinions.hpp"

#include "adapters/edge/backend_connection.hpp"
#include "adapters/relay/relay_handshake.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace roseworks::relay
{

namespace asio = boost::asio;

struct router_opinions::question
{
    relay_request request;
    handler on_done;
    std::size_t pending = 0; ///< routers that have not answered
    std::size_t refusals = 0;
    bool is_done = false;
};

router_opinions::router_opinions(asio::io_context& context, options chosen)
    : loop(context)
    , settings(chosen)
    , random(chosen.seed)
{
}

void router_opinions::ask(const std::string& server, handler on_done)
{
    const auto current = std::make_shared<question>();
    current->request.server = server;
    current->request.test_only = true;
    current->on_done = std::move(on_done);
    std::vector<relay_router> asked;
    std::sample(
        this->routers.begin(),
        this->routers.end(),
        std::back_inserter(asked),
        this->settings.max_routers,
        this->random);
    std::vector<edge::tcp::endpoint> endpoints;
    for (const relay_router& one : asked)
    {
        edge::tcp::endpoint endpoint;
        if (edge::parse_address(one.address, endpoint))
            endpoints.push_back(endpoint);
    }
    // One more than are asked, so that the answer is given later in any case.
    current->pending = endpoints.size() + 1;
    for (const edge::tcp::endpoint& endpoint : endpoints)
        asio::co_spawn(
            this->loop, this->ask_one(current, endpoint), asio::detached);
    asio::post(
        this->loop,
        [this, current]
        {
            this->answered(current, relay_status::no_reply);
        });
}

void router_opinions::stop()
{
    this->stopped = true;
}

asio::awaitable<void>
router_opinions::ask_one(question_ptr current, edge::tcp::endpoint router)
{
    tls::secure_stream stream(this->loop.get_executor());
    const relay_status status = co_await ask_router(
        stream, router, current->request, this->settings.timeout);
    this->answered(current, status);
}

void router_opinions::answered(const question_ptr& current, relay_status status)
{
    --current->pending;
    current->refusals += status == relay_status::refused ? 1 : 0;
    if (this->stopped || current->is_done)
        return;
    const bool is_reached = status == relay_status::opened;
    if (!is_reached && current->pending != 0)
        return;
    current->is_done = true;
    if (is_reached)
        current->on_done(reach_opinion::reached);
    else
        current->on_done(
            current->refusals != 0 ? reach_opinion::refused
                                   : reach_opinion::unknown);
}

} // namespace roseworks::relay

#include "adapters/relay/relayed_opener.hpp"

#include "adapters/relay/relay_handshake.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::relay
{

namespace asio = boost::asio;
using edge::connect_result;

relayed_opener::relayed_opener(
    options chosen,
    edge::connection_opener& direct_way,
    const clock_port& time,
    event_sink& sink,
    std::function<void()> on_change)
    : settings(std::move(chosen))
    , direct(direct_way)
    , clock(time)
    , events(sink)
    , notify(std::move(on_change))
    , reach(this->settings.reach)
    , selector(this->settings.routers)
{
}

asio::awaitable<connect_result>
relayed_opener::open(edge::backend_connection& connection, duration limit)
{
    const instant until = this->clock.now() + limit;
    connect_result result = connect_result::failed;
    const bool is_direct =
        !this->selector.has_routers() ||
        this->reach.tries_direct(connection.address, this->clock.now());
    if (is_direct)
        result = co_await this->open_directly(connection, limit);
    if (result == connect_result::opened || connection.abandoned)
        co_return result;
    if (this->reach.asks_others(connection.address, this->clock.now()))
        result = co_await this->open_through_others(connection, result, until);
    const instant now = this->clock.now();
    const bool is_last_resort =
        result != connect_result::opened && !is_direct &&
        !connection.abandoned && now < until &&
        this->reach.tries_as_last_resort(connection.address, now);
    if (is_last_resort)
    {
        connection.stream.close();
        result = co_await this->open_directly(connection, until - now);
    }
    this->report_change();
    co_return result;
}

asio::awaitable<connect_result> relayed_opener::open_directly(
    edge::backend_connection& connection, duration limit)
{
    const duration timeout =
        this->selector.has_routers()
            ? std::min<duration>(limit, this->settings.direct_timeout)
            : limit;
    const connect_result result =
        co_await this->direct.open(connection, timeout);
    const instant now = this->clock.now();
    if (result == connect_result::opened)
    {
        this->reach.direct_opened(connection.address, now);
        this->report_change();
    }
    else if (!connection.abandoned)
        this->reach.direct_failed(
            connection.address,
            result == connect_result::refused
                ? server_reach::failure::refused
                : server_reach::failure::no_answer,
            now);
    co_return result;
}

asio::awaitable<connect_result>
relayed_opener::open_for_other(edge::backend_connection& connection)
{
    const connect_result result =
        co_await this->open_directly(connection, this->settings.direct_timeout);
    co_return result;
}

asio::awaitable<connect_result> relayed_opener::open_through_others(
    edge::backend_connection& connection,
    connect_result direct_result,
    instant until)
{
    const relay_request request{connection.address, false};
    std::vector<std::string> tried;
    std::size_t unanswered = 0;
    std::size_t refusals = 0;
    while (tried.size() < this->settings.max_routers)
    {
        const instant now = this->clock.now();
        const relay_router* router = this->selector.choose(tried, now);
        edge::tcp::endpoint endpoint;
        if (now >= until || connection.abandoned || router == nullptr ||
            !edge::parse_address(router->address, endpoint))
            co_return direct_result;
        const std::string name = router->name;
        tried.push_back(name);
        connection.stream.close();
        const relay_status status = co_await ask_router(
            connection.stream,
            endpoint,
            request,
            std::min<duration>(until - now, this->settings.relay_timeout));
        const instant answered = this->clock.now();
        switch (status)
        {
        case relay_status::opened:
            this->selector.succeeded(name);
            this->reach.opened_by_other(connection.address, answered);
            connection.relay = name;
            edge::enable_dead_peer_detection(
                connection.stream.socket(), this->settings.tcp_user_timeout);
            co_return connect_result::opened;
        case relay_status::refused:
            direct_result = connect_result::refused;
            ++refusals;
            break;
        case relay_status::unreachable:
            direct_result = connect_result::failed;
            ++unanswered;
            break;
        case relay_status::not_tried:
            break;
        default:
            this->selector.failed(name, answered);
            break;
        }
        const bool is_unreached = unanswered >= this->settings.max_unanswered ||
                                  refusals >= this->settings.max_refusals;
        if (!is_unreached)
            continue;
        this->reach.unreached_by_all(connection.address, answered);
        co_return direct_result;
    }
    co_return direct_result;
}

bool relayed_opener::may_reuse(const edge::backend_connection& connection) const
{
    if (connection.relay.empty())
        return this->reach.may_reuse_direct(connection.address);
    const duration age = this->clock.now() - connection.opened;
    return age < this->settings.relayed_max_age;
}

void relayed_opener::tick()
{
    this->reach.tick(this->clock.now());
    this->report_change();
}

void relayed_opener::report_change()
{
    const bool is_cut_off = this->reach.is_cut_off();
    if (is_cut_off == std::exchange(this->was_cut_off, is_cut_off))
        return;
    const std::size_t lost = this->reach.lost_servers();
    const std::size_t reached = this->reach.reached_servers();
    if (is_cut_off)
        this->events.report(
            event_id::servers_cut_off,
            {{"through_others", lost}, {"directly", reached}});
    else
        this->events.report(
            event_id::servers_reached,
            {{"through_others", lost}, {"directly", reached}});
    this->notify();
}

} // namespace roseworks::relay

#include "adapters/platform/http_engine_client.hpp"

#include "adapters/platform/platform_messages.hpp"
#include "adapters/platform/rethrow.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace roseworks::platform
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace leaf = boost::leaf;

using steady = std::chrono::steady_clock;

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_out_of_memory = 507;
constexpr unsigned client_errors = 400;
constexpr unsigned server_errors = 500;

order_outcome outcome_of(const http_answer& answer, order_action action)
{
    if (answer.end == exchange_end::no_answer)
        return order_outcome::unknown;
    if (answer.end != exchange_end::answered)
        return order_outcome::not_sent;

    switch (answer.status)
    {
    case status_ok:
    case status_accepted:
        return order_outcome::accepted;
    case status_out_of_memory:
        return order_outcome::out_of_memory;
    case status_not_found:
        return action == order_action::unload ? order_outcome::not_found
                                              : order_outcome::refused;
    case status_conflict:
        return read_error_word(answer.body) == "stale_fence"
                   ? order_outcome::stale_fence
                   : order_outcome::refused;
    default:
        break;
    }
    const bool says_no =
        answer.status >= client_errors && answer.status < server_errors;
    return says_no ? order_outcome::refused : order_outcome::unknown;
}

engine_report unreachable(engine_id engine)
{
    engine_report report;
    report.engine = engine;
    return report;
}

} // namespace

http_engine_client::http_engine_client(
    asio::any_io_executor on,
    const options& wanted,
    credentials to_show,
    byte_meter& counted)
    : executor(std::move(on))
    , settings(wanted)
    , shown(std::move(to_show))
    , meter(counted)
{
}

void http_engine_client::show(credentials replacement)
{
    this->shown = std::move(replacement);
}

void http_engine_client::send_order(
    const engine_order& order,
    std::string_view engine_name,
    may_send allowed,
    order_done done)
{
    http_client* client = this->find_client(order.address);
    if (client == nullptr)
    {
        asio::post(
            this->executor,
            [done = std::move(done)]
            {
                done(order_outcome::not_sent);
            });
        return;
    }

    http_call call;
    call.method = http::verb::post;
    call.target = "/v1/engine/orders";
    call.content_type = "application/json";
    call.body = write_order(order);
    call.timeout = this->settings.order_timeout;
    call.may_send = std::move(allowed);
    const std::string_view credential = this->shown.find(engine_name);
    if (order.checks_credential && !credential.empty())
        call.authorization = "Bearer " + std::string(credential);
    asio::co_spawn(
        this->executor,
        this->run_order(
            *client, order.action, std::move(call), std::move(done)),
        rethrow);
}

void http_engine_client::read_state(const read_engine& what, read_done done)
{
    http_client* client = this->find_client(what.address);
    if (client == nullptr)
    {
        asio::post(
            this->executor,
            [done = std::move(done), engine = what.engine]
            {
                done(unreachable(engine));
            });
        return;
    }
    asio::co_spawn(
        this->executor,
        this->run_read(*client, what.engine, std::move(done)),
        rethrow);
}

void http_engine_client::read_cache_events(
    const read_engine& what, std::uint64_t incarnation, cache_done done)
{
    server* from = this->find_server(what.address);
    if (from == nullptr || from->reading_events)
        return;
    if (from->incarnation != incarnation)
    {
        from->incarnation = incarnation;
        from->next_event = 0;
    }
    from->reading_events = true;
    cache_report asked;
    asked.engine = what.engine;
    asked.incarnation = incarnation;
    asked.from = from->next_event;
    asio::co_spawn(
        this->executor,
        this->run_read_events(from->client, what, asked, std::move(done)),
        rethrow);
}

void http_engine_client::cancel_all()
{
    for (auto& [address, one] : this->servers)
        one.client.break_connections();
}

asio::awaitable<void> http_engine_client::run_order(
    http_client to, order_action action, http_call call, order_done done)
{
    const http_answer answer = co_await to.send(std::move(call));
    done(outcome_of(answer, action));
}

asio::awaitable<void>
http_engine_client::run_read(http_client from, engine_id engine, read_done done)
{
    http_call call;
    call.target = "/v1/engine/state";
    call.timeout = this->settings.order_timeout;
    const http_answer answer = co_await from.send(std::move(call));
    if (!answer.is(status_ok))
    {
        done(unreachable(engine));
        co_return;
    }
    done(leaf::try_handle_all(
        [&]() -> leaf::result<engine_report>
        {
            return read_report(answer.body, engine);
        },
        [&]
        {
            return unreachable(engine);
        }));
}

asio::awaitable<void> http_engine_client::run_read_events(
    http_client from, read_engine what, cache_report asked, cache_done done)
{
    const std::uint64_t first = std::max<std::uint64_t>(asked.from, 1);
    http_call call;
    call.target = "/v1/engine/events?from=" + std::to_string(first);
    call.timeout = this->settings.order_timeout;
    const http_answer answer = co_await from.send(std::move(call));

    const auto place = this->servers.find(what.address);
    if (place != this->servers.end())
        place->second.reading_events = false;
    if (!answer.is(status_ok) || place == this->servers.end())
        co_return;
    std::optional<cache_report> report = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<cache_report>>
        {
            BOOST_LEAF_AUTO(read, read_cache_report(answer.body));
            return read;
        },
        []
        {
            return std::optional<cache_report>();
        });
    if (!report)
        co_return;
    report->engine = asked.engine;
    report->incarnation = asked.incarnation;
    report->from = asked.from;
    // Numbers that went back are those of another run: the next read is anew.
    place->second.next_event = report->next < first ? 0 : report->next;
    done(*report);
}

http_client* http_engine_client::find_client(const std::string& address)
{
    server* found = this->find_server(address);
    return found == nullptr ? nullptr : &found->client;
}

http_engine_client::server*
http_engine_client::find_server(const std::string& address)
{
    const auto now = steady::now();
    this->forget_unused(now);
    auto found = this->servers.find(address);
    if (found == this->servers.end())
    {
        const auto endpoint = parse_endpoint(address);
        if (!endpoint)
            return nullptr;
        http_client::options wanted;
        wanted.connect_timeout = this->settings.connect_timeout;
        wanted.secured_by = this->settings.secured_by;
        http_client client(this->executor, *endpoint, wanted, this->meter);
        found = this->servers.emplace(address, server{std::move(client), now})
                    .first;
    }
    found->second.last_used = now;
    return &found->second;
}

void http_engine_client::forget_unused(steady::time_point now)
{
    if (now < this->next_sweep)
        return;
    this->next_sweep = now + this->settings.forget_after;
    std::erase_if(
        this->servers,
        [&](const auto& entry)
        {
            return entry.second.last_used + this->settings.forget_after < now;
        });
}

} // namespace roseworks::platform

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
    if (answer.outcome == exchange_outcome::no_answer)
        return order_outcome::unknown;
    if (answer.outcome != exchange_outcome::answered)
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
        return read_error_code(answer.body) == "stale_fence"
                   ? order_outcome::stale_fence
                   : order_outcome::refused;
    default:
        break;
    }
    const bool is_client_error =
        answer.status >= client_errors && answer.status < server_errors;
    return is_client_error ? order_outcome::refused : order_outcome::unknown;
}

engine_report make_unreachable_report(engine_id engine)
{
    engine_report report;
    report.engine = engine;
    return report;
}

} // namespace

http_engine_client::http_engine_client(
    asio::any_io_executor executor,
    const options& settings,
    credentials initial_credentials,
    byte_meter& meter)
    : executor(std::move(executor))
    , settings(settings)
    , current_credentials(std::move(initial_credentials))
    , meter(meter)
{
}

void http_engine_client::set_credentials(credentials replacement)
{
    this->current_credentials = std::move(replacement);
}

void http_engine_client::send_order(
    const engine_order& order,
    std::string_view engine_name,
    may_send may_send_now,
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
    call.may_send = std::move(may_send_now);
    const std::string_view credential =
        this->current_credentials.find(engine_name);
    if (order.checks_credential && !credential.empty())
        call.authorization = "Bearer " + std::string(credential);
    asio::co_spawn(
        this->executor,
        this->run_order(
            *client, order.action, std::move(call), std::move(done)),
        rethrow);
}

void http_engine_client::read_state(const read_engine& request, read_done done)
{
    http_client* client = this->find_client(request.address);
    if (client == nullptr)
    {
        asio::post(
            this->executor,
            [done = std::move(done), engine = request.engine]
            {
                done(make_unreachable_report(engine));
            });
        return;
    }
    asio::co_spawn(
        this->executor,
        this->run_read(*client, request.engine, std::move(done)),
        rethrow);
}

void http_engine_client::read_cache_events(
    const read_engine& request, std::uint64_t incarnation, cache_done done)
{
    server* from = this->find_server(request.address);
    if (from == nullptr || from->is_reading_events)
        return;
    if (from->incarnation != incarnation)
    {
        from->incarnation = incarnation;
        from->next_event = 0;
    }
    from->is_reading_events = true;
    cache_report requested;
    requested.engine = request.engine;
    requested.incarnation = incarnation;
    requested.from = from->next_event;
    asio::co_spawn(
        this->executor,
        this->run_read_events(
            from->client, request, requested, std::move(done)),
        rethrow);
}

void http_engine_client::cancel_all()
{
    for (auto& [address, server] : this->servers)
        server.client.break_connections();
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
        done(make_unreachable_report(engine));
        co_return;
    }
    done(leaf::try_handle_all(
        [&]() -> leaf::result<engine_report>
        {
            return read_report(answer.body, engine);
        },
        [&]
        {
            return make_unreachable_report(engine);
        }));
}

asio::awaitable<void> http_engine_client::run_read_events(
    http_client from,
    read_engine request,
    cache_report requested,
    cache_done done)
{
    const std::uint64_t first = std::max<std::uint64_t>(requested.from, 1);
    http_call call;
    call.target = "/v1/engine/events?from=" + std::to_string(first);
    call.timeout = this->settings.order_timeout;
    const http_answer answer = co_await from.send(std::move(call));

    const auto found = this->servers.find(request.address);
    if (found != this->servers.end())
        found->second.is_reading_events = false;
    if (!answer.is(status_ok) || found == this->servers.end())
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
    report->engine = requested.engine;
    report->incarnation = requested.incarnation;
    report->from = requested.from;
    // A lower number than requested belongs to another run of the engine, so
    // the next read starts from the beginning.
    found->second.next_event = report->next < first ? 0 : report->next;
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
    this->remove_unused_servers(now);
    auto found = this->servers.find(address);
    if (found == this->servers.end())
    {
        const auto endpoint = parse_endpoint(address);
        if (!endpoint)
            return nullptr;
        http_client::options client_options;
        client_options.connect_timeout = this->settings.connect_timeout;
        client_options.tls_connector = this->settings.tls_connector;
        http_client client(
            this->executor, *endpoint, client_options, this->meter);
        found = this->servers.emplace(address, server{std::move(client), now})
                    .first;
    }
    found->second.last_used = now;
    return &found->second;
}

void http_engine_client::remove_unused_servers(steady::time_point now)
{
    if (now < this->next_removal)
        return;
    this->next_removal = now + this->settings.unused_engine_timeout;
    std::erase_if(
        this->servers,
        [&](const auto& entry)
        {
            return entry.second.last_used +
                       this->settings.unused_engine_timeout <
                   now;
        });
}

} // namespace roseworks::platform

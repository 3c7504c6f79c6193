#include "adapters/forward/forward_session.hpp"

#include "adapters/edge/request_framing.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace roseworks::forward
{

namespace leaf = boost::leaf;

namespace
{

/// @return The problem of invalid message framing; empty if it is valid.
std::optional<edge::call_problem>
framing_problem(const edge::caller_parser& parser)
{
    using result = std::optional<edge::call_problem>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<result>
        {
            BOOST_LEAF_CHECK(
                edge::check_framing(parser.get(), parser.get().version()));
            return result();
        },
        [](edge::call_problem problem)
        {
            return result(std::move(problem));
        },
        []
        {
            return result(edge::client_error("invalid framing"));
        });
}

local_response make_request_error(unsigned status)
{
    local_response response;
    response.status = status;
    response.reason = refusal_reason::bad_request;
    return response;
}

} // namespace

forward_session::forward_session(
    forward_context& shared,
    edge::backend_pool& connections,
    receive_budget& memory,
    edge::tcp::socket socket,
    const edge::edge_options& limits)
    : context(shared)
    , pool(connections)
    , options(limits)
    , connection(std::move(socket), this->options, memory, shared.clock)
{
    beast::error_code ignored;
    this->connection.stream.socket().set_option(
        edge::tcp::no_delay(true), ignored);
}

asio::awaitable<void> forward_session::run()
{
    bool reusable = true;
    while (reusable)
        reusable = co_await this->handle_next_request();
    co_await this->connection.linger_close();
}

void forward_session::close_idle()
{
    this->connection.stop_waiting();
}

void forward_session::refuse_blocked()
{
    if (this->active_call != nullptr)
        this->active_call->refuse_if_blocked();
}

void forward_session::refuse_waiting()
{
    if (this->active_call != nullptr)
        this->active_call->refuse_if_waiting(
            refusal_reason::draining, duration::zero());
}

void forward_session::force_end()
{
    if (this->active_call != nullptr)
        this->active_call->force_end();
    else
        this->connection.stream.close();
}

asio::awaitable<bool> forward_session::handle_next_request()
{
    edge::caller_parser parser;
    parser.header_limit(
        static_cast<std::uint32_t>(this->options.max_header_bytes));
    parser.body_limit(this->options.max_body_bytes);
    edge::caller_read read =
        co_await this->connection.read_head(parser, this->options.caller_idle);
    if (read.result == edge::caller_read::status::closed)
        co_return false;
    std::optional<edge::call_problem> problem;
    if (read.result == edge::caller_read::status::rejected)
        problem = std::move(read.problem);
    else
        problem = framing_problem(parser);
    if (problem)
    {
        co_await this->reject_request(*problem, parser);
        co_return false;
    }
    forward_request request =
        make_forward_request(parser.get(), this->context.names);
    read = co_await this->connection.read_body(parser);
    if (read.result == edge::caller_read::status::closed)
        co_return false;
    if (read.result == edge::caller_read::status::rejected)
    {
        co_await this->reject_request(read.problem, parser);
        co_return false;
    }
    request.body =
        std::make_shared<const std::string>(std::move(parser.get().body()));
    request.arrived = this->context.now();
    const bool reusable = co_await this->handle_request(std::move(request));
    co_return reusable;
}

asio::awaitable<void> forward_session::reject_request(
    const edge::call_problem& problem, const edge::caller_parser& parser)
{
    const bool is_malformed = problem.reason == refusal_reason::bad_request;
    this->context.metrics.requests.increment(
        is_malformed ? request_end::turned_away : request_end::refused);
    const auto id = parser.get()[this->context.names.request_id];
    const std::string_view shown(id.data(), id.size());
    this->context.events.report(
        event_id::bad_request,
        {{"request_id", shown},
         {"reason", problem.detail.empty() ? problem.title : problem.detail},
         {"status", problem.status}});
    const local_response response{
        problem.status, problem.outcome, problem.reason, problem.retry_after};
    const std::string bytes = to_bytes(
        response,
        this->context.names,
        is_malformed ? std::string_view() : shown,
        false,
        false);
    co_await this->connection.write_raw(bytes);
}

asio::awaitable<bool> forward_session::handle_request(forward_request request)
{
    constexpr unsigned not_found = 404;
    if (!this->context.sends_requests)
    {
        const bool reusable = co_await this->send_response(
            make_local_response(refusal_reason::draining, verdict::not_run),
            request);
        co_return reusable;
    }
    const serving_table_ptr table = this->context.ports.table();
    if (!table)
    {
        const bool reusable = co_await this->send_response(
            make_local_response(
                refusal_reason::no_capacity,
                verdict::not_run,
                this->context.settings.outdated_retry_after),
            request);
        co_return reusable;
    }
    const path_route* route =
        table->routes().find(request.host, request.target);
    if (route == nullptr)
    {
        const bool reusable = co_await this->send_response(
            this->retry_if_outdated(make_request_error(not_found)), request);
        co_return reusable;
    }
    caller_organisation holder = find_caller(table->organisations(), request);
    const bool is_known = !holder.name.empty() || !holder.keys_required;
    if (!is_known && !route->allow_anonymous)
    {
        const local_response refused = make_local_response(
            refusal_reason::unknown_key, verdict::not_run, duration::zero());
        const bool reusable = co_await this->send_response(
            this->retry_if_outdated(refused), request);
        co_return reusable;
    }
    const duration retry_after = blocked_for(
        this->context.gate,
        *this->context.ports.crashes.blocked(),
        request,
        request.content_fingerprint(),
        this->context.now());
    if (retry_after > duration::zero())
    {
        const bool reusable = co_await this->send_response(
            make_local_response(
                refusal_reason::blocked, verdict::not_run, retry_after),
            request);
        co_return reusable;
    }
    std::string service(choose_service(*route, this->context.random()));
    const bool is_engine_service = table->has_engines(service);
    forward_call call(
        this->context,
        this->pool,
        this->connection,
        std::move(request),
        *route,
        std::move(holder),
        std::move(service),
        is_engine_service);
    this->active_call = &call;
    const bool reusable = co_await call.run();
    this->active_call = nullptr;
    co_return reusable;
}

local_response
forward_session::retry_if_outdated(local_response permanent_error) const
{
    if (!this->context.ports.is_outdated())
        return permanent_error;
    // Callers do not retry after a 404 or a 401.
    return make_local_response(
        refusal_reason::outdated,
        verdict::not_run,
        this->context.settings.outdated_retry_after);
}

asio::awaitable<bool> forward_session::send_response(
    local_response response, const forward_request& request)
{
    const bool keep_open =
        request.keep_alive && !this->context.closes_connections();
    this->context.metrics.requests.increment(
        response.reason == refusal_reason::bad_request
            ? request_end::turned_away
            : request_end::refused);
    this->context.events.report(
        event_id::request_ended,
        {{"request_id", request.id},
         {"route", ""},
         {"servable", request.model},
         {"end", "turned_away"},
         {"status", response.status},
         {"reason", to_string(response.reason)},
         {"target", request.target}});
    const std::string bytes = to_bytes(
        response,
        this->context.names,
        request.id,
        keep_open,
        request.head_only);
    const bool written = co_await this->connection.write_raw(bytes);
    co_return written&& keep_open;
}

} // namespace roseworks::forward

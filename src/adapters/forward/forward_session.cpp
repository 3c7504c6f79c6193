#include "adapters/forward/forward_session.hpp"

#include "adapters/edge/request_framing.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace roseworks::forward
{

namespace leaf = boost::leaf;

namespace
{

/// @return The error status for invalid message framing; 0 if it is valid.
unsigned framing_fault(const edge::caller_parser& parser)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<unsigned>
        {
            BOOST_LEAF_CHECK(
                edge::check_framing(parser.get(), parser.get().version()));
            return 0U;
        },
        [](const edge::call_problem& problem)
        {
            return problem.status;
        },
        []
        {
            constexpr unsigned bad_request = 400;
            return bad_request;
        });
}

own_answer turned_away_with(unsigned status)
{
    own_answer made;
    made.status = status;
    made.reason = refusal_reason::bad_request;
    return made;
}

} // namespace

forward_session::forward_session(
    forward_context& shared,
    edge::backend_pool& connections,
    edge::tcp::socket socket,
    const edge::edge_options& limits)
    : context(shared)
    , pool(connections)
    , options(limits)
    , connection(std::move(socket), this->options)
{
    beast::error_code ignored;
    this->connection.stream.socket().set_option(
        edge::tcp::no_delay(true), ignored);
}

asio::awaitable<void> forward_session::run()
{
    bool more = true;
    while (more)
        more = co_await this->serve_one();
    co_await this->connection.linger_close();
}

void forward_session::close_idle()
{
    this->connection.stop_waiting();
}

void forward_session::force_end()
{
    if (this->running != nullptr)
        this->running->force_end();
    else
        this->connection.stream.close();
}

asio::awaitable<bool> forward_session::serve_one()
{
    edge::caller_parser parser;
    parser.header_limit(
        static_cast<std::uint32_t>(this->options.max_header_bytes));
    parser.body_limit(this->options.max_body_bytes);
    edge::caller_read read =
        co_await this->connection.read_head(parser, this->options.caller_idle);
    if (read.result == edge::caller_read::status::closed)
        co_return false;
    unsigned fault = read.problem.status;
    if (read.result == edge::caller_read::status::done)
        fault = framing_fault(parser);
    if (fault == 0)
    {
        read = co_await this->connection.read_body(parser);
        if (read.result == edge::caller_read::status::closed)
            co_return false;
        if (read.result == edge::caller_read::status::malformed)
            fault = read.problem.status;
    }
    if (fault != 0)
    {
        co_await this->turn_away(fault, parser);
        co_return false;
    }
    const bool more = co_await this->serve(
        make_forward_request(parser, this->context.names, this->context.now()));
    co_return more;
}

asio::awaitable<void>
forward_session::turn_away(unsigned status, const edge::caller_parser& parser)
{
    this->context.metrics.requests.increment(request_end::turned_away);
    const auto id = parser.get()[this->context.names.request_id];
    this->context.events.report(
        event_id::bad_request,
        {{"request_id", std::string_view(id.data(), id.size())},
         {"reason", "framing"},
         {"status", status}});
    const std::string bytes = to_bytes(
        turned_away_with(status), this->context.names, {}, false, false);
    co_await this->connection.write_raw(bytes);
}

asio::awaitable<bool> forward_session::serve(forward_request request)
{
    constexpr unsigned not_found = 404;
    const serving_table_ptr table = this->context.ports.table();
    if (!table)
    {
        const bool more = co_await this->answer(
            make_own_answer(
                refusal_reason::no_capacity,
                verdict::not_run,
                this->context.settings.start_retry),
            request);
        co_return more;
    }
    const path_route* route =
        table->routes().find(request.host, request.target);
    if (route == nullptr)
    {
        const bool more = co_await this->answer(
            this->unless_behind(turned_away_with(not_found)), request);
        co_return more;
    }
    caller_organisation holder = find_caller(table->organisations(), request);
    const bool is_known = !holder.name.empty() || !holder.keys_required;
    if (!is_known && !route->keyless)
    {
        const own_answer refused = make_own_answer(
            refusal_reason::unknown_key, verdict::not_run, duration::zero());
        const bool more =
            co_await this->answer(this->unless_behind(refused), request);
        co_return more;
    }
    if (table->is_blocked(request.content()))
    {
        const bool more = co_await this->answer(
            make_own_answer(
                refusal_reason::blocked,
                verdict::not_run,
                this->context.settings.blocked_retry),
            request);
        co_return more;
    }
    std::string service(choose_service(*route, this->context.random()));
    const bool engines = table->has_engines(service);
    forward_call call(
        this->context,
        this->pool,
        this->connection,
        std::move(request),
        *route,
        std::move(holder),
        std::move(service),
        engines);
    this->running = &call;
    const bool more = co_await call.run();
    this->running = nullptr;
    co_return more;
}

own_answer forward_session::unless_behind(own_answer final_answer) const
{
    if (!this->context.ports.is_behind())
        return final_answer;
    // Callers do not retry after a 404 or a 401.
    return make_own_answer(
        refusal_reason::outdated,
        verdict::not_run,
        this->context.settings.start_retry);
}

asio::awaitable<bool>
forward_session::answer(own_answer what, const forward_request& to)
{
    const bool keep = to.keep_alive && !this->context.draining;
    this->context.metrics.requests.increment(
        what.reason == refusal_reason::bad_request ? request_end::turned_away
                                                   : request_end::refused);
    this->context.events.report(
        event_id::request_ended,
        {{"request_id", to.id},
         {"route", ""},
         {"servable", to.model},
         {"end", "turned_away"},
         {"status", what.status},
         {"reason", to_string(what.reason)},
         {"target", to.target}});
    const std::string bytes =
        to_bytes(what, this->context.names, to.id, keep, to.head_only);
    const bool written = co_await this->connection.write_raw(bytes);
    co_return written&& keep;
}

} // namespace roseworks::forward

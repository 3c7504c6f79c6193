#include "adapters/edge/caller_session.hpp"

#include "adapters/edge/request_framing.hpp"
#include "adapters/edge/response_builder.hpp"
#include "adapters/edge/text_validation.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace roseworks::edge
{

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{

constexpr std::size_t max_request_id_length = 64;
/// Time limit during a drain for the first byte of a request on a connection
/// that is already open.
constexpr std::chrono::milliseconds drain_idle_timeout{500};
/// Part of the deadline reserved for sending the response, so that a refusal at
/// the last moment still reaches the caller in time. For short deadlines the
/// margin is limited to `1 / send_margin_divisor` of the deadline.
constexpr std::chrono::milliseconds send_margin{25};
constexpr int send_margin_divisor = 20;

duration usable_time(std::chrono::milliseconds deadline)
{
    const duration whole = deadline;
    return whole - std::min<duration>(send_margin, whole / send_margin_divisor);
}

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// The request id to echo in an error response; empty if the caller sent none
/// or an invalid one.
std::string usable_request_id(const http::fields& header)
{
    const std::string_view id = view(header["X-Request-Id"]);
    return is_name(id, max_request_id_length) ? std::string(id) : std::string();
}

leaf::result<prepared_call>
parse_head(const caller_parser::value_type& head, const edge_options& options)
{
    BOOST_LEAF_CHECK(check_framing(head, head.version()));
    prepared_call call;
    BOOST_LEAF_ASSIGN(
        call.target,
        parse_request_target(view(head.method_string()), view(head.target())));
    BOOST_LEAF_ASSIGN(
        call.headers,
        parse_call_headers(
            head, options.default_deadline, options.max_deadline));
    call.method = head.method();
    call.content_type = head[http::field::content_type];
    call.version = head.version();
    call.keep_alive = head.keep_alive();
    return call;
}

call_problem unknown_problem()
{
    return make_problem(refusal_reason::none, verdict::not_run);
}

/// @return The problem of a failed parse, empty if it succeeded.
template <class Parse>
std::optional<call_problem> problem_of(Parse parse)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<call_problem>>
        {
            BOOST_LEAF_CHECK(parse());
            return std::optional<call_problem>();
        },
        [](call_problem problem)
        {
            return std::optional(std::move(problem));
        },
        []
        {
            return std::optional(unknown_problem());
        });
}

} // namespace

caller_session::caller_session(
    edge_context& shared,
    backend_pool& connections,
    receive_budget& memory,
    tcp::socket socket)
    : context(shared)
    , pool(connections)
    , connection(std::move(socket), shared.options, memory, shared.clock)
{
    beast::error_code ignored;
    this->connection.stream.socket().set_option(tcp::no_delay(true), ignored);
}

asio::awaitable<void> caller_session::run()
{
    bool keep_open = co_await this->secure();
    while (keep_open)
        keep_open = co_await this->serve_one();
    co_await this->connection.linger_close();
}

asio::awaitable<bool> caller_session::secure()
{
    const auto& certificate = this->context.ports.certificate;
    if (!certificate)
        co_return true;
    const bool done = co_await this->connection.secure(certificate());
    co_return done;
}

asio::awaitable<void> caller_session::reject_over_limit()
{
    const bool secured = co_await this->secure();
    if (!secured)
        co_return;
    call_problem problem =
        make_problem(refusal_reason::queue_full, verdict::not_run);
    problem.detail = "too many connections";
    response_context answer_context;
    answer_context.request_id = this->context.next_request_id();
    co_await this->refuse(
        std::move(problem), nullptr, std::move(answer_context));
    co_await this->connection.linger_close();
}

void caller_session::start_drain()
{
    this->connection.stop_waiting();
}

void caller_session::force_end()
{
    if (this->running)
        this->running->force_end();
    else
        this->connection.stream.close();
}

asio::awaitable<bool> caller_session::serve_one()
{
    caller_parser parser;
    parser.header_limit(
        static_cast<std::uint32_t>(this->context.options.max_header_bytes));
    parser.body_limit(this->context.options.max_body_bytes);
    response_context default_context;
    default_context.request_id = this->context.next_request_id();
    const auto idle = this->context.draining
                          ? drain_idle_timeout
                          : this->context.options.caller_idle;
    caller_read read = co_await this->connection.read_head(parser, idle);
    if (read.result == caller_read::status::closed)
        co_return false;
    if (read.result == caller_read::status::rejected)
    {
        co_await this->refuse(
            std::move(read.problem), nullptr, default_context);
        co_return false;
    }
    const std::string id = usable_request_id(parser.get());
    if (!id.empty())
        default_context.request_id = id;
    checked_head head = this->check(parser);
    if (auto* problem = std::get_if<call_problem>(&head))
    {
        co_await this->refuse(std::move(*problem), nullptr, default_context);
        co_return false;
    }
    prepared_call call = std::get<prepared_call>(std::move(head));
    read = co_await this->connection.read_body(parser);
    if (read.result == caller_read::status::closed)
        co_return false;
    if (read.result == caller_read::status::rejected)
    {
        co_await this->refuse(std::move(read.problem), &call, default_context);
        co_return false;
    }
    call.body = std::move(parser.get().body());
    const bool keep_open = co_await this->serve(std::move(call));
    co_return keep_open;
}

caller_session::checked_head caller_session::check(const caller_parser& parser)
{
    prepared_call call;
    auto problem = problem_of(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(
                call, parse_head(parser.get(), this->context.options));
            return {};
        });
    if (problem)
        return std::move(*problem);
    call.has_caller_request_id = !call.headers.request_id.empty();
    if (!call.has_caller_request_id)
        call.headers.request_id = this->context.next_request_id();
    call.arrived = this->context.now();
    call.deadline = call.arrived + usable_time(call.headers.deadline);
    return call;
}

asio::awaitable<bool> caller_session::serve(prepared_call call)
{
    bool keep_open = false;
    switch (call.target.kind)
    {
    case route_kind::chat:
    case route_kind::completion:
    case route_kind::service:
        keep_open = co_await this->serve_call(std::move(call));
        break;
    default:
        keep_open = co_await this->serve_inline(call);
    }
    co_return keep_open;
}

asio::awaitable<bool> caller_session::serve_call(prepared_call call)
{
    const routing_table_ptr table = this->context.ports.table();
    auto problem = problem_of(
        [&]
        {
            return describe_call(call, table.get());
        });
    if (problem)
    {
        const response_context answer_context = this->context_of(call);
        co_await this->refuse(std::move(*problem), &call, answer_context);
        co_return answer_context.keep_alive;
    }
    call_runner runner(
        this->context, this->pool, this->connection, std::move(call));
    this->running = &runner;
    const bool keep_open = co_await runner.run();
    this->running = nullptr;
    co_return keep_open;
}

asio::awaitable<bool> caller_session::serve_inline(const prepared_call& call)
{
    buffered_response answer = this->answer_inline(call);
    finished_request record;
    record.kind = call.target.kind;
    record.status = answer.result_int();
    const bool keep_open = answer.keep_alive();
    const bool sent = co_await this->connection.write(answer);
    record.caller_left = !sent;
    record.total = this->context.now() - call.arrived;
    this->context.ports.observer.request_finished(record);
    co_return sent&& keep_open;
}

buffered_response caller_session::answer_inline(const prepared_call& call)
{
    const introspection_port& router_state = this->context.ports.introspection;
    const response_context answer_context = this->context_of(call);
    switch (call.target.kind)
    {
    case route_kind::models:
        return make_response(
            answer_context, 200, "application/json", this->models_json());
    case route_kind::metrics:
        return make_response(
            answer_context,
            200,
            "text/plain; version=0.0.4",
            router_state.metrics_text());
    case route_kind::state:
        return make_response(
            answer_context, 200, "application/json", router_state.state_text());
    case route_kind::readyz:
        if (this->context.draining)
            return make_response(
                answer_context, 503, "text/plain", "draining\n");
        if (!router_state.ready())
            return make_response(
                answer_context, 503, "text/plain", "not ready\n");
        return make_response(answer_context, 200, "text/plain", "ready\n");
    default:
        return make_response(answer_context, 200, "text/plain", "alive\n");
    }
}

std::string caller_session::models_json() const
{
    const routing_table_ptr table = this->context.ports.table();
    json::array list;
    if (table)
    {
        for (const std::string& name : table->servable_names())
        {
            json::object model;
            model["id"] = name;
            model["object"] = "model";
            model["owned_by"] = "roseworks";
            list.push_back(std::move(model));
        }
    }
    json::object body;
    body["object"] = "list";
    body["data"] = std::move(list);
    return json::serialize(body);
}

asio::awaitable<void> caller_session::refuse(
    call_problem problem,
    const prepared_call* call,
    response_context answer_context)
{
    beast::error_code ignored;
    const auto peer = this->connection.stream.socket().remote_endpoint(ignored);
    const std::string address = peer.address().to_string();
    this->context.ports.events.report(
        event_id::bad_request,
        {{"request_id", answer_context.request_id},
         {"address", address},
         {"status", problem.status},
         {"reason", problem.detail}});
    finished_request record;
    record.kind = call ? call->target.kind : route_kind::chat;
    record.parsed = call != nullptr;
    record.status = problem.status;
    record.outcome = problem.outcome;
    record.reason = problem.reason;
    if (call)
        record.total = this->context.now() - call->arrived;
    buffered_response answer = make_problem_response(answer_context, problem);
    const bool sent = co_await this->connection.write(answer);
    record.caller_left = !sent;
    this->context.ports.observer.request_finished(record);
}

response_context caller_session::context_of(const prepared_call& call) const
{
    return {
        call.headers.request_id,
        call.version,
        call.keep_alive && !this->context.draining};
}

} // namespace roseworks::edge

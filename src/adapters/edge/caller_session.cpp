#include "adapters/edge/caller_session.hpp"

#include "adapters/edge/answer_header.hpp"
#include "adapters/edge/request_framing.hpp"
#include "adapters/edge/text_rules.hpp"

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

constexpr std::size_t max_request_id = 64;
/// Time limit during a drain for the first byte of a request on a connection
/// that is already open.
constexpr std::chrono::milliseconds drain_idle{500};
/// Part of the deadline reserved for sending the response, so that a refusal at
/// the last moment still reaches the caller in time. For short deadlines it is
/// at most the whole divided by `answer_share`.
constexpr std::chrono::milliseconds answer_margin{25};
constexpr int answer_share = 20;

duration time_to_answer(std::chrono::milliseconds deadline)
{
    const duration whole = deadline;
    return whole - std::min<duration>(answer_margin, whole / answer_share);
}

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// The request id to echo in an error response; empty if the caller sent none
/// or an invalid one.
std::string id_of(const http::fields& header)
{
    const std::string_view id = view(header["X-Request-Id"]);
    return is_name(id, max_request_id) ? std::string(id) : std::string();
}

leaf::result<prepared_call>
read_head(const caller_parser::value_type& head, const edge_options& options)
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

call_problem unknown_fault()
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
            return std::optional(unknown_fault());
        });
}

} // namespace

caller_session::caller_session(
    edge_context& shared, backend_pool& connections, tcp::socket socket)
    : context(shared)
    , pool(connections)
    , connection(std::move(socket), shared.options)
{
    beast::error_code ignored;
    this->connection.stream.socket().set_option(tcp::no_delay(true), ignored);
}

asio::awaitable<void> caller_session::run()
{
    bool more = co_await this->secure();
    while (more)
        more = co_await this->serve_one();
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

asio::awaitable<void> caller_session::turn_away()
{
    const bool secured = co_await this->secure();
    if (!secured)
        co_return;
    call_problem problem =
        make_problem(refusal_reason::queue_full, verdict::not_run);
    problem.detail = "too many connections";
    answer_frame frame;
    frame.request_id = this->context.next_request_id();
    co_await this->refuse(std::move(problem), nullptr, std::move(frame));
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
    answer_frame early;
    early.request_id = this->context.next_request_id();
    const auto idle =
        this->context.draining ? drain_idle : this->context.options.caller_idle;
    caller_read read = co_await this->connection.read_head(parser, idle);
    if (read.result == caller_read::status::closed)
        co_return false;
    if (read.result == caller_read::status::malformed)
    {
        co_await this->refuse(std::move(read.problem), nullptr, early);
        co_return false;
    }
    const std::string id = id_of(parser.get());
    if (!id.empty())
        early.request_id = id;
    checked_head head = this->check(parser);
    if (auto* problem = std::get_if<call_problem>(&head))
    {
        co_await this->refuse(std::move(*problem), nullptr, early);
        co_return false;
    }
    prepared_call call = std::get<prepared_call>(std::move(head));
    read = co_await this->connection.read_body(parser);
    if (read.result == caller_read::status::closed)
        co_return false;
    if (read.result == caller_read::status::malformed)
    {
        co_await this->refuse(std::move(read.problem), &call, early);
        co_return false;
    }
    call.body = std::move(parser.get().body());
    const bool more = co_await this->serve(std::move(call));
    co_return more;
}

caller_session::checked_head caller_session::check(const caller_parser& parser)
{
    prepared_call call;
    auto problem = problem_of(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(
                call, read_head(parser.get(), this->context.options));
            return {};
        });
    if (problem)
        return std::move(*problem);
    call.id_from_caller = !call.headers.request_id.empty();
    if (!call.id_from_caller)
        call.headers.request_id = this->context.next_request_id();
    call.arrived = this->context.now();
    call.deadline = call.arrived + time_to_answer(call.headers.deadline);
    return call;
}

asio::awaitable<bool> caller_session::serve(prepared_call call)
{
    bool more = false;
    switch (call.target.kind)
    {
    case route_kind::chat:
    case route_kind::completion:
    case route_kind::service:
        more = co_await this->serve_call(std::move(call));
        break;
    default:
        more = co_await this->serve_inline(call);
    }
    co_return more;
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
        const answer_frame frame = this->frame_of(call);
        co_await this->refuse(std::move(*problem), &call, frame);
        co_return frame.keep_alive;
    }
    call_runner runner(
        this->context, this->pool, this->connection, std::move(call));
    this->running = &runner;
    const bool more = co_await runner.run();
    this->running = nullptr;
    co_return more;
}

asio::awaitable<bool> caller_session::serve_inline(const prepared_call& call)
{
    whole_answer answer = this->answer_inline(call);
    finished_request record;
    record.kind = call.target.kind;
    record.status = answer.result_int();
    const bool more = answer.keep_alive();
    const bool sent = co_await this->connection.write(answer);
    record.caller_left = !sent;
    record.total = this->context.now() - call.arrived;
    this->context.ports.observer.request_finished(record);
    co_return sent&& more;
}

whole_answer caller_session::answer_inline(const prepared_call& call)
{
    const introspection_port& self = this->context.ports.introspection;
    const answer_frame frame = this->frame_of(call);
    switch (call.target.kind)
    {
    case route_kind::models:
        return make_answer(frame, 200, "application/json", this->models_text());
    case route_kind::metrics:
        return make_answer(
            frame, 200, "text/plain; version=0.0.4", self.metrics_text());
    case route_kind::state:
        return make_answer(frame, 200, "application/json", self.state_text());
    case route_kind::readyz:
        if (this->context.draining)
            return make_answer(frame, 503, "text/plain", "draining\n");
        if (!self.ready())
            return make_answer(frame, 503, "text/plain", "not ready\n");
        return make_answer(frame, 200, "text/plain", "ready\n");
    default:
        return make_answer(frame, 200, "text/plain", "alive\n");
    }
}

std::string caller_session::models_text() const
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
    call_problem problem, const prepared_call* call, answer_frame frame)
{
    beast::error_code ignored;
    const auto peer = this->connection.stream.socket().remote_endpoint(ignored);
    const std::string address = peer.address().to_string();
    this->context.ports.events.report(
        event_id::bad_request,
        {{"request_id", frame.request_id},
         {"address", address},
         {"status", problem.status},
         {"reason", problem.detail}});
    finished_request record;
    record.kind = call ? call->target.kind : route_kind::chat;
    record.understood = call != nullptr;
    record.status = problem.status;
    record.outcome = problem.outcome;
    record.reason = problem.reason;
    if (call)
        record.total = this->context.now() - call->arrived;
    whole_answer answer = make_refusal(frame, problem);
    const bool sent = co_await this->connection.write(answer);
    record.caller_left = !sent;
    this->context.ports.observer.request_finished(record);
}

answer_frame caller_session::frame_of(const prepared_call& call) const
{
    return {
        call.headers.request_id,
        call.version,
        call.keep_alive && !this->context.draining};
}

} // namespace roseworks::edge

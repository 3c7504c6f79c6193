#include "tools/load/completion_call.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <xxhash.h>

#include <cstdio>

namespace roseworks::tools
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

using clock = std::chrono::steady_clock;

/// The caller waits so much longer than the deadline it names.
constexpr std::chrono::seconds patience(5);
constexpr std::uint64_t longest_answer = std::uint64_t(16) << 20;

http::request<http::string_body>
make_request(const endpoint& server, const planned_call& call, bool stream)
{
    http::request<http::string_body> request(
        http::verb::post, "/v1/completions", 11);
    request.set(http::field::host, to_string(server));
    request.set(http::field::content_type, "application/json");
    request.set(http::field::connection, "close");
    request.set("X-Request-Id", call.request_id);
    request.set("X-Caller", call.caller);
    request.set("X-Priority", call.urgency);
    request.set("X-Deadline-Ms", std::to_string(call.deadline.count()));
    if (call.once)
    {
        request.set("Idempotency-Key", call.request_id);
    }
    json::object body;
    body["model"] = call.model;
    body["prompt"] = call.prompt;
    body["max_tokens"] = call.max_tokens;
    body["stream"] = stream;
    request.body() = json::serialize(body);
    request.prepare_payload();
    return request;
}

std::string read_reason(const std::string& body)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(body, error);
    if (error || !parsed.is_object())
    {
        return {};
    }
    const json::value* reason = parsed.get_object().if_contains("reason");
    return reason != nullptr && reason->is_string()
               ? std::string(reason->get_string())
               : std::string();
}

/// Judges a whole response by its verdict.
void judge(
    const http::response<http::string_body>& response,
    const planned_call& call,
    bool stream,
    call_result& result)
{
    const auto header = response["X-Roseworks-Verdict"];
    result.status = response.result_int();
    if (header == "not-run")
    {
        result.outcome = call_outcome::not_run;
        result.reason = read_reason(response.body());
        return;
    }
    const bool says_error =
        response.body().find("event: error") != std::string::npos;
    if (header == "may-have-run" || says_error || header != "answered" ||
        result.status != 200)
    {
        result.outcome = header.empty() ? call_outcome::no_answer
                                        : call_outcome::may_have_run;
        result.reason = read_reason(response.body());
        return;
    }
    result.outcome = is_whole_answer(response.body(), call, stream)
                         ? call_outcome::answered
                         : call_outcome::damaged;
}

} // namespace

const char* to_string(call_outcome outcome)
{
    switch (outcome)
    {
    case call_outcome::answered:
        return "answered";
    case call_outcome::damaged:
        return "damaged";
    case call_outcome::not_run:
        return "not_run";
    case call_outcome::may_have_run:
        return "may_have_run";
    case call_outcome::no_answer:
        return "no_answer";
    case call_outcome::not_sent:
        return "not_sent";
    }
    return "unknown";
}

bool is_whole_answer(
    const std::string& body, const planned_call& call, bool stream)
{
    char mark[17];
    std::snprintf(
        mark,
        sizeof mark,
        "%016llx",
        static_cast<unsigned long long>(
            XXH64(call.prompt.data(), call.prompt.size(), 0)));
    const std::string suffix = "-" + std::string(mark, 8);
    std::size_t from = 0;
    for (std::uint32_t i = 0; i < call.max_tokens; ++i)
    {
        const std::string token = "t" + std::to_string(i) + suffix;
        const std::size_t found = body.find(token, from);
        if (found == std::string::npos)
        {
            return false;
        }
        from = found + token.size();
    }
    return !stream || body.find("data: [DONE]", from) != std::string::npos;
}

asio::awaitable<call_result> send_completion(
    endpoint server,
    const planned_call& call,
    clock::time_point planned,
    bool stream)
{
    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    call_result result;
    result.sent = clock::now() - planned;
    beast::tcp_stream connection(co_await asio::this_coro::executor);
    connection.expires_after(call.deadline + patience);
    const auto [refused] = co_await connection.async_connect(server, token);
    if (refused)
    {
        result.reason = refused.message();
        result.total = clock::now() - planned;
        co_return result;
    }
    const auto request = make_request(server, call, stream);
    const auto [unsent, written] =
        co_await http::async_write(connection, request, token);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(longest_answer);
    boost::system::error_code error = unsent;
    while (!error && !parser.is_done())
    {
        const auto [failed, size] =
            co_await http::async_read_some(connection, buffer, parser, token);
        error = failed;
        const bool has_body =
            parser.is_header_done() && !parser.get().body().empty();
        if (has_body && result.first_token.count() == 0)
        {
            result.first_token = clock::now() - planned;
        }
    }
    result.total = clock::now() - planned;
    if (error)
    {
        result.reason = error.message();
        co_return result;
    }
    judge(parser.get(), call, stream, result);
    co_return result;
}

} // namespace roseworks::tools

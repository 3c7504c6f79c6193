#include "adapters/edge/response_builder.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace roseworks::edge
{

namespace
{

constexpr std::array<std::string_view, 13> hop_by_hop{
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Content-Length",
    "Upgrade",
    "X-Request-Id",
    "X-Roseworks-Verdict",
    "X-Roseworks-Replayed"};

boost::beast::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

bool is_hop_by_hop(beast::string_view name)
{
    return std::any_of(
        hop_by_hop.begin(),
        hop_by_hop.end(),
        [name](std::string_view known)
        {
            return beast::iequals(name, view(known));
        });
}

/// Whether the `Connection` header lists this header as hop-by-hop.
bool is_listed_in_connection(const http::fields& from, beast::string_view name)
{
    return http::token_list(from[http::field::connection]).exists(name);
}

} // namespace

void set_router_headers(
    http::fields& header, std::string_view request_id, verdict outcome)
{
    header.set("X-Request-Id", view(request_id));
    header.set("X-Roseworks-Verdict", view(to_string(outcome)));
}

void copy_end_to_end_headers(const http::fields& from, http::fields& to)
{
    for (const auto& field : from)
    {
        const auto name = field.name_string();
        if (!is_hop_by_hop(name) && !is_listed_in_connection(from, name))
            to.insert(name, field.value());
    }
}

buffered_response make_response(
    const response_context& context,
    unsigned status,
    std::string_view content_type,
    std::string body,
    verdict outcome)
{
    buffered_response answer;
    answer.result(status);
    answer.version(context.version);
    answer.set(http::field::content_type, view(content_type));
    set_router_headers(answer, context.request_id, outcome);
    answer.keep_alive(context.keep_alive);
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
}

buffered_response make_problem_response(
    const response_context& context, const call_problem& problem)
{
    return make_response(
        context,
        problem.status,
        "application/problem+json",
        to_problem_json(problem, context.request_id),
        problem.outcome);
}

} // namespace roseworks::edge

#include "adapters/edge/answer_header.hpp"

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
bool is_named(const http::fields& from, beast::string_view name)
{
    return http::token_list(from[http::field::connection]).exists(name);
}

} // namespace

void stamp(http::fields& header, std::string_view request_id, verdict outcome)
{
    header.set("X-Request-Id", view(request_id));
    header.set("X-Roseworks-Verdict", view(to_string(outcome)));
}

void copy_end_to_end(const http::fields& from, http::fields& to)
{
    for (const auto& field : from)
    {
        const auto name = field.name_string();
        if (!is_hop_by_hop(name) && !is_named(from, name))
            to.insert(name, field.value());
    }
}

whole_answer make_answer(
    const answer_frame& frame,
    unsigned status,
    std::string_view content_type,
    std::string body,
    verdict outcome)
{
    whole_answer answer;
    answer.result(status);
    answer.version(frame.version);
    answer.set(http::field::content_type, view(content_type));
    stamp(answer, frame.request_id, outcome);
    answer.keep_alive(frame.keep_alive);
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
}

whole_answer
make_refusal(const answer_frame& frame, const call_problem& problem)
{
    return make_answer(
        frame,
        problem.status,
        "application/problem+json",
        to_document(problem, frame.request_id),
        problem.outcome);
}

} // namespace roseworks::edge

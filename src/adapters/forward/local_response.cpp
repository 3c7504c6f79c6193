#include "adapters/forward/local_response.hpp"

#include <boost/beast/http/status.hpp>

#include <array>
#include <cstdio>

namespace roseworks::forward
{

namespace http = boost::beast::http;

namespace
{

constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gateway_timeout = 504;
constexpr unsigned not_found = 404;
constexpr unsigned unauthorized = 401;
constexpr unsigned too_many = 429;

unsigned status_of(refusal_reason reason, verdict outcome)
{
    if (reason == refusal_reason::unknown_servable ||
        reason == refusal_reason::unknown_service)
        return not_found;
    if (reason == refusal_reason::unknown_key)
        return unauthorized;
    if (reason == refusal_reason::organisation_limit)
        return too_many;
    if (outcome == verdict::not_run)
        return unavailable;
    const bool is_timeout = reason == refusal_reason::backend_timeout ||
                            reason == refusal_reason::deadline;
    return is_timeout ? gateway_timeout : bad_gateway;
}

std::string seconds_text(duration length)
{
    constexpr double micros_per_second = 1e6;
    std::array<char, 32> text{};
    const int size = std::snprintf(
        text.data(),
        text.size(),
        "%.3f",
        static_cast<double>(length.count()) / micros_per_second);
    return {text.data(), static_cast<std::size_t>(size)};
}

} // namespace

local_response make_local_response(
    refusal_reason reason, verdict outcome, duration retry_after)
{
    return {status_of(reason, outcome), outcome, reason, retry_after};
}

std::string to_bytes(
    const local_response& response,
    const header_names& names,
    std::string_view id,
    bool keep_alive,
    bool head_only)
{
    std::string body = R"({"verdict":")";
    body += to_string(response.outcome);
    body += R"(","reason":")";
    body += to_string(response.reason);
    body += "\"}";
    const auto phrase =
        http::obsolete_reason(static_cast<http::status>(response.status));
    std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    bytes.append(phrase.data(), phrase.size());
    bytes += "\r\nContent-Type: application/problem+json\r\nContent-Length: ";
    bytes += std::to_string(body.size()) + "\r\n";
    if (!id.empty())
    {
        bytes += names.request_id;
        bytes += ": ";
        bytes += id;
        bytes += "\r\n";
    }
    if (response.retry_after > duration::zero())
        bytes += "Retry-After: " + seconds_text(response.retry_after) + "\r\n";
    if (response.status == unauthorized)
        bytes += "WWW-Authenticate: Bearer\r\n";
    if (!keep_alive)
        bytes += "Connection: close\r\n";
    bytes += "\r\n";
    if (!head_only)
        bytes += body;
    return bytes;
}

} // namespace roseworks::forward

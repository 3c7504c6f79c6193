#include "adapters/forward/response_head.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

#include <string_view>

namespace roseworks::forward
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr unsigned status_too_many = 429;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_request_timeout = 408;

std::string_view to_string_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// @return Whether the header is forwarded. Hop-by-hop headers and the
///         `Content-Length` are not, because the response is framed anew.
bool is_forwarded(http::field name)
{
    switch (name)
    {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
        return false;
    default:
        return true;
    }
}

} // namespace

bool is_not_run_refusal(const response_head& head, const header_names& names)
{
    const unsigned status = head.result_int();
    const bool refusal = status == status_unavailable ||
                         status == status_too_many ||
                         status == status_request_timeout;
    return status == status_misdirected ||
           (refusal && head.find(names.not_run) != head.end());
}

response_source source_of(
    const response_head& head,
    const header_names& names,
    std::string_view instance,
    bool is_engine)
{
    const std::string_view named = to_string_view(head[names.instance]);
    if (!named.empty() && named != instance)
        return response_source::other_server;
    if (head.result_int() != status_misdirected)
        return response_source::server;
    return is_engine ? response_source::unknown : response_source::other_server;
}

bool is_event_stream(const response_head& head)
{
    return beast::iequals(
        head[http::field::content_type].substr(0, 17), "text/event-stream");
}

std::string serialize_head(const response_head& head, const header_names& names)
{
    std::string lines = "HTTP/1.1 " + std::to_string(head.result_int()) + ' ';
    lines += to_string_view(head.reason());
    lines += "\r\n";
    for (const auto& field : head)
    {
        const bool is_internal =
            beast::iequals(field.name_string(), names.load) ||
            beast::iequals(field.name_string(), names.instance);
        if (is_internal || !is_forwarded(field.name()))
            continue;
        lines += to_string_view(field.name_string());
        lines += ": ";
        lines += to_string_view(field.value());
        lines += "\r\n";
    }
    return lines;
}

} // namespace roseworks::forward

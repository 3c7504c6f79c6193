#include "adapters/edge/backend_request.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <chrono>

namespace roseworks::edge
{

namespace json = boost::json;
using std::chrono::milliseconds;

namespace
{

constexpr unsigned version_1_1 = 11;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_internal_error = 500;
constexpr std::size_t max_refusal_bytes = 4096;

std::string whole_milliseconds(duration left)
{
    const auto rounded = std::chrono::floor<milliseconds>(left);
    return std::to_string(std::max(rounded, milliseconds(1)).count());
}

beast::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

/// @return Whether a body is `{"error": "<name>"}`.
bool has_error_name(std::string_view body, std::string_view name)
{
    if (body.size() > max_refusal_bytes)
        return false;
    json::error_code error;
    const json::value parsed = json::parse({body.data(), body.size()}, error);
    const json::object* const object = error ? nullptr : parsed.if_object();
    const json::value* const error_name =
        object ? object->if_contains("error") : nullptr;
    return error_name && error_name->is_string() &&
           error_name->get_string() == name;
}

} // namespace

backend_request make_backend_request(
    const prepared_call& call, const std::string& address, duration left)
{
    backend_request request(call.method, call.target.path, version_1_1);
    request.set(http::field::host, address);
    if (!call.content_type.empty())
        request.set(http::field::content_type, call.content_type);
    request.set("X-Request-Id", call.headers.request_id);
    request.set("X-Deadline-Ms", whole_milliseconds(left));
    request.set("X-Priority", view(to_string(call.info.asked)));
    if (call.resumable())
    {
        request.set("Last-Event-Id", std::to_string(call.position.last_id()));
        request.set(http::field::if_match, call.position.tag());
    }
    if (call.is_service() && !call.headers.idempotency_key.empty())
        request.set("Idempotency-Key", call.headers.idempotency_key);
    request.body() =
        beast::span<const char>(call.body.data(), call.body.size());
    request.prepare_payload();
    return request;
}

bool is_event_stream(const http::fields& header)
{
    const auto type = header[http::field::content_type];
    const auto end = std::min(type.find(';'), type.size());
    auto media = type.substr(0, end);
    while (!media.empty() && media.back() == ' ')
        media.remove_suffix(1);
    return beast::iequals(media, "text/event-stream");
}

bool reports_not_run(unsigned status, std::string_view body)
{
    if (status == status_not_found)
        return has_error_name(body, "not_loaded");
    return status == status_unavailable && has_error_name(body, "not_run");
}

bool reports_cancelled(unsigned status, std::string_view body)
{
    return status == status_internal_error && has_error_name(body, "cancelled");
}

} // namespace roseworks::edge

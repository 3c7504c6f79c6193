#include "adapters/forward/forward_request.hpp"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace roseworks::forward
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

/// Headers that concern one connection only.
constexpr http::field hop_by_hop[] = {
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_connection,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
    http::field::expect,
    http::field::content_length,
};

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool is_hop_by_hop(http::field name)
{
    return name != http::field::unknown &&
           std::ranges::find(hop_by_hop, name) != std::end(hop_by_hop);
}

/// Whether the name is among those that `Connection` lists.
bool is_listed(const http::fields& fields, beast::string_view name)
{
    auto listed = http::token_list(fields[http::field::connection]);
    return listed.exists(name);
}

bool is_set_here(const header_dialect& names, beast::string_view name)
{
    if (beast::iequals(name, names.deadline) ||
        beast::iequals(name, names.last_event))
        return true;
    return std::ranges::any_of(
        names.reserved,
        [name](const std::string& reserved)
        {
            return beast::iequals(name, reserved);
        });
}

std::string
forwarded_lines(const http::fields& fields, const header_dialect& names)
{
    std::string lines;
    for (const auto& field : fields)
    {
        const beast::string_view name = field.name_string();
        if (is_hop_by_hop(field.name()) || is_set_here(names, name) ||
            is_listed(fields, name))
            continue;
        lines += view(name);
        lines += ": ";
        lines += view(field.value());
        lines += "\r\n";
    }
    return lines;
}

std::optional<std::chrono::milliseconds>
parse_milliseconds(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    if (!whole || value < 0)
        return std::nullopt;
    return std::chrono::milliseconds(value);
}

void add_line(std::string& to, std::string_view name, std::string_view value)
{
    to += name;
    to += ": ";
    to += value;
    to += "\r\n";
}

} // namespace

fingerprint forward_request::content() const
{
    const auto add = [](std::uint64_t seed, std::string_view part)
    {
        return XXH64(part.data(), part.size(), seed);
    };
    std::uint64_t hash = add(0, this->method);
    hash = add(hash, this->target);
    hash = add(hash, this->model);
    hash = add(hash, this->body);
    return fingerprint(hash == 0 ? 1 : hash);
}

forward_request make_forward_request(
    edge::caller_parser& parser, const header_dialect& names, instant now)
{
    auto& message = parser.get();
    forward_request made;
    made.method = view(message.method_string());
    made.target = view(message.target());
    made.host = view(message[http::field::host]);
    made.id = view(message[names.request_id]);
    made.model = view(message[names.model]);
    made.deadline = parse_milliseconds(view(message[names.deadline]));
    made.header = forwarded_lines(message, names);
    const auto last_event = message[names.last_event];
    if (!last_event.empty())
        made.caller_has = view(last_event);
    made.version = message.version();
    made.keep_alive = message.keep_alive();
    made.head_only = message.method() == http::verb::head;
    made.body = std::move(message.body());
    made.arrived = now;
    return made;
}

std::string make_backend_bytes(
    const forward_request& request,
    const header_dialect& names,
    const attempt_headers& attempt)
{
    std::string bytes;
    bytes.reserve(request.header.size() + request.body.size() + 512);
    bytes += request.method;
    bytes += ' ';
    bytes += request.target;
    bytes += " HTTP/1.1\r\n";
    bytes += request.header;
    add_line(bytes, names.deadline, std::to_string(attempt.deadline.count()));
    if (!attempt.instance.empty())
        add_line(bytes, names.expect_instance, attempt.instance);
    if (attempt.priority)
        add_line(bytes, names.priority, std::to_string(*attempt.priority));
    const std::string_view last_event =
        attempt.last_event.empty() ? request.caller_has : attempt.last_event;
    if (!last_event.empty())
        add_line(bytes, names.last_event, last_event);
    const bool has_body = !request.body.empty() ||
                          (request.method != "GET" && request.method != "HEAD");
    if (has_body)
        add_line(bytes, "Content-Length", std::to_string(request.body.size()));
    bytes += "\r\n";
    bytes += request.body;
    return bytes;
}

} // namespace roseworks::forward

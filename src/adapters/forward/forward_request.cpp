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

/// Headers that apply to one connection only.
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

std::string_view to_string_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool is_hop_by_hop(http::field name)
{
    return name != http::field::unknown &&
           std::ranges::find(hop_by_hop, name) != std::end(hop_by_hop);
}

/// @return Whether the `Connection` header lists this name.
bool is_connection_option(const http::fields& fields, beast::string_view name)
{
    auto listed = http::token_list(fields[http::field::connection]);
    return listed.exists(name);
}

bool is_reserved(const header_names& names, beast::string_view name)
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

void append_line(
    std::string& lines, std::string_view name, std::string_view value)
{
    lines += name;
    lines += ": ";
    lines += value;
    lines += "\r\n";
}

/// Sorts a request's header lines into those that are forwarded and those with
/// credentials. Drops reserved and hop-by-hop headers.
void sort_header_lines(
    forward_request& result,
    const http::fields& fields,
    const header_names& names)
{
    for (const auto& field : fields)
    {
        const beast::string_view name = field.name_string();
        if (field.name() == http::field::authorization)
            append_line(
                result.credential_lines,
                to_string_view(name),
                to_string_view(field.value()));
        else if (
            !is_hop_by_hop(field.name()) && !is_reserved(names, name) &&
            !is_connection_option(fields, name))
            append_line(
                result.header_lines,
                to_string_view(name),
                to_string_view(field.value()));
    }
}

/// @return The key of `Authorization: Bearer KEY`. Empty if there is none, or
///         if several `Authorization` headers make it ambiguous.
std::string parse_bearer_key(const http::fields& fields)
{
    constexpr beast::string_view scheme = "Bearer ";
    if (fields.count(http::field::authorization) != 1)
        return {};
    const beast::string_view text = fields[http::field::authorization];
    if (!beast::iequals(text.substr(0, scheme.size()), scheme))
        return {};
    std::string_view key = to_string_view(text.substr(scheme.size()));
    key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
    return std::string(key);
}

/// @return The sum of two numbers that a comma separates; empty if malformed.
std::optional<std::uint64_t> parse_tokens(std::string_view text)
{
    std::uint32_t prompt = 0;
    std::uint32_t response = 0;
    const char* const end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, prompt);
    if (first.ec != std::errc() || first.ptr == end || *first.ptr != ',')
        return std::nullopt;
    const auto second = std::from_chars(first.ptr + 1, end, response);
    if (second.ec != std::errc() || second.ptr != end)
        return std::nullopt;
    return std::uint64_t(prompt) + response;
}

/// @return The parts of the prompt that other requests may share. Several
///         headers are one list.
std::vector<fingerprint>
find_prompt_parts(const http::fields& fields, const header_names& names)
{
    if (names.prompt_parts.empty() || names.parse_prompt_parts == nullptr)
        return {};
    std::string list;
    const auto [first, last] = fields.equal_range(names.prompt_parts);
    for (auto place = first; place != last; ++place)
    {
        if (!list.empty())
            list += ',';
        list += to_string_view(place->value());
    }
    if (list.empty())
        return {};
    return names.parse_prompt_parts(list);
}

std::optional<std::chrono::milliseconds>
parse_milliseconds(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_number =
        error == std::errc() && end == text.data() + text.size();
    if (!is_number || value < 0)
        return std::nullopt;
    return std::chrono::milliseconds(value);
}

} // namespace

fingerprint forward_request::content_fingerprint() const
{
    const auto add = [](std::uint64_t seed, std::string_view part)
    {
        return XXH64(part.data(), part.size(), seed);
    };
    std::uint64_t hash = add(0, this->method);
    hash = add(hash, this->target);
    hash = add(hash, this->model);
    hash = add(hash, to_view(this->body));
    return fingerprint(hash == 0 ? 1 : hash);
}

forward_request make_forward_request(
    const edge::caller_parser::value_type& message, const header_names& names)
{
    forward_request result;
    result.method = to_string_view(message.method_string());
    result.target = to_string_view(message.target());
    result.host = to_string_view(message[http::field::host]);
    result.id = to_string_view(message[names.request_id]);
    result.model = to_string_view(message[names.model]);
    result.deadline =
        parse_milliseconds(to_string_view(message[names.deadline]));
    sort_header_lines(result, message, names);
    result.key = parse_bearer_key(message);
    result.tokens = parse_tokens(to_string_view(message[names.tokens]));
    result.prompt_parts = find_prompt_parts(message, names);
    const auto last_event = message[names.last_event];
    if (!last_event.empty())
        result.caller_last_event = to_string_view(last_event);
    if (message.count(names.resumes) == 1)
        result.resumes = to_string_view(message[names.resumes]);
    result.version = message.version();
    result.keep_alive = message.keep_alive();
    result.head_only = message.method() == http::verb::head;
    return result;
}

outgoing_request make_outgoing_request(
    const forward_request& request,
    const header_names& names,
    const attempt_headers& attempt)
{
    constexpr std::size_t own_lines_bytes = 512;
    std::string bytes;
    bytes.reserve(request.header_lines.size() + own_lines_bytes);
    bytes += request.method;
    bytes += ' ';
    bytes += request.target;
    bytes += " HTTP/1.1\r\n";
    bytes += request.header_lines;
    if (attempt.with_credentials)
        bytes += request.credential_lines;
    if (!attempt.organisation.empty())
        append_line(bytes, names.organisation, attempt.organisation);
    append_line(
        bytes, names.deadline, std::to_string(attempt.deadline.count()));
    if (!attempt.instance.empty())
        append_line(bytes, names.expect_instance, attempt.instance);
    if (attempt.priority)
        append_line(bytes, names.priority, std::to_string(*attempt.priority));
    const std::string_view last_event = attempt.last_event.empty()
                                            ? request.caller_last_event
                                            : attempt.last_event;
    if (!last_event.empty())
        append_line(bytes, names.last_event, last_event);
    const std::string_view body = to_view(request.body);
    const bool has_body =
        !body.empty() || (request.method != "GET" && request.method != "HEAD");
    if (has_body)
        append_line(bytes, "Content-Length", std::to_string(body.size()));
    bytes += "\r\n";
    return {std::move(bytes), request.body};
}

} // namespace roseworks::forward

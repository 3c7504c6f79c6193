#include "tools/common/log_client.hpp"

#include <boost/endian/conversion.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <cstring>
#include <optional>

namespace roseworks::tools
{

namespace
{

namespace endian = boost::endian;
namespace json = boost::json;
using http_verb = boost::beast::http::verb;

constexpr std::size_t offset_size = sizeof(std::uint64_t);
constexpr std::size_t length_size = sizeof(std::uint32_t);
constexpr std::string_view read_bytes = "1048576";
constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;

template <class Number>
Number load_little(const char* from)
{
    Number value = 0;
    std::memcpy(&value, from, sizeof value);
    return endian::little_to_native(value);
}

boost::leaf::error_id fail(log_error::kind what, std::string detail)
{
    return boost::leaf::new_error(log_error{what, std::move(detail)});
}

/// @return The number, empty when the answer has none of that name.
std::optional<std::uint64_t>
number_in(const std::string& body, std::string_view name)
{
    json::error_code error;
    const json::value parsed = json::parse(body, error);
    const json::object* const object = error ? nullptr : parsed.if_object();
    const json::value* const field =
        object == nullptr ? nullptr : object->if_contains(name);
    if (field == nullptr || !field->is_number())
    {
        return std::nullopt;
    }
    const auto number = field->to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional(number);
}

boost::leaf::result<std::vector<log_entry>> split_entries(std::string_view body)
{
    std::vector<log_entry> entries;
    while (!body.empty())
    {
        if (body.size() < offset_size + length_size)
        {
            return fail(log_error::kind::bad_answer, "an entry is cut short");
        }
        log_entry entry;
        entry.offset = log_offset(load_little<std::uint64_t>(body.data()));
        const auto length =
            load_little<std::uint32_t>(body.data() + offset_size);
        body.remove_prefix(offset_size + length_size);
        if (body.size() < length)
        {
            return fail(log_error::kind::bad_answer, "an entry is cut short");
        }
        entry.data.resize(length);
        std::memcpy(entry.data.data(), body.data(), length);
        body.remove_prefix(length);
        entries.push_back(std::move(entry));
    }
    return entries;
}

std::string frame(std::span<const std::byte> data)
{
    const std::uint32_t length =
        endian::native_to_little(static_cast<std::uint32_t>(data.size()));
    std::string body(length_size + data.size(), '\0');
    std::memcpy(body.data(), &length, length_size);
    std::memcpy(body.data() + length_size, data.data(), data.size());
    return body;
}

std::string status_text(const http_reply& reply)
{
    return "the log answered " + std::to_string(reply.status);
}

} // namespace

log_client::log_client(
    const endpoint& to,
    std::chrono::milliseconds limit,
    const tls::context_source* by)
    : server(to)
    , timeout(limit)
    , secured(by)
{
}

boost::leaf::result<log_offset>
log_client::append(std::span<const std::byte> data)
{
    http_request request;
    request.method = http_verb::post;
    request.target = "/v1/append";
    request.content_type = "application/octet-stream";
    request.body = frame(data);
    BOOST_LEAF_AUTO(reply, this->call(request, this->timeout));
    if (reply.status != status_ok)
    {
        return fail(log_error::kind::answer_lost, status_text(reply));
    }
    const auto first = number_in(reply.body, "first_offset");
    if (!first)
    {
        return fail(log_error::kind::answer_lost, "no first_offset");
    }
    return log_offset(*first);
}

boost::leaf::result<std::vector<log_entry>>
log_client::read(log_offset from, std::chrono::milliseconds wait)
{
    http_request request;
    request.target = "/v1/read?from=" + std::to_string(from.value) +
                     "&max_bytes=" + std::string(read_bytes) +
                     "&wait_ms=" + std::to_string(wait.count());
    BOOST_LEAF_AUTO(reply, this->call(request, this->timeout + wait));
    if (reply.status == status_gone)
    {
        return fail(log_error::kind::forgotten, "the log forgot the offset");
    }
    if (reply.status != status_ok)
    {
        return fail(log_error::kind::unavailable, status_text(reply));
    }
    return split_entries(reply.body);
}

boost::leaf::result<log_bounds> log_client::status()
{
    http_request request;
    request.target = "/v1/status";
    BOOST_LEAF_AUTO(reply, this->call(request, this->timeout));
    if (reply.status != status_ok)
    {
        return fail(log_error::kind::unavailable, status_text(reply));
    }
    const auto first = number_in(reply.body, "first_offset");
    const auto next = number_in(reply.body, "next_offset");
    if (!first || !next)
    {
        return fail(log_error::kind::bad_answer, "no offsets in the status");
    }
    return log_bounds{log_offset(*first), log_offset(*next)};
}

boost::leaf::result<http_reply>
log_client::call(const http_request& request, std::chrono::milliseconds limit)
{
    return boost::leaf::try_handle_some(
        [&]
        {
            return http_call(this->server, request, limit, this->secured);
        },
        [](const http_error& error) -> boost::leaf::result<http_reply>
        {
            const auto what = error.may_have_run ? log_error::kind::answer_lost
                                                 : log_error::kind::unavailable;
            return fail(what, error.detail);
        });
}

} // namespace roseworks::tools

#include "adapters/edge/call_headers.hpp"

#include "adapters/edge/call_problem.hpp"
#include "adapters/edge/text_validation.hpp"

#include <boost/leaf/error.hpp>

#include <array>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace roseworks::edge
{

namespace http = boost::beast::http;
namespace leaf = boost::leaf;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t max_request_id_length = 64;
constexpr std::size_t max_caller_length = 64;
constexpr std::size_t max_idempotency_key_length = 128;
/// Unix time in milliseconds at the end of the year 9999.
constexpr stamp_ms max_key_issued = 253'402'300'799'000;

/// @return The value, empty if the header is missing; an error if it occurs
///         more than once.
leaf::result<std::optional<std::string_view>>
single_value(const http::fields& fields, std::string_view name)
{
    const boost::beast::string_view key(name.data(), name.size());
    const auto count = fields.count(key);
    if (count > 1)
        return leaf::new_error(
            client_error(std::string(name) + " is there more than once"));
    if (count == 0)
        return std::optional<std::string_view>();
    const auto value = fields[key];
    return std::optional(std::string_view(value.data(), value.size()));
}

leaf::result<milliseconds>
parse_deadline(std::string_view text, milliseconds longest)
{
    std::int64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    const bool whole = error == std::errc() && stop == end;
    if (!whole || value < 1 || value > longest.count())
        return leaf::new_error(client_error(
            "X-Deadline-Ms takes 1 to " + std::to_string(longest.count())));
    return milliseconds(value);
}

leaf::result<stamp_ms> parse_key_issued(std::string_view text)
{
    stamp_ms value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    const bool whole = error == std::errc() && stop == end;
    if (!whole || value < 1 || value > max_key_issued)
        return leaf::new_error(client_error(
            "Idempotency-Key-Issued takes Unix time in milliseconds"));
    return value;
}

leaf::result<priority> parse_priority(std::string_view text)
{
    constexpr std::array all{
        priority::urgent, priority::normal, priority::batch};
    for (const priority value : all)
    {
        if (to_string(value) == text)
            return value;
    }
    return leaf::new_error(
        client_error("X-Priority takes urgent, normal or batch"));
}

leaf::result<void> read_identity(const http::fields& fields, call_headers& into)
{
    BOOST_LEAF_AUTO(id, single_value(fields, "X-Request-Id"));
    if (id && !is_name(*id, max_request_id_length))
        return leaf::new_error(
            client_error("X-Request-Id takes 1 to 64 of [A-Za-z0-9._-]"));
    BOOST_LEAF_AUTO(caller, single_value(fields, "X-Caller"));
    if (caller && !is_printable(*caller, max_caller_length, false))
        return leaf::new_error(client_error(
            "X-Caller takes 1 to 64 printable characters without spaces"));
    BOOST_LEAF_AUTO(key, single_value(fields, "Idempotency-Key"));
    if (key && !is_printable(*key, max_idempotency_key_length, true))
        return leaf::new_error(client_error(
            "Idempotency-Key takes 1 to 128 printable characters"));
    into.request_id = id.value_or("");
    into.caller = caller.value_or("anonymous");
    into.idempotency_key = key.value_or("");
    BOOST_LEAF_AUTO(issued, single_value(fields, "Idempotency-Key-Issued"));
    if (issued)
    {
        BOOST_LEAF_ASSIGN(into.key_issued, parse_key_issued(*issued));
    }
    return {};
}

} // namespace

leaf::result<call_headers> parse_call_headers(
    const http::fields& fields,
    milliseconds default_deadline,
    milliseconds max_deadline)
{
    call_headers headers;
    BOOST_LEAF_CHECK(read_identity(fields, headers));
    headers.deadline = default_deadline;
    BOOST_LEAF_AUTO(deadline, single_value(fields, "X-Deadline-Ms"));
    if (deadline)
    {
        BOOST_LEAF_ASSIGN(
            headers.deadline, parse_deadline(*deadline, max_deadline));
    }
    BOOST_LEAF_AUTO(requested_priority, single_value(fields, "X-Priority"));
    if (requested_priority)
    {
        BOOST_LEAF_ASSIGN(
            headers.requested_priority, parse_priority(*requested_priority));
    }
    return headers;
}

} // namespace roseworks::edge

#include "adapters/edge/call_headers.hpp"
#include "adapters/edge/call_problem.hpp"
#include "adapters/edge/completion_body.hpp"
#include "adapters/edge/head_scan.hpp"
#include "adapters/edge/request_framing.hpp"
#include "adapters/edge/request_target.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

/// Feeds any bytes to the way of a caller's request from its first byte to its
/// checked values, and aborts when a check lets something through that it
/// promises to refuse.

namespace
{

namespace http = boost::beast::http;
namespace leaf = boost::leaf;
using namespace roseworks::edge;
using std::chrono::milliseconds;

using head = http::request_header<>;

constexpr milliseconds longest{3'600'000};

void require(bool holds)
{
    if (!holds)
        std::abort();
}

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// The scan has to come to the same result byte by byte.
void check_scan(std::string_view text, head_scan::status whole)
{
    head_scan stepped;
    auto result = head_scan::status::need_more;
    for (std::size_t size = 0; size <= text.size(); ++size)
        result = stepped.feed(text.substr(0, size));
    require(result == whole);
}

void check_headers(const call_headers& headers)
{
    require(headers.deadline >= milliseconds(1));
    require(headers.deadline <= longest);
    require(headers.request_id.size() <= 64);
    require(headers.idempotency_key.size() <= 128);
    require(!headers.caller.empty());
    require(headers.caller.find('\0') == std::string::npos);
}

leaf::result<void> read(const head& received)
{
    BOOST_LEAF_CHECK(check_framing(received, received.version()));
    require(received.count(http::field::content_length) <= 1);
    require(
        received.count(http::field::content_length) +
            received.count(http::field::transfer_encoding) <=
        1);
    BOOST_LEAF_AUTO(
        target,
        parse_request_target(
            view(received.method_string()), view(received.target())));
    require(!target.path.empty() && target.path.front() == '/');
    BOOST_LEAF_AUTO(
        headers, parse_call_headers(received, milliseconds(1000), longest));
    check_headers(headers);
    return {};
}

void check_body(std::string_view text)
{
    leaf::try_handle_all(
        [text]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(body, parse_completion_body(text, true));
            require(!body.model.empty() && body.prefix != 0);
            return {};
        },
        [](const call_problem& problem)
        {
            require(problem.status == 400);
        },
        []
        {
            std::abort();
        });
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    check_body(text);
    head_scan scan;
    const auto known = scan.feed(text);
    check_scan(text, known);
    if (known != head_scan::status::complete)
        return 0;
    http::request_parser<http::string_body> parser;
    boost::system::error_code error;
    parser.put(boost::asio::buffer(text.data(), text.size()), error);
    if (error || !parser.is_header_done())
        return 0;
    leaf::try_handle_all(
        [&]
        {
            return read(parser.get());
        },
        [](const call_problem& problem)
        {
            require(problem.status >= 400 && problem.status < 500);
        },
        []
        {
            std::abort();
        });
    return 0;
}

#include "adapters/edge/request_framing.hpp"

#include "adapters/edge/call_problem.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/leaf/error.hpp>

#include <algorithm>

namespace roseworks::edge
{

namespace http = boost::beast::http;
namespace leaf = boost::leaf;

namespace
{

constexpr unsigned version_1_1 = 11;
constexpr std::size_t max_length_digits = 18;

bool is_length(boost::beast::string_view text)
{
    return !text.empty() && text.size() <= max_length_digits &&
           std::all_of(
               text.begin(),
               text.end(),
               [](char c)
               {
                   return c >= '0' && c <= '9';
               });
}

leaf::result<void>
check_transfer_encoding(const http::fields& fields, unsigned version)
{
    const auto count = fields.count(http::field::transfer_encoding);
    if (count == 0)
        return {};
    if (count > 1 || !boost::beast::iequals(
                         fields[http::field::transfer_encoding], "chunked"))
        return leaf::new_error(
            client_error("Transfer-Encoding takes a single chunked"));
    if (version != version_1_1)
        return leaf::new_error(
            client_error("Transfer-Encoding needs HTTP/1.1"));
    if (fields.count(http::field::content_length) != 0)
        return leaf::new_error(
            client_error("Content-Length together with Transfer-Encoding"));
    return {};
}

} // namespace

leaf::result<void> check_framing(const http::fields& fields, unsigned version)
{
    const auto lengths = fields.count(http::field::content_length);
    if (lengths > 1)
        return leaf::new_error(client_error("more than one Content-Length"));
    if (lengths == 1 && !is_length(fields[http::field::content_length]))
        return leaf::new_error(
            client_error("Content-Length takes digits only"));
    const auto hosts = fields.count(http::field::host);
    if (hosts > 1)
        return leaf::new_error(client_error("more than one Host"));
    if (hosts == 0 && version == version_1_1)
        return leaf::new_error(client_error("Host is missing"));
    return check_transfer_encoding(fields, version);
}

} // namespace roseworks::edge

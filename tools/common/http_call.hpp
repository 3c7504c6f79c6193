#pragma once

#include "adapters/tls/context_source.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/leaf/result.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace roseworks::tools
{

using endpoint = boost::asio::ip::tcp::endpoint;

/// A request; the body is sent as it is.
struct http_request
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target = "/";
    std::string body;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};

/// A whole answer.
struct http_reply
{
    unsigned status = 0;
    std::string body;
    boost::beast::http::fields headers;

    std::string_view header(std::string_view name) const;
};

/// LEAF error object: there was no whole answer.
struct http_error
{
    bool may_have_run = false; ///< false: not connected, nothing was sent
    std::string detail;
};

/** Send one request on a connection of its own and wait for the answer.

    @param server  The server.
    @param request The request.
    @param timeout For the whole exchange.
    @param secured Makes TLS contexts; null: plain HTTP.
    @return        The answer, or an `http_error`.
*/
boost::leaf::result<http_reply> http_call(
    const endpoint& server,
    const http_request& request,
    std::chrono::milliseconds timeout,
    const tls::context_source* secured = nullptr);

/** Read `ip:port`.

    @param text An IP number and a port; no host names.
    @return     The endpoint, or an `input_error`.
*/
boost::leaf::result<endpoint> parse_endpoint(std::string_view text);

/** Read `ip:port,ip:port`.

    @param text The list; may be empty.
    @return     The endpoints, or an `input_error`.
*/
boost::leaf::result<std::vector<endpoint>>
parse_endpoints(std::string_view text);

/// @return `ip:port`.
std::string to_string(const endpoint& server);

} // namespace roseworks::tools

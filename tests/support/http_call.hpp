#pragma once

#include <boost/json/value.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::test
{

/// One HTTP exchange as a test sends it.
struct http_call
{
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::seconds limit{60};
    std::string ca_file; ///< PEM, who signs the server; empty: plain HTTP
};

/// What came back. `status` is 0 when no whole answer came.
struct http_reply
{
    unsigned status = 0;
    std::map<std::string, std::string, std::less<>> headers; ///< lower-case
    std::string body;
    std::string error;
    /// When the kernel had taken the whole request; empty: it never did.
    std::optional<std::chrono::steady_clock::time_point> sent;

    /// @return A header's value, empty when absent.
    std::string header(std::string_view lower_case_name) const;
    /// @return The body as JSON; null when it isn't.
    boost::json::value json() const;
};

/** Send a request on a new connection and read the whole answer.

    @param address ip:port, on loopback.
    @param call    The request.
    @return        The answer, or the error in its text.
*/
http_reply send(std::string_view address, const http_call& call);

/// GET and parse; null when that fails.
boost::json::value get_json(std::string_view address, std::string_view target);

/// POST a stand-in's `/control`.
/// @return Whether it answered 200.
bool control(std::string_view address, std::string_view json);

} // namespace roseworks::test

#pragma once

#include "tests/support/http_call.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <string>
#include <string_view>

namespace roseworks::bench
{

/** One keep-alive connection that sends one call after another and waits for
    each answer. Connects again after a failure.
*/
class keep_alive_client
{
public:
    /// @param address ip:port, on loopback.
    explicit keep_alive_client(std::string_view address);

    /// @return Seconds from the request's first byte to the answer's last;
    ///         negative unless the answer was 200.
    double call(const test::http_call& what);

private:
    void connect();

    std::string address;
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
};

} // namespace roseworks::bench

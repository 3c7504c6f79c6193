#include "adapters/edge/backend_connection.hpp"
#include "adapters/edge/edge_options.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <criterion/criterion.h>

using namespace roseworks;

namespace
{

int tcp_option(int handle, int name)
{
    int value = 0;
    socklen_t size = sizeof(value);
    cr_assert_eq(::getsockopt(handle, IPPROTO_TCP, name, &value, &size), 0);
    return value;
}

/// @return Unanswered probes that the kernel has sent when `TCP_USER_TIMEOUT`
///         has passed since the last byte.
int probes_before_timeout(int handle)
{
    constexpr int ms_per_second = 1000;
    const int timeout = tcp_option(handle, TCP_USER_TIMEOUT);
    const int idle = tcp_option(handle, TCP_KEEPIDLE) * ms_per_second;
    const int interval = tcp_option(handle, TCP_KEEPINTVL) * ms_per_second;
    return timeout < idle ? 0 : 1 + (timeout - idle) / interval;
}

} // namespace

// Guards against dropping a connection whose peer was silent for a second:
// `TCP_USER_TIMEOUT` decides when the probes end, whatever their count.
Test(dead_peers, one_unanswered_probe_does_not_end_a_connection)
{
    for (const int timeout_ms : {2500, 5000})
    {
        boost::asio::io_context loop;
        boost::asio::ip::tcp::socket socket(
            loop, boost::asio::ip::tcp::endpoint());
        edge::enable_dead_peer_detection(
            socket, std::chrono::milliseconds(timeout_ms));
        cr_assert_geq(probes_before_timeout(socket.native_handle()), 2);
    }
}

#include "app/crash_witness.hpp"
#include "tests/unit/app/fake_platform.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

std::string address_of(const tcp::acceptor& server)
{
    return "127.0.0.1:" + std::to_string(server.local_endpoint().port());
}

crash_seen crash_at(const std::string& address)
{
    return {fingerprint(7), engine_id{}, address};
}

} // namespace

Test(crash_witness, a_refused_connection_is_a_crash)
{
    asio::io_context context;
    tcp::acceptor server(context, {asio::ip::address_v4::loopback(), 0});
    const std::string address = address_of(server);
    server.close();
    testing::fake_engines engines;
    int told = 0;
    crash_witness witness(
        context.get_executor(),
        engines,
        [&](const crash_seen&)
        {
            ++told;
        });
    witness.examine(crash_at(address));
    context.run();
    cr_assert_eq(told, 1);
}

Test(crash_witness, a_service_that_takes_connections_has_not_crashed)
{
    asio::io_context context;
    tcp::acceptor server(context, {asio::ip::address_v4::loopback(), 0});
    testing::fake_engines engines;
    int told = 0;
    crash_witness witness(
        context.get_executor(),
        engines,
        [&](const crash_seen&)
        {
            ++told;
        });
    witness.examine(crash_at(address_of(server)));
    context.run();
    cr_assert_eq(told, 0);
}

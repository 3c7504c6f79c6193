#include "adapters/platform/byte_meter.hpp"
#include "platform/engine_commands.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>

#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::users_platform;
namespace asio = boost::asio;
using asio::ip::tcp;

// Guards against an order that a partition holds up and that reaches the engine
// after the order of a later owner.
Test(engine_commands, an_order_without_an_answer_is_withdrawn_by_a_reset)
{
    asio::io_context engine_loop;
    tcp::acceptor acceptor(
        engine_loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    boost::system::error_code ended;
    std::thread engine(
        [&]
        {
            tcp::socket socket = acceptor.accept();
            std::string received;
            asio::read(socket, asio::dynamic_buffer(received), ended);
        });
    asio::io_context loop;
    platform::byte_meter meter;
    engine_commands commands(loop, {.holder = "r1"}, meter);
    engine_command order;
    order.engine = "e1";
    order.address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    order.model = "m";
    auto outcome = command_outcome::accepted;
    commands.send_command(
        order,
        []
        {
            return true;
        },
        [&](command_outcome result)
        {
            outcome = result;
        });
    loop.run();
    engine.join();
    cr_assert(outcome == command_outcome::unknown);
    cr_assert(ended == asio::error::connection_reset);
}

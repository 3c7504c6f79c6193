// Gateways as real processes that are stopped as planned, by SIGTERM.

#include "fake_backend.hpp"
#include "tests/support/gateway_process.hpp"
#include "tests/support/platform_store.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace roseworks::test;
using namespace std::chrono_literals;
using roseworks::edge::tests::backend_peer;
using roseworks::edge::tests::fake_backend;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// The grace period is 8 s by default.
constexpr auto late_in_the_grace = 6500ms;

const std::string configuration =
    R"({"version":1,"routes":[{"name":"r","host":"a.example",)"
    R"("path_prefix":"/a/","kind":"non_idempotent","max_attempts":1,)"
    R"("timeout_ms":20000,"service":"s"}],"services":[{"name":"s"}]})";

/// A backend server that works on each request for some time.
struct slow_backend
{
    explicit slow_backend(std::chrono::milliseconds work_time)
        : work(work_time)
    {
    }

    std::string entry() const
    {
        return R"({"service":"s","address":")" + this->backend.address() +
               R"(","zone":"dc","version":"v1","slots":64,"state":"ready",)"
               R"("seq":1})";
    }

    const std::chrono::milliseconds work;
    std::atomic<int> requests{0};
    /// Last: its threads use the other members.
    fake_backend backend{[this](backend_peer& peer)
                         {
                             const std::string request = peer.read_request();
                             if (request.empty())
                                 return;
                             ++this->requests;
                             std::this_thread::sleep_for(this->work);
                             peer.answer(request, "{}");
                         }};
};

bool becomes_ready(const gateway_process& gateway)
{
    constexpr int most_looks = 400;
    for (int i = 0; i < most_looks; ++i)
    {
        if (gateway.is_ready())
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

tcp::socket connect(asio::io_context& context, const std::string& address)
{
    const std::size_t colon = address.find(':');
    const auto port = std::stoul(address.substr(colon + 1));
    tcp::socket socket(context);
    socket.connect(
        {asio::ip::make_address(address.substr(0, colon)),
         static_cast<unsigned short>(port)});
    return socket;
}

const std::string unfinished_request =
    "POST /a/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 9c41\r\n"
    "Deadline-Ms: 12000\r\nContent-Length: 5\r\n\r\nhell";

std::string read_to_end(tcp::socket& socket)
{
    std::string received;
    boost::system::error_code ended;
    asio::read(socket, asio::dynamic_buffer(received), ended);
    return received;
}

} // namespace

/// A gateway before one server.
struct one_gateway
{
    explicit one_gateway(std::chrono::milliseconds work)
        : server(work)
    {
        this->store.write("keyed.op", "config", configuration);
        this->store.write("keyed.servers", "i-1", this->server.entry());
    }

    slow_backend server;
    platform_store store{1};
    gateway_process gateway{
        gateway_process::options{"planned-stop", this->store.address(0)}};
};

/// Guards against a request that can't be repeated being sent to a server late
/// in the grace period, and cut at its end.
Test(planned_stop, a_request_that_comes_late_is_answered_or_not_sent)
{
    one_gateway test(1500ms);
    cr_assert(becomes_ready(test.gateway));
    asio::io_context context;
    tcp::socket caller = connect(context, test.gateway.address());
    asio::write(caller, asio::buffer(unfinished_request));
    std::this_thread::sleep_for(300ms);
    test.gateway.program().send_signal(SIGTERM);
    std::this_thread::sleep_for(late_in_the_grace);
    boost::system::error_code closed;
    asio::write(caller, asio::buffer("o", 1), closed);
    const std::string answer = read_to_end(caller);
    const bool is_complete = answer.ends_with("{}");
    cr_assert(is_complete || test.server.requests == 0, "%s", answer.c_str());
    cr_assert(
        is_complete || answer.starts_with("HTTP/1.1 503 "),
        "%s",
        answer.c_str());
}

/// Guards against a request that still runs at the end of the grace period
/// ending without any answer.
Test(planned_stop, a_request_that_runs_at_the_end_gets_an_answer)
{
    one_gateway test(9s);
    cr_assert(becomes_ready(test.gateway));
    asio::io_context context;
    tcp::socket caller = connect(context, test.gateway.address());
    asio::write(caller, asio::buffer(unfinished_request + "o"));
    while (test.server.requests == 0)
        std::this_thread::sleep_for(10ms);
    test.gateway.program().send_signal(SIGTERM);
    const std::string answer = read_to_end(caller);
    // It promises nothing: the request may have run.
    cr_assert(answer.starts_with("HTTP/1.1 502 "), "%s", answer.c_str());
}

#include "tools/load/load_run.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks::tools;

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

/// Refuses all requests, but none before so many have come.
class stalled_server
{
public:
    explicit stalled_server(std::size_t wanted)
        : awaited(wanted)
        , acceptor(
              this->context,
              asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(this->context, this->accept(), asio::detached);
        this->thread = std::jthread(
            [this]
            {
                this->context.run();
            });
    }

    ~stalled_server()
    {
        this->context.stop();
    }

    endpoint address() const
    {
        return this->acceptor.local_endpoint();
    }

private:
    using connection = std::shared_ptr<beast::tcp_stream>;

    asio::awaitable<void> accept()
    {
        while (true)
        {
            auto socket =
                co_await this->acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(
                this->context,
                this->read(
                    std::make_shared<beast::tcp_stream>(std::move(socket))),
                asio::detached);
        }
    }

    asio::awaitable<void> read(connection from)
    {
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        co_await http::async_read(*from, buffer, request, asio::use_awaitable);
        this->waiting.push_back(from);
        ++this->arrived;
        if (this->arrived < this->awaited)
        {
            co_return;
        }
        const auto released = std::exchange(this->waiting, {});
        for (const connection& one : released)
        {
            http::response<http::string_body> refusal(
                http::status::service_unavailable, 11);
            refusal.set("X-Roseworks-Verdict", "not-run");
            refusal.prepare_payload();
            co_await http::async_write(*one, refusal, asio::use_awaitable);
        }
    }

    std::size_t awaited;
    std::size_t arrived = 0;
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor;
    std::vector<connection> waiting;
    std::jthread thread; ///< last: ends before what it uses
};

std::vector<planned_call>
make_calls(std::size_t count, std::chrono::milliseconds apart)
{
    std::vector<planned_call> calls(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        calls[i].at = apart * static_cast<int>(i);
        calls[i].request_id = "call-" + std::to_string(i);
        calls[i].model = "m";
        calls[i].deadline = 60s; // above any stall of a busy machine
    }
    return calls;
}

std::vector<call_result> run_against(
    const stalled_server& server,
    const std::vector<planned_call>& calls,
    std::size_t max_in_flight)
{
    load_options options;
    options.max_in_flight = max_in_flight;
    load_target target;
    target.routers = {server.address()};
    load_run run(options, target, calls);
    run.run();
    return run.results();
}

} // namespace

Test(open_loop, a_stalled_server_holds_no_call_back, .timeout = 120)
{
    // The first answer comes after the last call: a sender that waits for
    // answers would send only one.
    constexpr std::size_t count = 5;
    const stalled_server server(count);
    const auto calls = make_calls(count, 10ms);
    const auto results = run_against(server, calls, count);
    for (std::size_t i = 0; i < count; ++i)
    {
        cr_assert(
            results[i].outcome == call_outcome::not_run,
            "%zu: %s",
            i,
            to_string(results[i].outcome));
        // Its wait counts from its own time to the end of the stall.
        cr_assert(results[i].total >= calls.back().at - calls[i].at);
        cr_assert(results[i].total >= results[i].sent);
    }
}

Test(open_loop, calls_above_the_bound_are_counted_not_sent, .timeout = 120)
{
    // The server answers at once: calls of one time are counted together all
    // the same, however soon the first answers come.
    constexpr std::size_t bound = 5;
    const stalled_server server(1);
    const auto calls = make_calls(40 * bound, 0ms);
    const auto results = run_against(server, calls, bound);
    for (std::size_t i = 0; i < calls.size(); ++i)
    {
        const call_outcome expected =
            i < bound ? call_outcome::not_run : call_outcome::not_sent;
        cr_assert(results[i].outcome == expected, "%zu", i);
    }
}

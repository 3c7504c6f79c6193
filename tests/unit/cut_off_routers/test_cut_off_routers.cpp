#include "adapters/relay/relay_handshake.hpp"
#include "forward_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::forward::tests;
using namespace std::chrono_literals;

namespace
{

void answer_all(backend_peer& peer)
{
    while (!peer.read_request().empty())
        peer.send(ok_response);
}

bool is_served(const std::string& response)
{
    return response.starts_with("HTTP/1.1 200 ") && response.ends_with("hello");
}

/// Asks a router for a connection to a server, as another router does.
relay::relay_status
ask(const forward_fixture& router, std::string server, bool test_only = false)
{
    boost::asio::io_context loop;
    tls::secure_stream stream(loop.get_executor());
    const relay::relay_request request{std::move(server), test_only};
    auto status = relay::relay_status::no_reply;
    const auto run = [&]() -> boost::asio::awaitable<void>
    {
        status = co_await relay::ask_router(
            stream, router.relay_endpoint(), request, 20s);
    };
    boost::asio::co_spawn(loop, run, boost::asio::detached);
    loop.run();
    return status;
}

/// Routers that know each other and the same servers.
struct fleet
{
    fleet(int size, const std::vector<fake_backend*>& servers)
    {
        for (int i = 0; i < size; ++i)
            this->all.push_back(std::make_unique<forward_fixture>(servers));
        for (const auto& one : this->all)
        {
            std::vector<const forward_fixture*> others;
            for (const auto& other : this->all)
            {
                if (other != one)
                    others.push_back(other.get());
            }
            one->know_routers(others);
        }
    }

    /// Sends requests to each router, one after the other.
    /// @return Number of requests that were served.
    int serve_all(int count_per_router) const
    {
        int served = 0;
        for (int i = 0; i < count_per_router; ++i)
        {
            for (const auto& one : this->all)
                served += is_served(one->exchange(
                              forward_fixture::request("POST", "/once/1")))
                              ? 1
                              : 0;
        }
        return served;
    }

    std::vector<std::unique_ptr<forward_fixture>> all;
};

/// @return The response of a router that reaches no server itself and knows one
///         that does.
std::string exchange_while_cut_off(cut how, std::string_view target)
{
    fake_backend server(answer_all);
    forward_fixture other({&server});
    forward_fixture test({&server});
    test.know_router(other);
    test.direct.network = how;
    return test.exchange(test.request("POST", target));
}

} // namespace

Test(cut_off_routers, serve_their_callers_when_connections_are_refused)
{
    for (const char* target : {"/once/1", "/again/1"})
    {
        const std::string response =
            exchange_while_cut_off(cut::refusing, target);
        cr_assert(is_served(response), "%s: %s", target, response.c_str());
    }
}

Test(cut_off_routers, serve_their_callers_when_connections_hang)
{
    for (const char* target : {"/once/1", "/again/1"})
    {
        const std::string response =
            exchange_while_cut_off(cut::silent, target);
        cr_assert(is_served(response), "%s: %s", target, response.c_str());
    }
}

Test(cut_off_routers, refuse_at_once_what_no_router_can_send)
{
    fake_backend server(answer_all);
    forward_fixture other({&server});
    forward_fixture test({&server});
    test.know_router(other);
    test.direct.network = cut::refusing;
    other.direct.network = cut::refusing;
    const std::string response = test.exchange(test.request("POST", "/once/1"));
    cr_assert(response.starts_with("HTTP/1.1 503 "), "%s", response.c_str());
    cr_assert(response.find("not-run") != std::string::npos);
    cr_assert_eq(server.connections(), 0);
}

// Guards against connections that go from router to router.
Test(cut_off_routers, do_not_pass_a_connection_on_twice)
{
    fake_backend server(answer_all);
    forward_fixture reaching({&server});
    forward_fixture other({&server});
    forward_fixture test({&server});
    test.know_router(other);
    other.know_router(reaching);
    test.direct.network = cut::refusing;
    other.direct.network = cut::refusing;
    const std::string response = test.exchange(test.request("POST", "/once/1"));
    cr_assert(response.starts_with("HTTP/1.1 503 "));
    cr_assert_eq(server.connections(), 0);
}

Test(cut_off_routers, are_not_served_by_a_router_that_shuts_down)
{
    fake_backend server(answer_all);
    forward_fixture other({&server});
    forward_fixture test({&server});
    test.know_router(other);
    other.start_drain();
    test.direct.network = cut::refusing;
    const std::string response = test.exchange(test.request("POST", "/once/1"));
    cr_assert(response.starts_with("HTTP/1.1 503 "));
    cr_assert_eq(server.connections(), 0);
}

// Guards against a relay that makes a broken response without a length whole.
Test(cut_off_routers, get_a_reset_of_a_server_as_a_reset)
{
    fake_backend server(
        [](backend_peer& peer)
        {
            peer.read_request();
            peer.send("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n"
                      "Response-Seal: 3e1b\r\n\r\nhel");
            std::this_thread::sleep_for(50ms);
            peer.socket.set_option(boost::asio::socket_base::linger(true, 0));
            peer.socket.close();
        });
    forward_fixture other({&server});
    forward_fixture test({&server});
    test.know_router(other);
    test.direct.network = cut::refusing;
    const std::string response = test.exchange(test.request("POST", "/once/1"));
    cr_assert_not(
        response.starts_with("HTTP/1.1 200 "), "%s", response.c_str());
}

Test(cut_off_routers, get_the_end_of_a_connection_as_an_end)
{
    fake_backend server(
        [](backend_peer& peer)
        {
            peer.read_request();
            peer.send("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n"
                      "Response-Seal: 3e1b\r\n\r\nhello");
            peer.shut_down();
        });
    forward_fixture other({&server});
    forward_fixture test({&server});
    test.know_router(other);
    test.direct.network = cut::refusing;
    const std::string response = test.exchange(test.request("POST", "/once/1"));
    cr_assert(is_served(response), "%s", response.c_str());
}

Test(cut_off_routers, let_servers_see_that_a_caller_has_left)
{
    std::atomic<bool> closed{false};
    fake_backend server(
        [&closed](backend_peer& peer)
        {
            const std::string request = peer.read_request();
            peer.start_stream(request);
            peer.send_chunk("id: 1\ndata: x\n\n");
            peer.wait_for_close();
            closed = true;
        });
    forward_fixture other({&server});
    forward_fixture test({&server});
    test.know_router(other);
    test.direct.network = cut::refusing;
    test.disconnect_during_response(test.request("POST", "/stream/1"));
    const auto limit = std::chrono::steady_clock::now() + 20s;
    while (!closed && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(5ms);
    cr_assert(closed);
    while (other.relayed_connections() != 0 &&
           std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(5ms);
    cr_assert_eq(other.relayed_connections(), 0);
}

Test(cut_off_routers, are_served_by_the_one_router_that_reaches_the_servers)
{
    fake_backend first(answer_all);
    fake_backend second(answer_all);
    const fleet routers(7, {&first, &second});
    for (const cut how : {cut::refusing, cut::silent})
    {
        for (std::size_t i = 1; i < routers.all.size(); ++i)
            routers.all[i]->direct.network = how;
        const int served = routers.serve_all(10);
        cr_assert_geq(served, 63, "%d of 70", served);
    }
}

// Guards against routers that keep an old judgement of their ways.
Test(cut_off_routers, serve_through_cuts_in_series)
{
    fake_backend first(answer_all);
    fake_backend second(answer_all);
    const fleet routers(4, {&first, &second});
    std::mt19937 random(7);
    int served = 0;
    for (int round = 0; round < 30; ++round)
    {
        const std::size_t reaching = random() % routers.all.size();
        for (std::size_t i = 0; i < routers.all.size(); ++i)
            routers.all[i]->direct.network =
                i == reaching ? cut::none : static_cast<cut>(random() % 3);
        served += routers.serve_all(1);
    }
    cr_assert_geq(served, 108, "%d of 120", served);
}

Test(relayed_connections, are_opened_to_registered_servers_only)
{
    fake_backend server(answer_all);
    fake_backend stranger(answer_all);
    forward_fixture test({&server});
    cr_assert_eq(ask(test, server.address()), relay::relay_status::opened);
    cr_assert_eq(
        ask(test, stranger.address()), relay::relay_status::not_listed);
    cr_assert_eq(ask(test, "nonsense"), relay::relay_status::not_listed);
    cr_assert_eq(stranger.connections(), 0);
}

Test(relayed_connections, are_refused_to_requests_that_are_no_requests)
{
    fake_backend server(answer_all);
    forward_fixture test({&server});
    for (const std::string& bytes :
         {std::string("GET / HTTP/1.1\r\n\r\n"),
          std::string(4, '\0'),
          std::string("\0\0\0\5hello", 9),
          std::string(4096, '\xff')})
    {
        boost::asio::io_context loop;
        boost::asio::ip::tcp::socket socket(loop);
        socket.connect(test.relay_endpoint());
        // The router may close the connection before all is written.
        boost::system::error_code ended;
        boost::asio::write(socket, boost::asio::buffer(bytes), ended);
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ended);
        std::string received;
        boost::asio::read(socket, boost::asio::dynamic_buffer(received), ended);
        cr_assert(received.empty());
    }
    cr_assert_eq(server.connections(), 0);
    cr_assert_eq(test.relayed_connections(), 0);
}

Test(relayed_connections, a_refusal_counts_only_beside_a_server_that_accepts)
{
    fake_backend server(answer_all);
    auto ended = std::make_unique<fake_backend>(answer_all);
    const std::string address = ended->address();
    forward_fixture test({&server, ended.get()});
    ended.reset();
    cr_assert_eq(ask(test, address, true), relay::relay_status::refused);
    test.direct.network = cut::refusing;
    cr_assert_eq(ask(test, address, true), relay::relay_status::cut_off);
    cr_assert_eq(
        ask(test, server.address(), true), relay::relay_status::cut_off);
}

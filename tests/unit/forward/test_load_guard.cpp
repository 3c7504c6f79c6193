#include "core/admission/load_guard.hpp"
#include "forward_fixture.hpp"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::forward::tests;
using namespace std::chrono_literals;

namespace
{

forward::forward_options with_room_for(std::size_t connections)
{
    forward::forward_options options;
    options.load.max_connections = connections;
    return options;
}

std::string keep_alive_request()
{
    return "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 9c41\r\n"
           "Deadline-Ms: 30000\r\n\r\n";
}

} // namespace

Test(load_guard, takes_connections_up_to_its_room)
{
    const load_guard guard({.max_connections = 10});
    cr_assert(guard.takes_connection(9));
    cr_assert_not(guard.takes_connection(10));
    cr_assert(guard.keeps_connection(8));
    cr_assert_not(guard.keeps_connection(9));
}

Test(load_guard, takes_none_while_the_event_loop_is_late)
{
    load_guard guard({});
    guard.delay_measured(300ms);
    cr_assert(guard.takes_connection(0)); // may be a single long action
    guard.delay_measured(300ms);
    cr_assert_not(guard.takes_connection(0));
    cr_assert_not(guard.keeps_connection(0));
    guard.delay_measured(200ms);
    cr_assert_not(guard.takes_connection(0));
    guard.delay_measured(10ms);
    cr_assert(guard.takes_connection(0));
}

Test(load_guard, a_connection_beyond_the_room_is_closed_unread)
{
    std::string beyond = "not sent";
    forward_fixture* fixture = nullptr;
    fake_backend server(
        [&](backend_peer& peer)
        {
            peer.read_request();
            beyond = fixture->exchange(fixture->request("POST", "/once/y"));
            peer.send(ok_response);
        });
    forward_fixture test({&server}, {}, with_room_for(1));
    fixture = &test;
    const std::string response = test.exchange(test.request("POST", "/once/x"));
    cr_assert_neq(response.find("200 OK"), std::string::npos);
    cr_assert(beyond.empty(), "%s", beyond.c_str());
}

Test(load_guard, a_connection_near_the_room_is_closed_after_its_response)
{
    fake_backend server(
        [](backend_peer& peer)
        {
            peer.read_request();
            peer.send(ok_response);
        });
    forward_fixture test({&server}, {}, with_room_for(1));
    // Returns when the connection ends, which the caller didn't ask for.
    const std::string response = test.exchange(keep_alive_request());
    cr_assert_neq(response.find("200 OK"), std::string::npos);
    cr_assert_neq(response.find("Connection: close"), std::string::npos);
}

/// The platform hands three times what one router takes to that router. Callers
/// that are closed unread try the next one, and all requests run at once.
Test(load_guard, callers_beyond_the_room_are_served_by_other_routers)
{
    constexpr std::size_t room = 20;
    constexpr int callers = 3 * room;
    std::atomic<int> arrivals{0};
    fake_backend server(
        [&arrivals](backend_peer& peer)
        {
            peer.read_request();
            ++arrivals;
            while (arrivals < callers)
                std::this_thread::sleep_for(1ms);
            peer.send(ok_response);
        });
    std::vector<std::unique_ptr<forward_fixture>> routers;
    constexpr int router_count = 5;
    for (int i = 0; i < router_count; ++i)
        routers.push_back(std::make_unique<forward_fixture>(
            std::vector<fake_backend*>{&server},
            std::vector<std::string>(),
            with_room_for(room)));
    std::atomic<int> served{0};
    std::atomic<std::size_t> served_by_first{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i)
        threads.emplace_back(
            [&]
            {
                const std::string request =
                    forward_fixture::request("POST", "/once/x");
                for (const auto& router : routers)
                {
                    const std::string response = router->exchange(request);
                    if (response.empty())
                        continue;
                    served += response.find("200 OK") != std::string::npos;
                    served_by_first += router == routers.front();
                    return;
                }
            });
    for (std::thread& thread : threads)
        thread.join();
    cr_assert_eq(served, callers);
    cr_assert_eq(served_by_first, room);
}

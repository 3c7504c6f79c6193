#include "forward_fixture.hpp"

#include <atomic>
#include <functional>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::forward::tests;

namespace
{

/// Two servers that run a script for each request that arrives at either.
struct counting_servers
{
    explicit counting_servers(
        std::function<void(backend_peer&, const std::string&)> on_request)
        : answer(std::move(on_request))
    {
    }

    void serve(backend_peer& peer)
    {
        while (true)
        {
            const std::string request = peer.read_request();
            if (request.empty())
                return;
            ++this->arrivals;
            this->on_arrival();
            this->answer(peer, request);
        }
    }

    std::function<void(backend_peer&, const std::string&)> answer;
    std::function<void()> on_arrival = [] {};
    std::atomic<int> arrivals{0};
    fake_backend first{[this](backend_peer& peer)
                       {
                           this->serve(peer);
                       }};
    fake_backend second{[this](backend_peer& peer)
                        {
                            this->serve(peer);
                        }};
};

/// Sends a request that becomes blocked when it first arrives at a server.
/// @return The response.
std::string
exchange_blocked_on_arrival(counting_servers& servers, std::string_view target)
{
    forward_fixture test({&servers.first, &servers.second});
    servers.on_arrival = [&test, target]
    {
        test.block_request("POST", target);
    };
    return test.exchange(test.request("POST", target));
}

bool has_status(const std::string& response, std::string_view status)
{
    return response.starts_with("HTTP/1.1 " + std::string(status) + " ");
}

} // namespace

Test(blocked_requests, are_not_sent_again_after_a_refusal)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.send(not_run_response);
        });
    const std::string response =
        exchange_blocked_on_arrival(servers, "/once/x");
    cr_assert_eq(servers.arrivals, 1);
    cr_assert(has_status(response, "503"), "%s", response.c_str());
    cr_assert_neq(response.find("blocked"), std::string::npos);
    cr_assert_neq(response.find("not-run"), std::string::npos);
    cr_assert_neq(response.find("Retry-After: "), std::string::npos);
}

Test(blocked_requests, are_not_sent_again_after_a_server_that_gave_no_answer)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.shut_down();
        });
    const std::string response =
        exchange_blocked_on_arrival(servers, "/again/x");
    cr_assert_eq(servers.arrivals, 1);
    cr_assert(has_status(response, "502"), "%s", response.c_str());
    cr_assert_neq(response.find("blocked"), std::string::npos);
    cr_assert_neq(response.find("may-have-run"), std::string::npos);
}

Test(blocked_requests, are_not_sent_again_after_a_cut_answer)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.send(ok_response.substr(0, ok_response.size() - 2));
            peer.shut_down();
        });
    const std::string response =
        exchange_blocked_on_arrival(servers, "/again/x");
    cr_assert_eq(servers.arrivals, 1);
    cr_assert(has_status(response, "502"), "%s", response.c_str());
}

Test(blocked_requests, are_not_resumed_after_a_cut_stream)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string& request)
        {
            peer.start_stream(request);
            peer.send_chunk("id: 1\ndata: one\n\n");
            peer.shut_down();
        });
    const std::string response =
        exchange_blocked_on_arrival(servers, "/resume/x");
    cr_assert_eq(servers.arrivals, 1);
    cr_assert_neq(response.find("data: one"), std::string::npos);
    cr_assert_not(response.ends_with("0\r\n\r\n"), "the end looks complete");
}

Test(blocked_requests, are_not_sent_after_they_waited_for_a_limit)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.send(ok_response);
        });
    forward_fixture test({&servers.first, &servers.second});
    test.use_organisations();
    test.limits.before_decision = [&test]
    {
        test.block_request("POST", "/once/x");
    };
    const std::string response = test.exchange(
        test.request("POST", "/once/x", "Authorization: Bearer key-one\r\n"));
    cr_assert_eq(servers.arrivals, 0);
    cr_assert(has_status(response, "503"), "%s", response.c_str());
    cr_assert_neq(response.find("not-run"), std::string::npos);
}

#include "forward_fixture.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::forward::tests;
using namespace std::chrono_literals;

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

Test(blocked_requests, are_refused_at_once_while_they_wait_for_a_server)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.send(ok_response);
        });
    forward_fixture test({&servers.first});
    test.withhold_permits();
    test.limit_server(0);
    test.block_request("POST", "/once/x", -10s);
    std::thread blocking(
        [&]
        {
            while (test.permit_requests() == 0)
                std::this_thread::sleep_for(1ms);
            test.block_request("POST", "/once/x");
            test.refuse_blocked();
        });
    const std::string response = test.exchange(test.request("POST", "/once/x"));
    blocking.join();
    cr_assert_eq(servers.arrivals, 0);
    cr_assert(has_status(response, "503"), "%s", response.c_str());
    cr_assert_neq(response.find("blocked"), std::string::npos);
}

Test(blocked_requests, are_refused_on_arrival)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.send(ok_response);
        });
    forward_fixture test({&servers.first});
    test.block_request("POST", "/once/x", 90s);
    const std::string response = test.exchange(test.request("POST", "/once/x"));
    cr_assert_eq(servers.arrivals, 0);
    cr_assert(has_status(response, "503"), "%s", response.c_str());
    constexpr std::string_view header = "Retry-After: ";
    const auto place = response.find(header);
    cr_assert_neq(place, std::string::npos);
    const double seconds = std::stod(response.substr(place + header.size()));
    cr_assert_gt(seconds, 0);
    constexpr double trial_spread = 5;
    cr_assert_leq(seconds, 90 + trial_spread);
}

Test(blocked_requests, are_tried_once_after_the_block)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.shut_down();
        });
    forward_fixture test({&servers.first, &servers.second});
    test.block_request("POST", "/again/x", -10s);
    test.exchange(test.request("POST", "/again/x"));
    test.exchange(test.request("POST", "/again/x"));
    cr_assert_eq(servers.arrivals, 1);
    cr_assert_eq(test.crashes.trials.size(), 1);
}

Test(blocked_requests, are_cleared_by_a_run_that_ends_well)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.send(ok_response);
        });
    forward_fixture test({&servers.first});
    test.block_request("POST", "/once/x", -10s);
    for (int i = 0; i < 2; ++i)
    {
        const std::string response =
            test.exchange(test.request("POST", "/once/x"));
        cr_assert(has_status(response, "200"), "%s", response.c_str());
    }
    cr_assert_geq(test.crashes.answered_count(), 1);
}

Test(blocked_requests, are_not_cleared_by_an_answer_that_the_connection_ends)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.send("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n\r\nhello");
            peer.shut_down();
        });
    forward_fixture test({&servers.first});
    test.block_request("POST", "/once/x", -10s);
    test.exchange(test.request("POST", "/once/x"));
    test.exchange(test.request("POST", "/once/y"));
    cr_assert_eq(test.crashes.answered_count(), 0);
    cr_assert_eq(test.crashes.broken_runs.at(0).end, run_end::closed);
}

Test(blocked_requests, runs_without_an_answer_are_reported_with_their_end)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string& request)
        {
            if (request.find("/once/cut") != std::string::npos)
                peer.shut_down();
            else
                peer.wait_for_close();
        });
    forward_fixture test({&servers.first});
    test.exchange(test.request("POST", "/once/cut"));
    std::string brief = test.request("POST", "/once/silent");
    const std::string deadline = "Deadline-Ms: 30000";
    brief.replace(brief.find(deadline), deadline.size(), "Deadline-Ms: 50");
    test.exchange(brief);
    cr_assert_eq(test.crashes.broken_runs.size(), 2);
    const broken_run_report& cut = test.crashes.broken_runs[0];
    cr_assert_eq(cut.end, run_end::connection);
    cr_assert_eq(cut.life, life_of("i-1", 1));
    cr_assert_eq(cut.address, servers.first.address());
    cr_assert_eq(test.crashes.broken_runs[1].end, run_end::silence);
}

Test(blocked_parts, are_refused_on_arrival)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.send(ok_response);
        });
    forward_fixture test({&servers.first});
    test.block_part("b:1,0:1");
    const std::string response = test.exchange(
        test.request("POST", "/once/x", "Prompt-Prefix: a:5,b:7,c:9\r\n"));
    cr_assert_eq(servers.arrivals, 0);
    cr_assert(has_status(response, "503"), "%s", response.c_str());
    cr_assert_neq(response.find("blocked"), std::string::npos);
    cr_assert_neq(response.find("not-run"), std::string::npos);
    cr_assert_neq(response.find("Retry-After: "), std::string::npos);
}

Test(blocked_parts, are_not_sent_again_after_a_server_that_gave_no_answer)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.shut_down();
        });
    forward_fixture test({&servers.first, &servers.second});
    servers.on_arrival = [&test]
    {
        test.block_part("b:1,0:1");
    };
    const std::string response = test.exchange(
        test.request("POST", "/again/x", "Prompt-Prefix: a:5,b:7,c:9\r\n"));
    cr_assert_eq(servers.arrivals, 1);
    cr_assert(has_status(response, "502"), "%s", response.c_str());
}

Test(blocked_parts, do_not_block_requests_with_the_other_parts)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.send(ok_response);
        });
    forward_fixture test({&servers.first});
    test.block_part("b:1,0:1");
    for (const std::string_view parts : {"a:5,c:9", "a:5,d:7,c:9", "a:5,b:7"})
    {
        const std::string headers =
            "Prompt-Prefix: " + std::string(parts) + "\r\n";
        const std::string response =
            test.exchange(test.request("POST", "/once/x", headers));
        cr_assert(has_status(response, "200"), "%s", response.c_str());
    }
}

Test(blocked_parts, are_tried_once_after_the_block)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.shut_down();
        });
    forward_fixture test({&servers.first, &servers.second});
    test.block_part("b:1,0:1", -10s);
    for (int i = 0; i < 2; ++i)
        test.exchange(test.request(
            "POST",
            "/again/x" + std::to_string(i),
            "Prompt-Prefix: a:5,b:7,c:9\r\n"));
    cr_assert_eq(servers.arrivals, 1);
    cr_assert_eq(test.crashes.trials.size(), 1);
}

Test(blocked_parts, an_answer_that_ends_well_is_reported)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.send(ok_response);
        });
    forward_fixture test({&servers.first});
    test.block_part("b:1,0:1", -10s);
    test.exchange(
        test.request("POST", "/once/x", "Prompt-Prefix: a:5,b:7,c:9\r\n"));
    cr_assert_eq(test.crashes.answered_parts.size(), 1);
}

Test(blocked_parts, a_stream_without_length_cut_inside_an_event_is_a_broken_run)
{
    const std::string_view event = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
    for (std::size_t cut = 1; cut < event.size(); ++cut)
    {
        const std::string_view sent = event.substr(0, cut);
        const bool is_inside = !sent.ends_with("\n\n");
        counting_servers servers(
            [sent](backend_peer& peer, const std::string&)
            {
                peer.send("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n"
                          "Content-Type: text/event-stream\r\n\r\n");
                peer.send(sent);
                peer.shut_down();
            });
        forward_fixture test({&servers.first});
        const std::string response = test.exchange(test.request(
            "POST", "/stream/x", "Prompt-Prefix: a:5,b:7,c:9\r\n"));
        cr_assert_eq(test.crashes.broken_runs.size(), 1, "cut at %zu", cut);
        const broken_run_report& run = test.crashes.broken_runs[0];
        cr_assert_eq(
            run.end, is_inside ? run_end::connection : run_end::closed);
        cr_assert_eq(run.content.parts.size(), 2);
        cr_assert_eq(response.ends_with("0\r\n\r\n"), !is_inside);
    }
}

Test(blocked_requests, a_server_that_stands_for_another_shows_its_end)
{
    counting_servers servers(
        [](backend_peer& peer, const std::string&)
        {
            peer.send("HTTP/1.1 421 Misdirected Request\r\n"
                      "Attempt-Id: 9c41\r\nContent-Length: 0\r\n\r\n");
        });
    forward_fixture test({&servers.first});
    test.exchange(test.request("POST", "/once/x"));
    cr_assert_geq(test.crashes.replaced_servers.size(), 1);
    cr_assert_eq(test.crashes.replaced_servers[0], life_of("i-1", 1));
}

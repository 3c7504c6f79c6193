#include "core/quota/hedge_limits.hpp"
#include "core/quota/retry_limits.hpp"
#include "forward_fixture.hpp"

#include <algorithm>
#include <atomic>
#include <random>
#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::forward;
using namespace roseworks::forward::tests;
using namespace std::chrono_literals;

namespace
{

forward_options hedging_options(double share = 0.5)
{
    forward_options made;
    made.hedge_share = share;
    return made;
}

/// Far above the 95th percentile of servers that answer at once.
constexpr auto long_delay = 150ms;

/** Two servers that answer at once, so that the usual latency becomes known.

    After `make_late`, the next request to arrive runs `on_late`, and the one
    after it `on_hedge`.
*/
struct hedge_servers
{
    using action = std::function<void(backend_peer&, const std::string&)>;

    explicit hedge_servers(double share = 0.5)
        : test({&this->one, &this->two}, {}, hedging_options(share))
    {
    }

    void warm_up(std::string_view target)
    {
        constexpr int enough_samples = 70;
        for (int i = 0; i < enough_samples; ++i)
            this->test.exchange(this->test.request("POST", target));
        this->test.limits.recorded_requests.clear();
        this->test.limits.returned_amount = 0;
        this->arrivals = 0;
        this->is_late = true;
    }

    void serve(backend_peer& peer)
    {
        for (std::string request = peer.read_request(); !request.empty();
             request = peer.read_request())
        {
            const int number = this->arrivals++;
            if (!this->is_late)
                this->on_time(peer, request);
            else if (number == 0)
                this->on_late(peer, request);
            else
                this->on_hedge(peer, request);
        }
        ++this->closed;
    }

    static void answer(
        backend_peer& peer, const std::string& request, const std::string& body)
    {
        peer.send(
            "HTTP/1.1 200 OK\r\nAttempt-Id: " +
            edge::tests::header_of(request, "Attempt-Id") +
            "\r\nResponse-Seal: " + body + "\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    static void stream(
        backend_peer& peer, const std::string& request, const std::string& name)
    {
        peer.start_stream(request, "Response-Seal: " + name + "\r\n");
        for (int i = 1; i <= 3; ++i)
            peer.send_chunk(
                "id: " + std::to_string(i) + "\ndata: " + name + "\n\n");
        peer.send("0\r\n\r\n");
    }

    /// Waits until no attempt holds a slot.
    void assert_slots_are_free() const
    {
        for (int i = 0; i < 500 && this->test.running_attempts() != 0; ++i)
            std::this_thread::sleep_for(10ms);
        cr_assert_eq(this->test.running_attempts(), 0);
    }

    std::size_t draws_of(const std::string& account)
    {
        const std::lock_guard lock(this->test.limits.mutex);
        return static_cast<std::size_t>(std::ranges::count(
            this->test.limits.recorded_requests,
            account,
            &quota_request::account));
    }

    std::atomic<int> arrivals{0};
    std::atomic<int> closed{0};
    std::atomic<bool> is_late{false};
    action on_time = [](backend_peer& peer, const std::string& request)
    {
        answer(peer, request, "usual");
    };
    action on_late = [](backend_peer& peer, const std::string&)
    {
        peer.wait_for_close();
    };
    action on_hedge = [](backend_peer& peer, const std::string& request)
    {
        answer(peer, request, "second");
    };
    fake_backend one{[this](backend_peer& peer)
                     {
                         this->serve(peer);
                     }};
    fake_backend two{[this](backend_peer& peer)
                     {
                         this->serve(peer);
                     }};
    forward_fixture test;
};

std::size_t count_of(const std::string& text, std::string_view part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
        ++count;
    return count;
}

/// Requires one whole response of the attempt with this name.
void assert_answered_by(const std::string& response, const std::string& name)
{
    cr_assert(response.starts_with("HTTP/1.1 200 "), "%s", response.c_str());
    cr_assert_eq(count_of(response, "HTTP/1.1"), 1, "%s", response.c_str());
    cr_assert_eq(
        count_of(response, "Response-Seal: " + name),
        1,
        "%s",
        response.c_str());
    cr_assert_eq(
        count_of(response, "Response-Seal"), 1, "%s", response.c_str());
}

void assert_stream_of(const std::string& response, const std::string& name)
{
    assert_answered_by(response, name);
    cr_assert_eq(count_of(response, "data: "), 3, "%s", response.c_str());
    cr_assert_eq(
        count_of(response, "data: " + name), 3, "%s", response.c_str());
    cr_assert(response.ends_with("0\r\n\r\n"), "%s", response.c_str());
}

} // namespace

/// A server that hangs would hold its request until the deadline.
Test(hedged_requests, a_hung_server_is_replaced_by_another_one)
{
    hedge_servers servers;
    servers.warm_up("/again/x");
    const std::string response =
        servers.test.exchange(servers.test.request("POST", "/again/x"));
    assert_answered_by(response, "second");
    cr_assert(response.ends_with("second"));
    cr_assert_eq(servers.arrivals, 2);
    servers.assert_slots_are_free();
    cr_assert_eq(servers.draws_of(hedge_account("app")), 1);
    cr_assert_eq(servers.draws_of(retry_account("app")), 1);
    cr_assert_eq(servers.test.limits.returned_amount, 0);
}

/// A second run of a request that isn't repeatable is the worst fault.
Test(hedged_requests, requests_that_run_at_most_once_are_sent_once)
{
    hedge_servers servers;
    servers.on_late = [](backend_peer& peer, const std::string& request)
    {
        std::this_thread::sleep_for(long_delay);
        hedge_servers::answer(peer, request, "first");
    };
    servers.warm_up("/once/x");
    const std::string response =
        servers.test.exchange(servers.test.request("POST", "/once/x"));
    assert_answered_by(response, "first");
    cr_assert_eq(servers.arrivals, 1);
    cr_assert(servers.test.limits.recorded_requests.empty());
}

Test(hedged_requests, nothing_is_hedged_with_a_share_of_zero)
{
    hedge_servers servers(0);
    servers.on_late = [](backend_peer& peer, const std::string& request)
    {
        std::this_thread::sleep_for(long_delay);
        hedge_servers::answer(peer, request, "first");
    };
    servers.warm_up("/again/x");
    assert_answered_by(
        servers.test.exchange(servers.test.request("POST", "/again/x")),
        "first");
    cr_assert_eq(servers.arrivals, 1);
    cr_assert(servers.test.limits.recorded_requests.empty());
}

Test(hedged_requests, nothing_is_hedged_without_enough_samples)
{
    hedge_servers servers;
    servers.is_late = true;
    servers.on_late = [](backend_peer& peer, const std::string& request)
    {
        std::this_thread::sleep_for(long_delay);
        hedge_servers::answer(peer, request, "first");
    };
    assert_answered_by(
        servers.test.exchange(servers.test.request("POST", "/again/x")),
        "first");
    cr_assert_eq(servers.arrivals, 1);
}

/// Without the shared budget, hedges could double the load of a slow service.
Test(hedged_requests, a_refused_hedge_leaves_the_first_attempt_alone)
{
    hedge_servers servers;
    servers.on_late = [](backend_peer& peer, const std::string& request)
    {
        std::this_thread::sleep_for(long_delay);
        hedge_servers::answer(peer, request, "first");
    };
    servers.warm_up("/again/x");
    servers.test.limits.decision = {0, false, {}, 3s};
    assert_answered_by(
        servers.test.exchange(servers.test.request("POST", "/again/x")),
        "first");
    cr_assert_eq(servers.arrivals, 1);
    cr_assert_eq(servers.draws_of(hedge_account("app")), 1);
    cr_assert_eq(servers.draws_of(retry_account("app")), 0);
    cr_assert_eq(servers.test.limits.returned_amount, 0);
    servers.assert_slots_are_free();
}

/// The hedge's server must not run on for an answer that nobody needs.
Test(hedged_requests, the_hedge_is_closed_when_the_first_attempt_answers)
{
    hedge_servers servers;
    servers.on_late = [](backend_peer& peer, const std::string& request)
    {
        std::this_thread::sleep_for(long_delay);
        hedge_servers::answer(peer, request, "first");
    };
    std::atomic<int> closed_hedges{0};
    servers.on_hedge = [&closed_hedges](backend_peer& peer, const std::string&)
    {
        peer.wait_for_close();
        ++closed_hedges;
    };
    servers.warm_up("/again/x");
    assert_answered_by(
        servers.test.exchange(servers.test.request("POST", "/again/x")),
        "first");
    cr_assert_eq(servers.arrivals, 2);
    for (int i = 0; i < 500 && closed_hedges == 0; ++i)
        std::this_thread::sleep_for(10ms);
    cr_assert_eq(closed_hedges, 1);
    servers.assert_slots_are_free();
}

/// The first server has sent a head, and even a part of an event.
Test(hedged_requests, a_stream_without_an_event_is_replaced)
{
    hedge_servers servers;
    servers.on_time = [](backend_peer& peer, const std::string& request)
    {
        hedge_servers::stream(peer, request, "usual");
    };
    std::atomic<int> closed_streams{0};
    servers.on_late =
        [&closed_streams](backend_peer& peer, const std::string& request)
    {
        peer.start_stream(request, "Response-Seal: first\r\n");
        peer.send_chunk(": wait\n\nid: 1\ndata: fir");
        peer.wait_for_close();
        ++closed_streams;
    };
    servers.on_hedge = [](backend_peer& peer, const std::string& request)
    {
        hedge_servers::stream(peer, request, "second");
    };
    servers.warm_up("/resume/x");
    assert_stream_of(
        servers.test.exchange(servers.test.request("POST", "/resume/x")),
        "second");
    for (int i = 0; i < 500 && closed_streams == 0; ++i)
        std::this_thread::sleep_for(10ms);
    cr_assert_eq(closed_streams, 1);
    servers.assert_slots_are_free();
}

/// The platform requires that two streams of one request run beside each other
/// for less than 400 ms.
Test(hedged_requests, the_first_stream_is_closed_if_no_event_comes)
{
    hedge_servers servers;
    servers.on_time = [](backend_peer& peer, const std::string& request)
    {
        hedge_servers::stream(peer, request, "usual");
    };
    std::atomic<bool> first_closed{false};
    servers.on_late = [&first_closed](backend_peer& peer, const std::string&)
    {
        peer.wait_for_close();
        first_closed = true;
    };
    servers.on_hedge =
        [&first_closed](backend_peer& peer, const std::string& request)
    {
        // Only the end of the overlap closes the first stream before that.
        for (int i = 0; i < 500 && !first_closed; ++i)
            std::this_thread::sleep_for(10ms);
        hedge_servers::stream(peer, request, "second");
    };
    servers.warm_up("/resume/x");
    assert_stream_of(
        servers.test.exchange(servers.test.request("POST", "/resume/x")),
        "second");
    cr_assert(first_closed);
    servers.assert_slots_are_free();
}

/// A refusal is no answer, and the retry logic has its own rules.
Test(hedged_requests, a_refused_first_attempt_is_retried_as_before)
{
    hedge_servers servers;
    servers.on_late = [](backend_peer& peer, const std::string&)
    {
        peer.send(not_run_response);
    };
    servers.warm_up("/again/x");
    assert_answered_by(
        servers.test.exchange(servers.test.request("POST", "/again/x")),
        "second");
    cr_assert_eq(servers.draws_of(hedge_account("app")), 0);
    cr_assert_eq(servers.draws_of(retry_account("app")), 1);
    servers.assert_slots_are_free();
}

/// Load of an overloaded service must not grow.
Test(hedged_requests, no_hedge_in_the_second_after_a_rejection)
{
    hedge_servers servers;
    servers.on_late = [](backend_peer& peer, const std::string&)
    {
        peer.send(not_run_response);
    };
    servers.on_hedge = [](backend_peer& peer, const std::string& request)
    {
        std::this_thread::sleep_for(long_delay);
        hedge_servers::answer(peer, request, "second");
    };
    servers.warm_up("/again/x");
    servers.test.exchange(servers.test.request("POST", "/again/x"));
    servers.test.exchange(servers.test.request("POST", "/again/x"));
    cr_assert_eq(servers.arrivals, 3);
    cr_assert_eq(servers.draws_of(hedge_account("app")), 0);
}

Test(hedged_requests, a_refused_hedge_leaves_the_answer_to_the_first_attempt)
{
    hedge_servers servers;
    servers.on_late = [](backend_peer& peer, const std::string& request)
    {
        std::this_thread::sleep_for(long_delay);
        hedge_servers::answer(peer, request, "first");
    };
    servers.on_hedge = [](backend_peer& peer, const std::string&)
    {
        peer.send(not_run_response);
    };
    servers.warm_up("/again/x");
    assert_answered_by(
        servers.test.exchange(servers.test.request("POST", "/again/x")),
        "first");
    cr_assert_eq(servers.arrivals, 2);
    servers.assert_slots_are_free();
}

/// The first server dies while both run: the second one answers, and the
/// request isn't sent a third time.
Test(hedged_requests, the_hedge_answers_when_the_first_attempt_breaks)
{
    hedge_servers servers;
    servers.on_late = [](backend_peer& peer, const std::string&)
    {
        std::this_thread::sleep_for(long_delay);
        peer.shut_down();
    };
    servers.on_hedge = [](backend_peer& peer, const std::string& request)
    {
        std::this_thread::sleep_for(2 * long_delay);
        hedge_servers::answer(peer, request, "second");
    };
    servers.warm_up("/again/x");
    assert_answered_by(
        servers.test.exchange(servers.test.request("POST", "/again/x")),
        "second");
    cr_assert_eq(servers.arrivals, 2);
    servers.assert_slots_are_free();
}

/// Two attempts are all that the route allows.
Test(hedged_requests, no_third_server_when_both_attempts_break)
{
    hedge_servers servers;
    servers.on_late = [](backend_peer& peer, const std::string&)
    {
        std::this_thread::sleep_for(long_delay);
        peer.shut_down();
    };
    servers.on_hedge = servers.on_late;
    servers.warm_up("/again/x");
    const std::string response =
        servers.test.exchange(servers.test.request("POST", "/again/x"));
    cr_assert(response.starts_with("HTTP/1.1 50"), "%s", response.c_str());
    cr_assert_neq(response.find("may-have-run"), std::string::npos);
    cr_assert_eq(servers.arrivals, 2);
    servers.assert_slots_are_free();
}

/// Both servers would run on for a caller that has left.
Test(hedged_requests, both_attempts_end_when_the_caller_leaves)
{
    hedge_servers servers;
    std::atomic<int> ended{0};
    const auto hang = [&ended](backend_peer& peer, const std::string&)
    {
        peer.wait_for_close();
        ++ended;
    };
    servers.on_late = hang;
    servers.on_hedge = hang;
    servers.warm_up("/again/x");
    const std::string bytes = servers.test.request("POST", "/again/x");
    servers.test.disconnect_when(
        bytes,
        [&servers]
        {
            return servers.arrivals == 2;
        });
    for (int i = 0; i < 500 && ended != 2; ++i)
        std::this_thread::sleep_for(10ms);
    cr_assert_eq(ended, 2);
    servers.assert_slots_are_free();
}

/// Random delays, breaks and refusals: whatever wins, the answer is whole and
/// of one attempt, and each slot is given back.
Test(hedged_requests, answers_are_never_made_of_two_attempts)
{
    hedge_servers servers;
    std::atomic<int> names{0};
    const auto serve = [&names](backend_peer& peer, const std::string& request)
    {
        const int number = names++;
        std::mt19937 random(static_cast<unsigned>(number) + 1);
        const std::string name = "attempt" + std::to_string(number) + ".";
        if (random() % 3 == 0)
            std::this_thread::sleep_for(
                std::chrono::milliseconds(random() % 60));
        const auto what = random() % 12;
        if (what == 0)
        {
            peer.shut_down();
            return;
        }
        peer.start_stream(request, "Response-Seal: " + name + "\r\n");
        for (int i = 1; i <= 3; ++i)
        {
            if (random() % 8 == 0)
                std::this_thread::sleep_for(
                    std::chrono::milliseconds(random() % 40));
            peer.send_chunk(
                "id: " + std::to_string(i) + "\ndata: " + name + "\n\n");
        }
        peer.send("0\r\n\r\n");
    };
    servers.on_time = serve;
    servers.on_late = serve;
    servers.on_hedge = serve;
    servers.warm_up("/resume/x");
    int whole = 0;
    constexpr int requests = 300;
    for (int i = 0; i < requests; ++i)
    {
        const std::string response =
            servers.test.exchange(servers.test.request("POST", "/resume/x"));
        if (!response.starts_with("HTTP/1.1 200 "))
            continue;
        const auto start = response.find("Response-Seal: ") + 15;
        assert_stream_of(
            response,
            response.substr(start, response.find("\r\n", start) - start));
        ++whole;
    }
    cr_log_info(
        "%d of %d whole, %zu hedges",
        whole,
        requests,
        servers.draws_of(hedge_account("app")));
    cr_assert_geq(whole, requests / 2);
    cr_assert_gt(servers.draws_of(hedge_account("app")), 0);
    servers.assert_slots_are_free();
}

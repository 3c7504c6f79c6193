// Gateways as real processes before servers that leave or ask for a pause,
// while the store turns everybody away.

#include "fake_backend.hpp"
#include "tests/support/gateway_process.hpp"
#include "tests/support/http_call.hpp"
#include "tests/support/platform_store.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks::test;
using namespace std::chrono_literals;
using roseworks::edge::tests::backend_peer;
using roseworks::edge::tests::fake_backend;
using roseworks::edge::tests::header_of;

namespace
{

constexpr int requests_per_gateway = 60;
constexpr int callers_per_gateway = 4;

/// Longer than a server is left out for its failures at first.
constexpr auto ejection_time = 6s;

const std::string configuration =
    R"({"version":1,"routes":[{"name":"r","host":"a.example",)"
    R"("path_prefix":"/a/","kind":"idempotent","max_attempts":3,)"
    R"("timeout_ms":20000,"service":"s"},{"name":"t","host":"a.example",)"
    R"("path_prefix":"/t/","kind":"streaming","resumable":true,)"
    R"("max_attempts":3,"timeout_ms":20000,"service":"s"}],)"
    R"("services":[{"name":"s"}]})";

/// A backend server that counts its requests and can leave or ask for a pause.
struct stating_backend
{
    std::string entry() const
    {
        return R"({"service":"s","address":")" + this->backend.address() +
               R"(","zone":"dc","version":"v1","slots":64,"state":"ready",)"
               R"("seq":1})";
    }

    void respond(backend_peer& peer, const std::string& request)
    {
        ++this->requests;
        const std::string notice =
            this->leaving ? "Server-Leaving: 1\r\n" : std::string();
        if (this->pausing)
        {
            peer.send(
                "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                "Retry-After: 600\r\nContent-Length: 0\r\nAttempt-Id: " +
                header_of(request, "Attempt-Id") + "\r\n\r\n");
            return;
        }
        peer.start_stream(request, notice);
        peer.send_chunk("id: 1\ndata: x\n\n");
        peer.send("0\r\n\r\n");
    }

    std::atomic<bool> leaving{false};
    std::atomic<bool> pausing{false};
    std::atomic<int> requests{0};
    /// Last: its threads use the other members.
    fake_backend backend{[this](backend_peer& peer)
                         {
                             while (true)
                             {
                                 const std::string request =
                                     peer.read_request();
                                 if (request.empty())
                                     return;
                                 this->respond(peer, request);
                             }
                         }};
};

/// Three gateways and three servers. The store can turn away everybody.
struct fleet
{
    fleet()
    {
        this->store.write("keyed.op", "config", configuration);
        for (const stating_backend& one : this->servers)
            this->store.write(
                "keyed.servers",
                "i-" + std::to_string(&one - this->servers),
                one.entry());
        for (const char* name : {"notices-a", "notices-b", "notices-c"})
            this->gateways.push_back(std::make_unique<gateway_process>(
                gateway_process::options{name, this->store.address(0)}));
    }

    bool is_ready() const
    {
        return std::ranges::all_of(
            this->gateways,
            [](const auto& one)
            {
                return one->is_ready();
            });
    }

    /// @return Whether each gateway serves requests within some time.
    bool becomes_ready() const
    {
        constexpr int most_looks = 400;
        for (int i = 0; i < most_looks; ++i)
        {
            if (this->is_ready() && this->ask_all(1) == gateway_count)
                return true;
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    /// Sends requests to each gateway, some at a time.
    /// @return Number of requests that were served.
    int ask_all(int count_per_gateway) const
    {
        std::atomic<int> served{0};
        std::vector<std::thread> callers;
        const int callers_each =
            std::min(callers_per_gateway, count_per_gateway);
        for (const auto& gateway : this->gateways)
            for (int i = 0; i < callers_each; ++i)
                callers.emplace_back(
                    [&, i]
                    {
                        for (int n = i; n < count_per_gateway;
                             n += callers_each)
                            served += ask(gateway->address(), n) ? 1 : 0;
                    });
        for (std::thread& caller : callers)
            caller.join();
        return served;
    }

    static bool ask(const std::string& address, int number)
    {
        http_call call;
        call.target = number % 2 == 0 ? "/a/x" : "/t/x";
        call.headers = {
            {"Host", "a.example"},
            {"Attempt-Id", "n-" + std::to_string(number)},
            {"Deadline-Ms", "20000"}};
        return send(address, call).status == 200;
    }

    static constexpr int gateway_count = 3;

    platform_store store{1};
    stating_backend servers[3];
    std::vector<std::unique_ptr<gateway_process>> gateways;
};

} // namespace

/// The registry can't say that the server leaves, only its answers do.
Test(server_notices, a_leaving_server_gets_no_requests_while_the_store_is_away)
{
    fleet test;
    cr_assert(test.becomes_ready());
    test.store.turn_away(0);
    test.servers[0].leaving = true;
    // Each gateway gets an answer of it.
    cr_expect_eq(
        test.ask_all(requests_per_gateway),
        requests_per_gateway * fleet::gateway_count);
    const int before = test.servers[0].requests;
    cr_expect_eq(
        test.ask_all(requests_per_gateway),
        requests_per_gateway * fleet::gateway_count);
    const int late = test.servers[0].requests - before;
    cr_expect_eq(late, 0, "%d requests", late);
}

Test(server_notices, a_server_that_asked_for_a_pause_gets_no_requests)
{
    fleet test;
    cr_assert(test.becomes_ready());
    test.servers[0].pausing = true;
    test.ask_all(requests_per_gateway);
    const int before = test.servers[0].requests;
    // A server that rejects requests is left out for some seconds anyway.
    std::this_thread::sleep_for(ejection_time);
    cr_expect_eq(
        test.ask_all(requests_per_gateway),
        requests_per_gateway * fleet::gateway_count);
    const int late = test.servers[0].requests - before;
    cr_expect_eq(late, 0, "%d requests", late);
}

#include "core/quota/retry_limits.hpp"
#include "forward_fixture.hpp"

#include <atomic>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::forward::tests;
using namespace std::chrono_literals;

namespace
{

/// Two servers. The first request that arrives at either of them is refused.
struct refusing_servers
{
    void serve(backend_peer& peer)
    {
        while (!peer.read_request().empty())
            peer.send(this->arrivals++ == 0 ? not_run_response : ok_response);
    }

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

} // namespace

Test(retries, a_first_attempt_is_counted_and_draws_nothing)
{
    refusing_servers servers;
    servers.arrivals = 1;
    forward_fixture test({&servers.first, &servers.second});
    test.exchange(test.request("POST", "/once/x"));
    cr_assert_eq(test.limits.counted_services.size(), 1);
    cr_assert_eq(test.limits.counted_services.at(0), "app");
    cr_assert(test.limits.recorded_requests.empty());
}

Test(retries, a_retry_draws_from_the_limit_of_its_service)
{
    refusing_servers servers;
    forward_fixture test({&servers.first, &servers.second});
    const std::string response = test.exchange(test.request("POST", "/once/x"));
    cr_assert(response.starts_with("HTTP/1.1 200 "), "%s", response.c_str());
    cr_assert_eq(test.limits.counted_services.size(), 1);
    cr_assert_eq(test.limits.recorded_requests.size(), 1);
    const quota_request& drawn = test.limits.recorded_requests.at(0);
    cr_assert_eq(drawn.account, retry_account("app"));
    cr_assert_eq(drawn.amount, 1);
    cr_assert_eq(test.limits.returned_amount, 0);
}

Test(retries, a_request_whose_retry_is_denied_reaches_no_second_server)
{
    refusing_servers servers;
    forward_fixture test({&servers.first, &servers.second});
    test.limits.decision = {0, false, {}, 3s};
    const std::string response = test.exchange(test.request("POST", "/once/x"));
    cr_assert(response.starts_with("HTTP/1.1 503 "), "%s", response.c_str());
    cr_assert_neq(response.find("not-run"), std::string::npos);
    cr_assert_neq(
        response.find("Retry-After: 0.200\r\n"),
        std::string::npos,
        "%s",
        response.c_str());
    cr_assert_eq(servers.arrivals, 1);
}

Test(retries, a_retry_is_returned_if_the_caller_leaves_before_it_is_sent)
{
    refusing_servers servers;
    forward_fixture test({&servers.first, &servers.second});
    test.limits.decision = {0, true, 60s, {}};
    test.disconnect_during_quota_wait(test.request("POST", "/once/x"));
    const auto returned_retries = [&]
    {
        const std::lock_guard lock(test.limits.mutex);
        return test.limits.returned_amount;
    };
    while (returned_retries() == 0)
        std::this_thread::sleep_for(1ms);
    cr_assert_eq(returned_retries(), 1);
    cr_assert_eq(servers.arrivals, 1);
}

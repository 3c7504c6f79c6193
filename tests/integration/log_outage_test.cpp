#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdio>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks::test;

namespace
{

constexpr int covered_models = 10;

std::string covered(int number)
{
    return "covered-" + std::to_string(number);
}

std::string records()
{
    std::string text = "[model too-big]\nversion = 1\n"
                       "memory_mib = 30000\nmax_replicas = 1\n";
    for (int i = 0; i < covered_models; ++i)
        text += "[model " + covered(i) +
                "]\nversion = 1\nmemory_mib = 2000\nmax_replicas = 1\n";
    return text;
}

fleet_setup with_grant()
{
    fleet_setup setup;
    // A lease's term is over long before the outage is.
    setup.router_settings =
        "[leases]\nterm_ms = 2000\nrenew_ms = 500\nmargin_ms = 200\n"
        "[grants]\nmemory_mib = 20000\nterm_ms = 60000\n";
    return setup;
}

http_reply ask(const fleet& nodes, std::size_t router, const std::string& name)
{
    return send(nodes.router_address(router), completion(name, "x"));
}

std::string metrics(const fleet& nodes, std::size_t router)
{
    http_call call;
    call.method = "GET";
    call.target = "/metrics";
    return send(nodes.router_address(router), call).body;
}

bool reports(const fleet& nodes, std::size_t router, const std::string& line)
{
    return metrics(nodes, router).find(line) != std::string::npos;
}

/// @return The router that ordered under the grant.
std::size_t holder_of_grant(const fleet& nodes)
{
    std::size_t router = 0;
    while (router < nodes.routers() &&
           reports(nodes, router, "roseworks_granted_orders 0"))
        ++router;
    return router;
}

bool all_routers_report(const fleet& nodes, const std::string& line)
{
    for (std::size_t router = 0; router < nodes.routers(); ++router)
    {
        if (!reports(nodes, router, line))
            return false;
    }
    return true;
}

} // namespace

// "The platform's store can be down or slow for long stretches": a cold model
// of a standing grant is served meanwhile, at every router.
Test(log_outage, cold_models_of_a_standing_grant_are_served_at_every_router)
{
    fleet nodes(with_grant());
    cr_assert_eq(nodes.apply(records()).exit_code, 0);
    cr_assert(eventually(
        [&]
        {
            return all_routers_report(nodes, "roseworks_granted_models 10");
        }));
    cr_assert(control(nodes.log_address(), R"({"mode":"down"})"));
    cr_assert(eventually(
        [&]
        {
            return all_routers_report(nodes, "roseworks_log_available 0");
        }));

    const http_reply refusal = ask(nodes, 0, "too-big");
    cr_assert(
        refused(refusal, "not-run", "log_unavailable"),
        "%u %s",
        refusal.status,
        refusal.body.c_str());
    for (int i = 0; i < covered_models; ++i)
    {
        const std::size_t router = std::size_t(i) % nodes.routers();
        const http_reply reply = ask(nodes, router, covered(i));
        cr_assert_eq(reply.status, 200U, "%s", reply.body.c_str());
    }
    const std::size_t holder = holder_of_grant(nodes);
    cr_assert_lt(holder, nodes.routers());
    for (std::size_t router = 0; router < nodes.routers(); ++router)
        cr_assert_eq(ask(nodes, router, covered(0)).status, 200U);

    cr_assert(control(nodes.log_address(), R"({"mode":"up"})"));
    cr_assert(eventually(
        [&]
        {
            return all_routers_report(
                nodes, R"(roseworks_replicas{state="ready"} 10)");
        }));
    for (std::size_t router = 0; router < nodes.routers(); ++router)
        cr_assert_eq(ask(nodes, router, covered(1)).status, 200U);
    for (int i = 0; i < covered_models; ++i)
        cr_assert_eq(resident_peak(nodes, covered(i)), 1U);
    cr_assert_eq(resident_peak(nodes, "too-big"), 0U);
    const auto audit = nodes.verify();
    cr_assert_eq(audit.exit_code, 0, "%s", audit.output.c_str());
}

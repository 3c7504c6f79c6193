#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks::test;

namespace
{

constexpr int models = 8;

/// Eight models of 12,000 MiB: three fit on an engine of 40,000.
std::string many_models()
{
    std::string text;
    for (int i = 0; i < models; ++i)
    {
        text += "[model m" + std::to_string(i) +
                "]\nmemory_mib = 12000\nmax_replicas = 1\n"
                "load_estimate_ms = 500\n";
    }
    return text;
}

std::uint64_t ledger_number(const std::string& address, const char* key)
{
    const auto ledger = get_json(address, "/ledger");
    return ledger.as_object().at(key).to_number<std::uint64_t>();
}

void check_memory(const fleet& nodes)
{
    for (std::size_t i = 0; i < nodes.engines_count(); ++i)
    {
        const auto& engine = nodes.engine_address(i);
        cr_assert_eq(ledger_number(engine, "rejected_memory"), 0U);
        cr_assert_leq(ledger_number(engine, "peak_memory"), 40000U);
    }
    const auto audit = nodes.verify();
    cr_assert_eq(audit.exit_code, 0, "%s", audit.output.c_str());
}

} // namespace

// "Memory on an engine is never overcommitted": more models than fit are asked
// for at all routers together; idle ones make room.
Test(memory, more_models_than_fit_never_overcommit_an_engine)
{
    fleet_setup setup;
    setup.router_settings =
        "[placement]\nstrategy = fixed_ttl\nidle_ttl_ms = 1000\n";
    fleet nodes(setup);
    const auto applied = nodes.apply(many_models());
    cr_assert_eq(applied.exit_code, 0, "%s", applied.output.c_str());
    std::vector<addressed_call> calls;
    for (int i = 0; i < models; ++i)
    {
        for (std::size_t r = 0; r < nodes.routers(); ++r)
        {
            calls.push_back(
                {nodes.router_address(r),
                 completion("m" + std::to_string(i), "x")});
        }
    }
    const auto replies = send_all(calls);
    for (const http_reply& reply : replies)
    {
        const bool told = reply.status == 200 ||
                          reply.header("x-roseworks-verdict") == "not-run";
        cr_assert(told, "%u %s", reply.status, reply.body.c_str());
    }
    // Each model can be had afterwards, once the idle ones have made room.
    for (int i = 0; i < models; ++i)
    {
        const std::string name = "m" + std::to_string(i);
        const bool served = eventually(
            [&]
            {
                const auto reply =
                    send(nodes.router_address(0), completion(name, "y"));
                return reply.status == 200;
            });
        cr_assert(served, "%s was never served", name.c_str());
    }
    check_memory(nodes);
}

// The same while orders' answers are lost after they took effect and a router
// dies: two faults at once.
Test(memory, lost_order_answers_and_a_killed_router_never_overcommit)
{
    fleet_setup setup;
    setup.engines = {{"e1", 40000, false}, {"e2", 40000, true}};
    setup.router_settings =
        "[placement]\nstrategy = fixed_ttl\nidle_ttl_ms = 1000\n"
        "[leases]\nterm_ms = 2000\nrenew_ms = 500\nmargin_ms = 200\n";
    fleet nodes(setup);
    cr_assert_eq(nodes.apply(many_models()).exit_code, 0);
    for (std::size_t i = 0; i < nodes.engines_count(); ++i)
    {
        cr_assert(control(
            nodes.engine_address(i), R"({"drop_next_order_answer":true})"));
    }
    for (int i = 0; i < models; ++i)
    {
        const std::string name = "m" + std::to_string(i);
        (void)send(nodes.router_address(1), completion(name, "x"));
        if (i == 2)
            nodes.router(0).kill();
    }
    // A new process under the killed router's name proves the old one gone.
    nodes.restart_router(0);
    cr_assert(nodes.wait_ready());
    const bool served = eventually(
        [&]
        {
            return send(nodes.router_address(0), completion("m7", "y"))
                       .status == 200;
        });
    cr_assert(served);
    check_memory(nodes);
}

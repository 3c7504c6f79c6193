// What must always hold, under two faults at the same time.

#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"

#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks::test;

namespace
{

constexpr std::string_view log_down = R"({"mode":"down"})";
constexpr std::string_view log_loses = R"({"mode":"lose_answers"})";
constexpr std::string_view up = R"({"mode":"up"})";
constexpr std::string_view pass = R"({"mode":"pass"})";
const std::string model = "[model agri-lm]\nversion = 1\n"
                          "memory_mib = 16000\nmax_replicas = 2\n"
                          "min_replicas = 2\n";

fleet_setup proxied()
{
    fleet_setup setup;
    setup.proxies = true;
    return setup;
}

void warm_up(fleet& nodes)
{
    const auto applied = nodes.apply(model);
    cr_assert_eq(applied.exit_code, 0, "%s", applied.output.c_str());
    for (std::size_t i = 0; i < nodes.routers(); ++i)
    {
        const auto reply =
            send(nodes.router_address(i), completion("agri-lm", "warm"));
        cr_assert_eq(reply.status, 200U, "%s", reply.body.c_str());
    }
}

/// A stream of a second or more, under a request id.
http_call long_stream(const std::string& id)
{
    http_call call = completion("agri-lm", "long");
    call.body = R"({"model":"agri-lm","stream":true,"max_tokens":30,)"
                R"("messages":[{"role":"user","content":"long"}]})";
    call.headers["X-Request-Id"] = id;
    return call;
}

std::uint64_t runs_anywhere(const fleet& nodes, const std::string& id)
{
    std::uint64_t runs = 0;
    for (std::size_t i = 0; i < nodes.engines_count(); ++i)
        runs += runs_of(nodes.engine_address(i), id);
    return runs;
}

} // namespace

// "A request that may not be repeated runs at most once": its router dies while
// it runs, and the log loses its answers.
Test(pairs, dispatch_of_a_killed_router_is_not_run_again_by_a_lossy_log)
{
    fleet nodes(proxied());
    cr_assert_eq(nodes.apply(model).exit_code, 0);
    cr_assert(control(nodes.service_proxy(0), R"({"mode":"swallow_answer"})"));
    std::jthread caller(
        [&]
        {
            (void)send(nodes.router_address(0), dispatch("orphan"));
        });
    cr_assert(eventually(
        [&]
        {
            return runs_of_key(nodes.service_address(0), "orphan") == 1;
        }));
    cr_assert(control(nodes.log_address(), log_loses));
    nodes.router(0).kill();
    caller.join();
    cr_assert(control(nodes.service_proxy(0), pass));
    for (int round = 0; round < 3; ++round)
    {
        for (std::size_t router = 1; router < nodes.routers(); ++router)
        {
            const auto again =
                send(nodes.router_address(router), dispatch("orphan"));
            cr_assert_neq(again.status, 200U, "%s", again.body.c_str());
        }
    }
    cr_assert_eq(runs_of_key(nodes.service_address(0), "orphan"), 1U);
}

// "A caller gets the whole answer to its own request": a key is used again with
// another body after its router died, and the log is slow.
Test(pairs, key_reused_with_other_content_is_refused_by_the_routers_left)
{
    fleet nodes(fleet_setup{});
    cr_assert_eq(nodes.apply(model).exit_code, 0);
    const auto first =
        send(nodes.router_address(0), dispatch("twice", R"({"order":1})"));
    cr_assert_eq(first.status, 200U, "%s", first.body.c_str());
    const auto replay = [&]
    {
        const auto reply =
            send(nodes.router_address(1), dispatch("twice", R"({"order":1})"));
        return reply.status == 200 && reply.body == first.body;
    };
    // The caller has its answer before the log has it: a router killed between
    // the two takes the answer with it.
    cr_assert(eventually(replay));
    nodes.router(0).kill();
    cr_assert(
        control(nodes.log_address(), R"({"mode":"slow","delay_ms":100})"));
    cr_assert(eventually(replay));
    const auto other =
        send(nodes.router_address(1), dispatch("twice", R"({"order":2})"));
    cr_assert(
        refused(other, "not-run", "key_reused"),
        "%u %s",
        other.status,
        other.body.c_str());
    http_call old = dispatch("late");
    old.headers["Idempotency-Key-Issued"] = "1700000000000";
    const auto late = send(nodes.router_address(2), old);
    cr_assert(
        refused(late, "not-run", "claim_expired"),
        "%u %s",
        late.status,
        late.body.c_str());
    cr_assert_eq(runs_of_key(nodes.service_address(0), "twice"), 1U);
    cr_assert_eq(runs_of_key(nodes.service_address(0), "late"), 0U);
}

// "A refusal that says 'not run' is true": connections to the service are reset
// while the log loses its answers.
Test(pairs, not_run_is_true_with_resets_and_a_lossy_log)
{
    fleet nodes(proxied());
    cr_assert_eq(nodes.apply(model).exit_code, 0);
    cr_assert(control(nodes.log_address(), log_loses));
    constexpr int calls = 12;
    std::vector<http_reply> replies;
    for (int i = 0; i < calls; ++i)
    {
        const bool reset = i % 2 == 1;
        cr_assert(control(
            nodes.service_proxy(0),
            reset ? R"({"mode":"reset"})" : R"({"mode":"pass"})"));
        replies.push_back(send(
            nodes.router_address(i % nodes.routers()),
            dispatch("pair-" + std::to_string(i))));
    }
    cr_assert(control(nodes.log_address(), up));
    cr_assert(control(nodes.service_proxy(0), pass));
    for (int i = 0; i < calls; ++i)
    {
        const http_reply& reply = replies[i];
        const auto runs =
            runs_of_key(nodes.service_address(0), "pair-" + std::to_string(i));
        cr_assert_neq(reply.status, 0U, "%s", reply.error.c_str());
        cr_assert_leq(runs, 1U);
        if (reply.header("x-roseworks-verdict") == "not-run")
            cr_assert_eq(runs, 0U, "%s", reply.body.c_str());
        if (reply.status == 200)
            cr_assert_eq(runs, 1U);
    }
}

// "A caller gets the whole answer to its own request": one engine's answers are
// cut and the log is away.
Test(pairs, cut_answers_in_a_log_outage_are_never_passed_off_as_whole)
{
    fleet nodes(proxied());
    warm_up(nodes);
    cr_assert(control(nodes.log_address(), log_down));
    cr_assert(control(
        nodes.engine_proxy(0), R"({"mode":"truncate","after_bytes":150})"));
    for (int i = 0; i < 12; ++i)
    {
        http_call call = completion("agri-lm", "whole " + std::to_string(i));
        const std::string id = "cut-" + std::to_string(i);
        call.headers["X-Request-Id"] = id;
        const auto reply =
            send(nodes.router_address(i % nodes.routers()), call);
        cr_assert_neq(reply.status, 0U, "%s", reply.error.c_str());
        cr_assert_eq(reply.header("x-request-id"), id);
        if (reply.status == 200)
            cr_assert(reply.json().is_object(), "%s", reply.body.c_str());
        else
            cr_assert_neq(
                reply.header("x-roseworks-verdict"),
                "answered",
                "%s",
                id.c_str());
    }
    cr_assert(control(nodes.log_address(), up));
}

// "A waiting request is served or refused in time and never silently dropped":
// an engine dies while the log is away.
Test(pairs, every_call_is_answered_when_an_engine_dies_in_a_log_outage)
{
    fleet nodes(fleet_setup{});
    warm_up(nodes);
    cr_assert(control(nodes.log_address(), log_down));
    nodes.engine(0).kill();
    std::vector<addressed_call> calls;
    for (std::size_t i = 0; i < 18; ++i)
    {
        http_call call = completion("agri-lm", "call " + std::to_string(i));
        call.headers["X-Request-Id"] = "away-" + std::to_string(i);
        call.headers["X-Deadline-Ms"] = "4000";
        calls.push_back({nodes.router_address(i % nodes.routers()), call});
    }
    const auto replies = send_all(calls);
    for (std::size_t i = 0; i < replies.size(); ++i)
    {
        const http_reply& reply = replies[i];
        cr_assert_neq(reply.status, 0U, "%s", reply.error.c_str());
        const auto verdict = reply.header("x-roseworks-verdict");
        cr_assert_not(verdict.empty());
        if (verdict == "not-run")
        {
            const auto id = "away-" + std::to_string(i);
            cr_assert_eq(runs_of(nodes.engine_address(1), id), 0U);
        }
    }
    cr_assert(control(nodes.log_address(), up));
}

// "A leaving backend server gets no new work after a few seconds": nor while
// the log is away.
Test(pairs, leaving_backend_server_gets_no_work_in_a_log_outage)
{
    fleet nodes(fleet_setup{});
    warm_up(nodes);
    cr_assert(control(nodes.log_address(), log_down));
    const std::string leaving =
        R"({"put":[{"vm":"vm-e1","address":")" + nodes.engine_address(0) +
        R"(","role":"backend","state":"leaving","data_centre":"dc-a"}]})";
    cr_assert(control(nodes.vm_list_address(), leaving));
    int number = 0;
    const auto goes_elsewhere = [&]
    {
        for (std::size_t i = 0; i < 10 * nodes.routers(); ++i)
        {
            http_call call = completion("agri-lm", "x");
            const std::string id = "leave-" + std::to_string(++number);
            call.headers["X-Request-Id"] = id;
            (void)send(nodes.router_address(i % nodes.routers()), call);
            if (runs_of(nodes.engine_address(0), id) > 0)
                return false;
        }
        return true;
    };
    cr_assert(eventually(goes_elsewhere));
    cr_assert(goes_elsewhere());
    cr_assert(control(nodes.log_address(), up));
}

// "A graceful shutdown cuts no request in flight": not while the log is away
// either.
Test(pairs, graceful_shutdown_in_a_log_outage_finishes_the_stream)
{
    fleet_setup setup;
    setup.engines = {
        {"e1", 40000, true, {"--token-ms", "50"}},
        {"e2", 40000, true, {"--token-ms", "50"}}};
    fleet nodes(setup);
    warm_up(nodes);
    http_reply reply;
    std::jthread caller(
        [&]
        {
            reply = send(nodes.router_address(0), long_stream("last-1"));
        });
    cr_assert(eventually(
        [&]
        {
            return runs_anywhere(nodes, "last-1") == 1;
        }));
    cr_assert(control(nodes.log_address(), log_down));
    // The lease can't be given back now; only the stream is judged.
    (void)nodes.router(0).terminate();
    caller.join();
    cr_assert_eq(reply.status, 200U, "%s", reply.error.c_str());
    cr_assert_neq(reply.body.find("[DONE]"), std::string::npos);
    cr_assert_eq(reply.body.find("event: error"), std::string::npos);
    cr_assert(control(nodes.log_address(), up));
}

// "An accepted configuration is in force everywhere within seconds and never
// reverts": a router dies while the log loses the answers of the change.
Test(pairs, change_stands_when_a_router_dies_and_the_log_loses_answers)
{
    fleet nodes(fleet_setup{});
    cr_assert_eq(nodes.apply(model).exit_code, 0);
    cr_assert(control(nodes.log_address(), log_loses));
    nodes.router(0).kill();
    const auto applied =
        nodes.publish("[model new]\nmemory_mib = 100\n", "olga");
    cr_assert(control(nodes.log_address(), up));
    cr_assert_eq(applied.exit_code, 0, "%s", applied.output.c_str());
    nodes.restart_router(0);
    cr_assert(nodes.wait_ready());
    for (std::size_t i = 0; i < nodes.routers(); ++i)
    {
        const bool in_force = eventually(
            [&]
            {
                return send(nodes.router_address(i), completion("new", "x"))
                           .status == 200;
            });
        cr_assert(in_force, "router %zu", i);
    }
}

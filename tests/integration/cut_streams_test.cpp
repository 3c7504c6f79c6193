#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks::test;

namespace
{

const std::string model = "[model agri-lm]\nversion = 1\n"
                          "memory_mib = 16000\nmax_replicas = 2\n"
                          "min_replicas = 2\n";

constexpr int tokens = 40;

/// Two engines behind proxies, whose streams can be continued.
fleet_setup resuming()
{
    fleet_setup setup;
    setup.routers = 1;
    setup.proxies = true;
    setup.engines = {
        {"e1", 40000, true, {"--token-ms", "20", "--resume"}},
        {"e2", 40000, true, {"--token-ms", "20", "--resume"}}};
    return setup;
}

http_call stream(const std::string& id)
{
    http_call call = completion("agri-lm", "cut");
    call.body = R"({"model":"agri-lm","stream":true,"max_tokens":)" +
                std::to_string(tokens) +
                R"(,"messages":[{"role":"user","content":"cut"}]})";
    call.headers["X-Request-Id"] = id;
    return call;
}

bool both_ready(const fleet& nodes)
{
    return eventually(
        [&]
        {
            const auto state = get_json(nodes.router_address(0), "/state");
            if (!state.is_object())
                return false;
            std::size_t ready = 0;
            for (const auto& one : state.at("replicas").as_array())
                ready += one.at("state").as_string() == "ready" ? 1 : 0;
            return ready == 2;
        });
}

/// What an engine says when nothing disturbs it.
std::string undisturbed(const fleet& nodes, const std::string& id)
{
    const auto reply = send(nodes.engine_address(0), stream(id));
    cr_assert_eq(reply.status, 200U, "%s", reply.body.c_str());
    return reply.body;
}

/// Each connection passes so many bytes of an answer, then ends thus.
std::string cut_after(int bytes, const std::string& how)
{
    return R"({"mode":"truncate","after_bytes":)" + std::to_string(bytes) +
           R"(,"end":")" + how + R"("})";
}

constexpr const char* pass = R"({"mode":"pass"})";

void expect_explicit_end(const std::string& body, const std::string& whole)
{
    const auto end = body.find("event: error\n");
    cr_assert_neq(end, std::string::npos, "%s", body.c_str());
    cr_assert_eq(body.find("[DONE]"), std::string::npos);
    cr_assert(whole.starts_with(body.substr(0, end)), "%s", body.c_str());
}

/// A connection passes two thirds of a stream: the rest fits in another.
constexpr int two_thirds = 5000;

} // namespace

// "A caller gets the whole answer to its own request", also when its backend
// server's connection closes, is reset or goes silent in mid-answer.
Test(cut_streams, whole_answer_although_the_connection_ends_midway)
{
    for (const std::string how : {"close", "reset", "silent"})
    {
        fleet nodes(resuming());
        cr_assert_eq(nodes.apply(model).exit_code, 0);
        cr_assert(both_ready(nodes));
        const std::string whole = undisturbed(nodes, "cut-1-alone");
        for (std::size_t i = 0; i < nodes.engines_count(); ++i)
            cr_assert(
                control(nodes.engine_proxy(i), cut_after(two_thirds, how)));
        const auto reply = send(nodes.router_address(0), stream("cut-1"));
        std::string body = reply.body;
        // The answer names its request.
        for (auto at = body.find("\"cut-1\""); at != std::string::npos;
             at = body.find("\"cut-1\"", at))
            body.replace(at, 7, "\"cut-1-alone\"");
        cr_assert(body == whole, "%s: %s", how.c_str(), body.c_str());
    }
}

// A stream goes on after each cut while its deadline lasts, and engines that
// still run aren't held to have crashed of it.
Test(cut_streams, whole_answer_although_every_connection_ends_midway)
{
    fleet nodes(resuming());
    cr_assert_eq(nodes.apply(model).exit_code, 0);
    cr_assert(both_ready(nodes));
    const std::string whole = undisturbed(nodes, "cuts");
    for (std::size_t i = 0; i < nodes.engines_count(); ++i)
        cr_assert(control(nodes.engine_proxy(i), cut_after(2000, "reset")));
    const auto reply = send(nodes.router_address(0), stream("cuts"));
    cr_assert(reply.body == whole, "%s", reply.body.c_str());
    cr_assert_geq(
        runs_of(nodes.engine_address(0), "cuts") +
            runs_of(nodes.engine_address(1), "cuts"),
        4U,
        "it was cut several times");
    const auto blocks = run_program(
        "roseworksctl", {"show", "blocks", "--log", nodes.log_address()});
    const auto lines =
        std::count(blocks.output.begin(), blocks.output.end(), '\n');
    cr_assert_leq(lines, 1, "%s", blocks.output.c_str());
}

// Two faults together: one engine is reset, the other falls silent.
Test(cut_streams, explicit_end_when_both_engines_fail_midway)
{
    fleet_setup setup = resuming();
    setup.router_settings = "[traffic]\nfirst_byte_timeout_ms = 1000\n"
                            "idle_byte_timeout_ms = 1000\n";
    fleet nodes(setup);
    cr_assert_eq(nodes.apply(model).exit_code, 0);
    cr_assert(both_ready(nodes));
    const std::string whole = undisturbed(nodes, "both");
    cr_assert(control(nodes.engine_proxy(0), cut_after(2000, "reset")));
    cr_assert(control(nodes.engine_proxy(1), cut_after(2000, "silent")));
    http_call call = stream("both");
    call.headers["X-Deadline-Ms"] = "20000";
    const auto reply = send(nodes.router_address(0), call);
    cr_assert_eq(reply.status, 200U, "%s", reply.error.c_str());
    if (reply.body != whole)
        expect_explicit_end(reply.body, whole);
}

// "Processes die": the engine itself, with all its streams.
Test(cut_streams, whole_answers_although_an_engine_dies)
{
    constexpr std::size_t streams = 6;
    fleet nodes(resuming());
    cr_assert_eq(nodes.apply(model).exit_code, 0);
    cr_assert(both_ready(nodes));
    const std::string whole = undisturbed(nodes, "dies");
    std::vector<http_reply> replies;
    std::jthread callers(
        [&]
        {
            replies = send_all(std::vector<addressed_call>(
                streams, {nodes.router_address(0), stream("dies")}));
        });
    cr_assert(eventually(
        [&]
        {
            return runs_of(nodes.engine_address(1), "dies") > 0 &&
                   runs_of(nodes.engine_address(0), "dies") > 1;
        }));
    nodes.engine(1).kill();
    callers.join();
    for (const http_reply& reply : replies)
        cr_assert(reply.body == whole, "%s", reply.body.c_str());
}

#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace roseworks::test;

namespace
{

const std::string model = "[model agri-lm]\nversion = 1\n"
                          "memory_mib = 16000\nmax_replicas = 3\n"
                          "min_replicas = 3\n"
                          "[policy]\ncrash_threshold = 2\n";

constexpr const char* reset = R"({"mode":"reset"})";
constexpr const char* pass = R"({"mode":"pass"})";

/// A router before three engines that all have the model and take their time.
fleet_setup three_engines()
{
    fleet_setup setup;
    setup.routers = 1;
    setup.proxies = true;
    setup.engines = {
        {"e1", 40000, true, {"--token-ms", "10"}},
        {"e2", 40000, true, {"--token-ms", "10"}},
        {"e3", 40000, true, {"--token-ms", "10"}}};
    return setup;
}

void warm_up(fleet& nodes)
{
    cr_assert_eq(nodes.apply(model).exit_code, 0);
    const bool ready = eventually(
        [&]
        {
            const auto state = get_json(nodes.router_address(0), "/state");
            if (!state.is_object())
                return false;
            const auto& replicas = state.at("replicas").as_array();
            return std::ranges::count_if(
                       replicas,
                       [](const auto& one)
                       {
                           return one.at("state").as_string() == "ready";
                       }) == 3;
        });
    cr_assert(ready);
    // Answers that fill the budget of retries.
    for (int i = 0; i < 40; ++i)
    {
        const auto reply =
            send(nodes.router_address(0), completion("agri-lm", "warm"));
        cr_assert_eq(reply.status, 200U, "%s", reply.body.c_str());
    }
}

/// The requests that are suspected, as operators see them.
std::string suspects(const fleet& nodes)
{
    const auto shown = run_program(
        "roseworksctl", {"show", "blocks", "--log", nodes.log_address()});
    cr_assert_eq(shown.exit_code, 0);
    const auto heading = shown.output.find('\n');
    return shown.output.substr(std::min(heading + 1, shown.output.size()));
}

/// An engine that has run the request and isn't among the `met`.
std::optional<std::size_t> runs_elsewhere(
    const fleet& nodes, const std::string& id, const std::set<std::size_t>& met)
{
    for (std::size_t i = 0; i < nodes.engines_count(); ++i)
    {
        if (!met.contains(i) && runs_of(nodes.engine_address(i), id) > 0)
            return i;
    }
    return std::nullopt;
}

} // namespace

// A network device resets connections; the engines behind it still run.
Test(crashes, a_request_is_answered_although_its_connections_are_reset)
{
    fleet nodes(three_engines());
    warm_up(nodes);
    http_call call = completion("agri-lm", "reset");
    call.body = R"({"model":"agri-lm","max_tokens":60,"messages":[)"
                R"({"role":"user","content":"reset"}]})";
    call.headers["X-Request-Id"] = "reset";
    http_reply reply;
    std::jthread caller(
        [&]
        {
            reply = send(nodes.router_address(0), call);
        });
    std::set<std::size_t> met;
    for (std::size_t resets = 1; resets <= 2; ++resets)
    {
        cr_assert(eventually(
            [&]
            {
                return runs_elsewhere(nodes, "reset", met).has_value();
            }));
        const std::size_t engine = *runs_elsewhere(nodes, "reset", met);
        met.insert(engine);
        cr_assert(control(nodes.engine_proxy(engine), reset));
        cr_assert(control(nodes.engine_proxy(engine), pass));
    }
    caller.join();
    cr_assert_eq(reply.status, 200U, "%s", reply.body.c_str());
    const std::string seen = suspects(nodes);
    cr_assert(seen.empty(), "%s", seen.c_str());
}

// One death of an engine isn't counted again when its caller comes back.
Test(crashes, one_crash_of_one_engine_does_not_block_its_request)
{
    fleet nodes(three_engines());
    warm_up(nodes);
    http_call call = completion("agri-lm", "poison");
    call.headers["X-Request-Id"] = "first";
    cr_assert_eq(send(nodes.router_address(0), call).status, 200U);
    // The prompt draws it to the engine that has run it.
    std::size_t engine = 0;
    while (runs_of(nodes.engine_address(engine), "first") == 0)
        ++engine;
    cr_assert(control(
        nodes.engine_address(engine),
        R"({"mode":"crash_on","needle":"poison"})"));
    for (int i = 0; i < 6; ++i)
    {
        const auto reply =
            send(nodes.router_address(0), completion("agri-lm", "poison"));
        cr_assert_eq(reply.status, 200U, "%s", reply.body.c_str());
    }
    cr_assert(not nodes.engine(engine).running());
    const std::string seen = suspects(nodes);
    cr_assert_eq(seen.find("yes"), std::string::npos, "%s", seen.c_str());
}

#include "tools/load/completion_call.hpp"
#include "tools/load/ledger_judge.hpp"
#include "tools/load/load_figures.hpp"
#include "tools/load/planned_call.hpp"
#include "tools/load/svg_plot.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::tools;

namespace
{

planned_call make_call(const std::string& id, bool once = false)
{
    planned_call call;
    call.request_id = id;
    call.prompt = "prompt of " + id;
    call.max_tokens = 3;
    call.once = once;
    return call;
}

/// The stand-in's answer to a call, with so many tokens.
std::string make_answer(const planned_call& call, std::uint32_t tokens)
{
    char mark[17];
    std::snprintf(
        mark,
        sizeof mark,
        "%016llx",
        static_cast<unsigned long long>(
            XXH64(call.prompt.data(), call.prompt.size(), 0)));
    std::string body;
    for (std::uint32_t i = 0; i < tokens; ++i)
    {
        body +=
            "data: t" + std::to_string(i) + "-" + std::string(mark, 8) + "\n\n";
    }
    return body;
}

call_result make_result(call_outcome outcome)
{
    call_result result;
    result.outcome = outcome;
    return result;
}

} // namespace

Test(load, only_the_whole_own_answer_counts)
{
    const planned_call call = make_call("a");
    const std::string end = "data: [DONE]\n\n";
    cr_assert(is_whole_answer(make_answer(call, 3) + end, call, true));
    cr_assert(!is_whole_answer(make_answer(call, 3), call, true));
    cr_assert(!is_whole_answer(make_answer(call, 2) + end, call, true));
    const std::string crossed = make_answer(make_call("b"), 3) + end;
    cr_assert(!is_whole_answer(crossed, call, true));
    cr_assert(is_whole_answer(make_answer(call, 3), call, false));
}

Test(load, ledgers_convict)
{
    const std::vector<planned_call> calls{
        make_call("lie"),
        make_call("ghost"),
        make_call("twice", true),
        make_call("again"),
        make_call("fine")};
    const std::vector<call_result> results{
        make_result(call_outcome::not_run),
        make_result(call_outcome::answered),
        make_result(call_outcome::answered),
        make_result(call_outcome::answered),
        make_result(call_outcome::answered)};
    ledger_totals totals;
    totals.executions = {{"lie", 1}, {"twice", 2}, {"again", 2}, {"fine", 1}};
    const ledger_verdict verdict = judge_by_ledgers(calls, results, totals);
    cr_assert_eq(verdict.false_not_run, 1);
    cr_assert_eq(verdict.answered_unrun, 1);
    cr_assert_eq(verdict.doubled_once, 1);
    cr_assert_eq(verdict.repeated, 1);

    load_outcome outcome;
    outcome.calls = calls;
    outcome.results = results;
    outcome.has_ledgers = true;
    cr_assert(promises_hold(outcome));
    outcome.verdict = verdict;
    cr_assert(!promises_hold(outcome));
}

Test(load, a_plan_is_bounded_and_in_order)
{
    load_options options;
    options.profile = *find_trace_profile("cooperative");
    options.target.routers.resize(2);
    options.speed = 600;
    options.length = std::chrono::seconds(20);
    options.max_requests = 100;
    const std::vector<planned_call> calls =
        plan_calls(options, {"one", "two"}, "run");
    cr_assert(!calls.empty());
    cr_assert_leq(calls.size(), 100);
    cr_assert(std::is_sorted(
        calls.begin(),
        calls.end(),
        [](const planned_call& a, const planned_call& b)
        {
            return a.at < b.at;
        }));
    for (const planned_call& call : calls)
    {
        cr_assert(call.at < options.length);
        cr_assert_lt(call.router, 2);
        cr_assert(call.model == "one" || call.model == "two");
        cr_assert_leq(call.max_tokens, options.max_tokens);
    }
}

Test(load, plots_escape_what_they_are_given)
{
    const plot what{"<b>", "x", "y", {{"\"q\"", "red", {{0, 1}, {1, 2}}}}};
    const std::string svg = draw_svg(what);
    cr_assert_eq(svg.find("<b>"), std::string::npos);
    cr_assert_neq(svg.find("&lt;b&gt;"), std::string::npos);
    cr_assert_neq(svg.find("<polyline"), std::string::npos);
}

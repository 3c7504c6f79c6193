/** Share of cold requests that standing grants serve while the log is away,
    against refusal, and what they cost.

    Prints `name=value unit`, the same figures in every run. See
    docs/design/0006-standing-grants.md.
*/
#include "core/trace/trace_generator.hpp"
#include "outage_replay.hpp"

#include <roseworks/codec.hpp>
#include <roseworks/record.hpp>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace roseworks;
using namespace roseworks::bench;

namespace
{

constexpr std::uint64_t seeds[] = {1, 2, 3};
constexpr std::uint32_t engine_mib = 81'920;
constexpr std::size_t append_bytes = std::size_t(256) << 10;

double percent(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0
               ? 0
               : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void add(outage_figures& sum, const outage_figures& more)
{
    sum.cold += more.cold;
    sum.cold_models += more.cold_models;
    sum.cold_urgent += more.cold_urgent;
    sum.served += more.served;
    sum.served_urgent += more.served_urgent;
    sum.loads += more.loads;
    sum.granted_models += more.granted_models;
    sum.outages += more.outages;
    sum.reserved_gib += more.reserved_gib;
    sum.reserved_share += more.reserved_share;
}

void print(
    const std::string& name, const char* what, double value, const char* unit)
{
    std::printf("%s_%s=%.2f %s\n", name.c_str(), what, value, unit);
}

void measure(
    const std::string& profile,
    const std::vector<trace>& traces,
    std::chrono::minutes length,
    const grant_plan& plan)
{
    outage_figures sum;
    for (const trace& source : traces)
    {
        add(sum, replay_outages(source, length, plan));
    }
    const auto term =
        std::chrono::duration_cast<std::chrono::seconds>(plan.term);
    std::string name = "grants_" + profile + "_outage_" +
                       std::to_string(length.count()) + "min_" +
                       std::string(to_string(plan.way));
    if (plan.way != grant_way::none)
    {
        name += "_" + std::to_string(plan.grants) + "x" +
                std::to_string(plan.memory_mib / 1024) + "gib_term_" +
                std::to_string(term.count()) + "s";
    }
    const auto runs = static_cast<double>(traces.size());
    const auto outages = static_cast<double>(sum.outages);
    print(
        name,
        "served_of_models",
        percent(sum.served, sum.cold_models),
        "percent");
    print(
        name,
        "served_of_urgent",
        percent(sum.served_urgent, sum.cold_urgent),
        "percent");
    print(name, "served_of_all", percent(sum.served, sum.cold), "percent");
    print(
        name,
        "cold_requests",
        static_cast<double>(sum.cold) / outages,
        "per_outage");
    print(
        name, "loads", static_cast<double>(sum.loads) / outages, "per_outage");
    print(
        name,
        "granted_models",
        static_cast<double>(sum.granted_models) / outages,
        "count");
    print(name, "reserved", sum.reserved_gib / runs, "GiB");
    print(name, "reserved_share", 100 * sum.reserved_share / runs, "percent");
}

void measure_profile(const std::string& profile)
{
    std::vector<trace> traces;
    for (const std::uint64_t seed : seeds)
    {
        traces.push_back(generate_trace(*find_trace_profile(profile), seed));
    }
    using std::chrono::minutes;
    const minutes usual(30);
    const minutes long_term(60);
    measure(profile, traces, usual, {});
    for (const grant_way way : {grant_way::per_model, grant_way::shared})
    {
        for (const std::uint32_t grants : {1U, 2U})
        {
            for (const std::uint32_t part : {4U, 2U, 1U})
            {
                measure(
                    profile,
                    traces,
                    usual,
                    {way, grants, engine_mib / part, long_term});
            }
        }
    }
    // The term against a longer outage; a lease's own term is half a minute.
    for (const int term : {27, 600, 1800, 7200})
    {
        const std::chrono::seconds length(term);
        measure(
            profile,
            traces,
            minutes(120),
            {grant_way::shared, 2, engine_mib, length});
    }
}

std::size_t size_of(record_payload payload)
{
    record value;
    value.payload = std::move(payload);
    return encode(value).size();
}

void measure_records()
{
    const std::size_t open = size_of(grant_open{});
    const std::size_t model = size_of(grant_model{});
    const std::size_t settle = size_of(grant_settle{});
    constexpr std::size_t models = 100;
    const std::size_t all = open + models * model;
    std::printf("grants_record_open=%zu bytes\n", open);
    std::printf("grants_record_model=%zu bytes\n", model);
    std::printf("grants_record_settle=%zu bytes\n", settle);
    std::printf("grants_of_100_models=%zu bytes\n", all);
    std::printf(
        "grants_of_100_models_appends=%zu count\n",
        (all + append_bytes - 1) / append_bytes);
}

} // namespace

int main()
{
    measure_records();
    measure_profile("consortium");
    measure_profile("cooperative");
    return 0;
}

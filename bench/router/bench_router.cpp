/** What callers feel of the router, with real processes on loopback: latency
    and rate beside the same engine called directly, time until an applied
    change is in force on nine routers, the cost of a claim, what a burst for
    a cold model costs the log, how long a silent connection hurts,
    and what becomes of streams that are cut.
*/
#include "bench/router/measurements.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <exception>
#include <span>
#include <string_view>

using namespace roseworks::bench;

namespace
{

struct measurement
{
    std::string_view name;
    void (*measure)();
};

constexpr std::array measurements{
    measurement{"latency", measure_added_latency},
    measurement{"streams", measure_streams},
    measurement{"fleet", measure_fleet},
    measurement{"silence", measure_silence},
    measurement{"cuts", measure_cuts}};

/// Run one measurement; a failure is printed and doesn't end the others.
bool measured(const measurement& what)
{
    try
    {
        what.measure();
        return true;
    }
    catch (const std::exception& error)
    {
        std::printf("# %s failed: %s\n", what.name.data(), error.what());
        return false;
    }
}

} // namespace

/// Usage: bench_router [NAME...]; without names all are run.
int main(int count, char** arguments)
{
    const std::span<char*> names(
        arguments + 1, static_cast<std::size_t>(std::max(count - 1, 0)));
    bool all = true;
    for (const measurement& one : measurements)
    {
        const bool wanted =
            names.empty() ||
            std::find(names.begin(), names.end(), one.name) != names.end();
        if (wanted)
            all = measured(one) && all;
    }
    return all ? 0 : 1;
}

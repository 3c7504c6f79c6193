#include "core/pace/pace_estimator.hpp"
#include "core/routing/server_loads.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t model = 1;
constexpr std::uint64_t engine_count = 4;

/// An estimator with the engines `e1` to `e4`, whose runs have the numbers 1 to
/// 4. They take 20 ms for an event.
struct estimator_fixture
{
    estimator_fixture()
    {
        for (std::uint64_t i = 1; i <= engine_count; ++i)
            this->paces.engine_listed("e" + std::to_string(i), i);
    }

    void report(
        const std::string& router,
        std::uint64_t run,
        std::uint64_t event_us,
        std::uint32_t events = 200)
    {
        const pace_sample samples[] = {{run, model, events, events * event_us}};
        this->paces.add(router, samples, this->now);
    }

    /// Lets three routers report on all engines.
    void report_all(std::uint64_t first_engine_us)
    {
        for (const char* router : {"r1", "r2", "r3"})
        {
            this->report(router, 1, first_engine_us);
            for (std::uint64_t i = 2; i <= engine_count; ++i)
                this->report(router, i, 20'000);
        }
    }

    std::uint32_t estimate(const std::string& engine)
    {
        this->paces.update(this->now);
        return this->paces.percent(engine).value_or(0);
    }

    instant now{1000s};
    pace_estimator paces{pace_estimator::options()};
};

} // namespace

/// An estimate that nobody confirms must not be used for long.
Test(pace_estimator, estimate_is_back_at_the_mean_after_30_seconds)
{
    estimator_fixture test;
    test.report_all(40'000);
    const std::uint32_t first = test.estimate("e1");
    cr_expect_gt(first, 150U);
    test.now += 16s;
    const std::uint32_t half = test.estimate("e1");
    cr_expect_lt(half, first);
    cr_expect_gt(half, 100U);
    test.now += 14s;
    cr_expect_eq(test.estimate("e1"), 100U);
}

/// Samples of the run before a restart must not count for the next run.
Test(pace_estimator, samples_of_other_runs_are_ignored)
{
    estimator_fixture test;
    test.report_all(40'000);
    test.paces.engine_listed("e1", 99);
    cr_expect_eq(test.estimate("e1"), 0U);
    test.report_all(40'000);
    cr_expect_eq(test.estimate("e1"), 0U);
    test.report("r1", 99, 20'000);
    cr_expect_eq(test.estimate("e1"), 100U);
}

/// One of three routers that reports invalid times, as many as it likes, must
/// have at most a third of the weight of clipped samples.
Test(pace_estimator, one_router_has_bounded_influence)
{
    for (const std::uint64_t invalid_us :
         {std::uint64_t(60), std::uint64_t(9'000'000)})
    {
        estimator_fixture test;
        test.report_all(40'000);
        const double honest = test.estimate("e1");
        for (int i = 0; i < 50; ++i)
            test.report("r3", 1, invalid_us, 100'000);
        const double changed = test.estimate("e1") / honest;
        cr_expect_lt(changed, 1 + 0.5 / 3);
        cr_expect_gt(changed, 1 - 0.5 / 3);
    }
}

/// A router's share of a slow engine must shrink, and the share of a fast one
/// must not grow: the sum over the routers would exceed the slots.
Test(pace_estimator, share_of_a_slow_engine_shrinks)
{
    detail::server_loads loads;
    const instant now{1000s};
    constexpr std::uint32_t slots = 24;
    loads.routers_alive(4);
    loads.reported({engine_id(1), 0, slots}, now);
    loads.reported({engine_id(2), 0, slots}, now);
    cr_expect_eq(loads.limit(1, slots, now), 6U);
    loads.pace_estimated(engine_id(1), 200, now + 30s);
    loads.pace_estimated(engine_id(2), 50, now + 30s);
    cr_expect_eq(loads.limit(1, slots, now), 3U);
    cr_expect_eq(loads.limit(2, slots, now), 6U);
    // A report of the load is valid for 12 s only.
    loads.reported({engine_id(1), 0, slots}, now + 30s);
    cr_expect_eq(loads.limit(1, slots, now + 30s), 6U);
}

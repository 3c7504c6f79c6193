#include "core/swapping/demand_estimator.hpp"
#include "core/swapping/engine_loss_estimator.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr instant start(100s);

demand_estimator make_meter()
{
    return demand_estimator(demand_estimator::options{30s});
}

} // namespace

Test(demand_estimator, requests_for_an_adapter_count_for_its_model)
{
    demand_estimator meter = make_meter();
    meter.add("llm/m1", 2, start);
    meter.add("llm/m1/a3", 3, start);
    meter.add("other/m1", 7, start);
    cr_assert_float_eq(meter.decayed_count("llm/m1", start), 5, 1e-9);
}

Test(demand_estimator, a_count_is_halved_after_a_half_life)
{
    demand_estimator meter = make_meter();
    meter.add("llm/m1", 4, start);
    cr_assert_float_eq(meter.decayed_count("llm/m1", start + 30s), 2, 1e-9);
    meter.add("llm/m1", 1, start + 60s);
    cr_assert_float_eq(meter.decayed_count("llm/m1", start + 60s), 2, 1e-9);
    meter.tick(start + 600s);
    cr_assert_eq(meter.decayed_count("llm/m1", start), 0);
}

Test(demand_estimator, a_steady_rate_is_estimated)
{
    demand_estimator meter = make_meter();
    for (instant now = start; now < start + 300s; now += 500ms)
        meter.add("llm/m1", 1, now);
    cr_assert_float_eq(
        meter.requests_per_second("llm/m1", start + 300s), 2, 0.05);
}

Test(
    engine_loss_estimator,
    estimates_the_share_of_engines_that_were_lost_recently)
{
    engine_loss_estimator meter{engine_loss_estimator::options()};
    meter.update({"e1", "e2", "e3", "e4"}, start);
    const double calm = meter.loss_probability();
    cr_assert_gt(calm, 0);
    cr_assert_leq(calm, 0.05);
    meter.update({"e3", "e4", "n1", "n2"}, start + 2s);
    cr_assert_float_eq(meter.loss_probability(), 0.5, 1e-9);
    meter.update({"e3", "e4", "n1", "n2"}, start + 33s);
    cr_assert_float_eq(meter.loss_probability(), calm, 1e-9);
}

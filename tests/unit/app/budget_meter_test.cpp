#include "app/budget_meter.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;
using namespace std::chrono_literals;

Test(budget_meter, shares_are_of_the_last_minute)
{
    budget_meter meter;
    budget_meter::reading used;
    used.memory = 16'000'000;
    instant now{1000s};
    meter.note(used, now);
    cr_expect_eq(meter.used().memory, 500);
    cr_expect_eq(meter.used().cpu, 0, "one reading gives no rate");
    for (int i = 0; i < 12; ++i)
    {
        now += 10s;
        const bool last_minute = i >= 6;
        used.cpu_us += last_minute ? 80'000 : 0;    // 8 ms a second
        used.bytes += last_minute ? 200'000 : 1000; // 20 KB a second
        meter.note(used, now);
    }
    cr_expect_eq(meter.used().cpu, 500);
    cr_expect_eq(meter.used().bytes, 2000);
    cr_expect_not(meter.due(now + 9s));
    cr_expect(meter.due(now + 10s));
}

#include "app/idle_meter.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;
using namespace std::chrono_literals;

namespace
{

engine_report report_of(std::uint64_t engine, std::uint32_t running)
{
    engine_report report;
    report.engine = engine_id(engine);
    report.reachable = true;
    report.running = running;
    report.residents.resize(2);
    return report;
}

} // namespace

Test(idle_meter, counts_the_accelerators_of_loaded_engines_without_requests)
{
    idle_meter meter;
    const instant start{};
    meter.reported(report_of(1, 0), 4, true, start);
    meter.reported(report_of(1, 0), 4, true, start + 10s);
    cr_expect(meter.idle() == 40s);
    cr_expect_eq(meter.residents(), 2);
    meter.reported(report_of(1, 1), 4, true, start + 20s);
    meter.reported(report_of(1, 0), 4, true, start + 30s);
    cr_expect(meter.idle() == 40s, "it was at work at one end of each span");
    meter.reported(report_of(1, 0), 4, true, start + 31s);
    cr_expect(meter.idle() == 44s);
}

Test(idle_meter, counts_neither_empty_nor_unleased_nor_silent_engines)
{
    idle_meter meter;
    const instant start{};
    engine_report empty = report_of(1, 0);
    empty.residents.clear();
    engine_report silent = report_of(3, 0);
    silent.reachable = false;
    for (const duration passed : {0s, 10s})
    {
        meter.reported(empty, 1, true, start + passed);
        meter.reported(report_of(2, 0), 1, false, start + passed);
        meter.reported(report_of(3, 0), 1, true, start + passed);
        meter.reported(silent, 1, true, start + passed);
    }
    cr_expect(meter.idle() == 0s);
    cr_expect_eq(meter.residents(), 0);
}

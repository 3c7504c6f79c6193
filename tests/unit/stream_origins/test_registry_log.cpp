#include "core/origins/registry_log.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

/// Servers a and b write in each round; b also when something changes.
registry_log make_log(int rounds)
{
    registry_log log;
    for (int i = 0; i < rounds; ++i)
    {
        log.writes.push_back({"a", "llm", software_version(1)});
        log.writes.push_back({"b", "llm", software_version(1)});
        if (i % 3 == 0)
            log.writes.push_back({"b", "llm", software_version(1)});
    }
    return log;
}

} // namespace

Test(registry_log, covers_the_regular_writes_of_the_servers)
{
    const duration covered = time_covered(make_log(11), 1s);
    cr_assert(covered == 9s, "%ld", static_cast<long>(covered.count()));
}

Test(registry_log, a_server_that_came_late_proves_nothing)
{
    registry_log log = make_log(11);
    for (int i = 0; i < 3; ++i)
        log.writes.push_back({"c", "llm", software_version(2)});
    cr_assert(time_covered(log, 1s) == 9s);
}

Test(registry_log, a_short_log_covers_no_time)
{
    cr_assert(time_covered({}, 1s) == 0s);
    cr_assert(time_covered(make_log(1), 1s) == 0s);
}

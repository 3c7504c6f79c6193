#include "tail_latency_run.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

/// One server in twenty takes eight times as long as the others.
Test(tail_latency, one_slow_server_in_twenty)
{
    assert_tail_falls_to(
        2.0 / 3,
        [](std::size_t server, instant)
        {
            return server % 20 == 0 ? 8.0 : 1.0;
        });
}

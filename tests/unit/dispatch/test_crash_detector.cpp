#include "core/request/crash_detector.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr fingerprint bad(7);
constexpr fingerprint other(8);

instant at(duration since_start)
{
    return instant(100s + since_start);
}

crash_detector make_detector()
{
    return crash_detector(crash_detector::options());
}

} // namespace

Test(crash_detector, a_request_that_crashed_two_servers_is_blocked)
{
    crash_detector detector = make_detector();
    detector.record_break(bad, "e1", at(0s));
    cr_assert_not(detector.server_lost("e1", at(2s)));
    detector.record_break(bad, "e2", at(3s));
    cr_assert(detector.blocked().empty());
    cr_assert(detector.server_lost("e2", at(5s)));
    cr_assert(detector.blocked().contains(bad));
}

Test(crash_detector, broken_connections_alone_do_not_block)
{
    crash_detector detector = make_detector();
    for (const char* server : {"e1", "e2", "e3", "e4"})
        detector.record_break(bad, server, at(0s));
    cr_assert_not(detector.server_lost("e5", at(1s)));
    cr_assert(detector.blocked().empty());
}

Test(crash_detector, one_server_lost_twice_counts_once)
{
    crash_detector detector = make_detector();
    for (const duration when : {0s, 3s})
    {
        detector.record_break(bad, "e1", at(when));
        cr_assert_not(detector.server_lost("e1", at(when + 1s)));
    }
}

Test(crash_detector, a_request_that_ran_on_one_crashed_server_is_not_blocked)
{
    crash_detector detector = make_detector();
    detector.record_break(bad, "e1", at(0s));
    detector.record_break(other, "e1", at(0s));
    detector.server_lost("e1", at(1s));
    detector.record_break(bad, "e2", at(2s));
    detector.server_lost("e2", at(3s));
    cr_assert(detector.blocked().contains(bad));
    cr_assert_not(detector.blocked().contains(other));
}

Test(crash_detector, a_server_lost_long_after_the_break_does_not_count)
{
    crash_detector detector = make_detector();
    detector.record_break(bad, "e1", at(0s));
    detector.server_lost("e1", at(1s));
    detector.record_break(bad, "e2", at(2s));
    cr_assert_not(detector.server_lost("e2", at(11s)));
}

Test(crash_detector, a_block_expires)
{
    crash_detector detector = make_detector();
    detector.record_break(bad, "e1", at(0s));
    detector.record_break(bad, "e2", at(0s));
    detector.server_lost("e1", at(1s));
    detector.server_lost("e2", at(1s));
    cr_assert_not(detector.tick(at(60s)));
    cr_assert(detector.tick(at(61s + 1ms)));
    cr_assert(detector.blocked().empty());
}

#include "adapters/platform/system_clock.hpp"
#include "app/claim_desk.hpp"
#include "app/usage_tap.hpp"
#include "fake_platform.hpp"

#include <boost/asio/io_context.hpp>

#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;
using namespace roseworks::testing;

namespace
{

using status = claim_result::status;

/// A desk before a loop that has no state yet, or one with an open log.
struct desk_bench
{
    desk_bench()
        : loop(
              context.get_executor(),
              controller::options(),
              {clock, log, engines, nullptr, peers, events},
              notices())
        , desk(context.get_executor(), loop)
    {
        this->loop.start("127.0.0.1:2");
    }

    static control_notices notices()
    {
        control_notices result;
        result.table_published = [](routing_table_ptr) {};
        result.claims_dropped = [] {};
        result.claim_decided = [](const claim_result&) {};
        result.caught_up = [] {};
        result.look = [](const control_loop&) {};
        return result;
    }

    void claim(const claim_request& asked)
    {
        this->desk.claim(
            asked,
            [this](const claim_result& result)
            {
                this->results.push_back(result.result);
            });
        this->context.restart();
        this->context.poll();
    }

    boost::asio::io_context context;
    // The loop's timers run on the real clock.
    platform::system_clock clock;
    fake_log log;
    fake_engines engines;
    fake_peers peers;
    counting_events events;
    control_loop loop;
    claim_desk desk;
    std::vector<status> results;
};

/// Grants each request at once.
class granting_port : public dispatch_port
{
public:
    ticket submit(request_info, reply_handler handler) override
    {
        if (this->refuses)
            handler(refusal());
        else
            handler(grant());
        return ticket(1);
    }

    dispatcher::finish finished(ticket, const attempt_result&) override
    {
        return {};
    }

    void abandon(ticket) override {}

    void drain() override {}

    bool refuses = false;
};

request_info asking_for(std::string target, bool is_service = false)
{
    request_info info;
    info.target = std::move(target);
    info.is_service = is_service;
    return info;
}

} // namespace

Test(claim_desk, without_a_state_nothing_is_claimed)
{
    desk_bench bench;
    bench.claim({1, 1});
    cr_expect(bench.results == std::vector{status::unavailable});
}

Test(claim_desk, one_of_those_who_wait_for_a_key_gets_it)
{
    desk_bench bench;
    bench.log.open();
    for (int caller = 0; caller < 3; ++caller)
        bench.claim({1, 1});
    bench.claim({2, 2});
    cr_expect(bench.results.empty());
    claim_result granted;
    granted.key = {1, 1};
    bench.desk.decided(granted);
    const std::vector wanted{status::granted, status::held, status::held};
    cr_expect(bench.results == wanted);
    bench.desk.decided(granted);
    cr_expect(bench.results.size() == 3);
}

Test(claim_desk, what_is_dropped_is_answered)
{
    desk_bench bench;
    bench.log.open();
    bench.claim({1, 1});
    bench.claim({1, 1});
    bench.claim({2, 2});
    bench.desk.dropped();
    const std::vector wanted(3, status::unavailable);
    cr_expect(bench.results == wanted);
}

Test(usage_tap, tells_once_of_the_names_that_were_granted)
{
    int told = 0;
    auto next = std::make_shared<granting_port>();
    usage_tap tap(
        next,
        [&]
        {
            ++told;
        });
    const auto ignore = [](const dispatch_port::reply&) {};
    tap.submit(asking_for("m1"), ignore);
    tap.submit(asking_for("m1"), ignore);
    tap.submit(asking_for("m2"), ignore);
    request_info other = asking_for("m2");
    other.caller = "mechanic";
    tap.submit(other, ignore);
    tap.submit(asking_for("desk", true), ignore);
    next->refuses = true;
    tap.submit(asking_for("m3"), ignore);
    cr_expect(told == 1);
    const std::set<noted_use> wanted{
        {"m1", "anonymous"}, {"m2", "anonymous"}, {"m2", "mechanic"}};
    cr_expect(tap.take() == wanted);
    cr_expect(tap.take().empty());
}

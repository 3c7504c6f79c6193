#include "app/gateway/engine_reach.hpp"
#include "fake_opinions.hpp"
#include "placement_fixture.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;
using namespace roseworks::app::tests;

namespace
{

/// Opens no connection while the network is cut.
class scripted_opener final : public edge::connection_opener
{
public:
    boost::asio::awaitable<edge::connect_result>
    open(edge::backend_connection&, duration) override
    {
        ++this->attempts;
        co_return this->result;
    }

    bool may_reuse(const edge::backend_connection&) const override
    {
        return true;
    }

    edge::connect_result result = edge::connect_result::failed;
    int attempts = 0;
};

struct one_router
{
    one_router()
    {
        this->reach.start();
    }

    ~one_router()
    {
        this->reach.stop();
        this->loop.poll();
    }

    static engine_reach::options make_options()
    {
        engine_reach::options made;
        made.round_interval = std::chrono::milliseconds(1);
        return made;
    }

    /// Sends an order to each of four engines and ends all with an outcome.
    void order_all(command_outcome outcome)
    {
        for (int i = 1; i <= 4; ++i)
        {
            engine_command command;
            command.engine = "e" + std::to_string(i);
            command.address = "10.0.0." + std::to_string(i) + ":80";
            this->reach.send_command(command, {}, [](command_outcome) {});
        }
        while (!this->engines.commands.empty())
        {
            this->engines.commands.front().done(outcome);
            this->engines.commands.pop_front();
        }
    }

    /// Runs the loop until a number of tests has been made and answered.
    void run_tests(int count)
    {
        const int until = this->opener.attempts + count;
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (this->opener.attempts < until &&
               std::chrono::steady_clock::now() < limit)
            this->loop.run_one_for(10ms);
        cr_assert_eq(this->opener.attempts, until);
        this->loop.poll();
    }

    boost::asio::io_context loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        loop_guard{this->loop.get_executor()};
    manual_clock clock;
    queued_commands engines;
    scripted_opener opener;
    roseworks::testing::fake_opinions opinions{this->loop};
    std::vector<bool> changes;
    std::vector<std::string> leaving_engines;
    engine_reach reach{
        this->loop,
        make_options(),
        this->clock,
        this->engines,
        this->opener,
        this->opinions,
        {[this](bool is_cut_off)
         {
             this->changes.push_back(is_cut_off);
         },
         [this](const std::string& engine)
         {
             this->leaving_engines.push_back(engine);
         }}};
};

} // namespace

// Guards against an owner of placement that is cut off from all engines.
Test(engine_reach, a_router_is_cut_off_when_others_reach_its_engines)
{
    one_router test;
    test.opinions.opinion = reach_opinion::reached;
    test.order_all(command_outcome::not_sent);
    test.run_tests(4);
    cr_assert(test.reach.is_cut_off());
    cr_assert_eq(test.changes.size(), 1);
    cr_assert(test.changes[0]);
}

Test(engine_reach, engines_that_nobody_reaches_do_not_cut_a_router_off)
{
    for (const reach_opinion found :
         {reach_opinion::refused, reach_opinion::unknown})
    {
        one_router test;
        test.opinions.opinion = found;
        test.order_all(command_outcome::not_sent);
        test.run_tests(4);
        cr_assert_not(test.reach.is_cut_off());
        cr_assert(test.changes.empty());
    }
}

Test(engine_reach, an_engine_that_accepts_a_connection_is_reached)
{
    one_router test;
    test.opener.result = edge::connect_result::opened;
    test.order_all(command_outcome::unknown);
    test.run_tests(4);
    cr_assert(test.opinions.asked.empty());
    cr_assert_not(test.reach.is_cut_off());
}

Test(engine_reach, a_router_that_reaches_engines_again_is_no_longer_cut_off)
{
    one_router test;
    test.opinions.opinion = reach_opinion::reached;
    test.order_all(command_outcome::not_sent);
    test.run_tests(4);
    test.opener.result = edge::connect_result::opened;
    test.clock.time += 2s;
    test.run_tests(4);
    cr_assert_not(test.reach.is_cut_off());
    cr_assert_eq(test.changes.size(), 2);
}

Test(engine_reach, answered_orders_show_that_engines_are_reached)
{
    one_router test;
    test.order_all(command_outcome::accepted);
    const auto limit = std::chrono::steady_clock::now() + 20ms;
    while (std::chrono::steady_clock::now() < limit)
        test.loop.run_one_for(1ms);
    cr_assert_eq(test.opener.attempts, 0);
}

Test(engine_reach, an_engine_whose_report_says_that_it_leaves_is_reported)
{
    one_router test;
    for (const bool leaving : {false, true})
    {
        test.reach.read_report(
            "e1", "10.0.0.1:80", [](const std::optional<holdings_report>&) {});
        holdings_report report;
        report.leaving = leaving;
        test.engines.reports.back().done(report);
    }
    cr_assert_eq(test.leaving_engines.size(), 1);
    cr_assert_eq(test.leaving_engines[0], "e1");
}

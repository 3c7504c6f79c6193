#include "adapters/events/null_event_sink.hpp"
#include "adapters/platform/system_clock.hpp"
#include "app/gateway/notice_controller.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;

namespace
{

server_entry make_entry(std::int64_t born_ms = 1)
{
    server_entry entry;
    entry.id = "i-1";
    entry.born_ms = born_ms;
    entry.service = "app";
    entry.address = "10.0.0.1:80";
    return entry;
}

server_identity make_identity(std::int64_t born_ms = 1)
{
    return {"i-1", "app", "a", life_of("i-1", born_ms), {}, {}, "10.0.0.1:80"};
}

server_notice leaving_notice()
{
    server_notice notice;
    notice.leaving = true;
    return notice;
}

/// A router with one server.
struct one_router
{
    explicit one_router(std::string name)
        : controller(
              this->loop,
              std::move(name),
              this->clock,
              this->events,
              this->view,
              *this->dispatch,
              {[this](const server_limit_update& message)
               {
                   this->sent.push_back(message);
               },
               [this](server_life life, bool leaving)
               {
                   this->view.set_leaving(life, leaving);
                   this->changes.push_back(leaving);
               }})
    {
        this->view.entry_read(make_entry());
    }

    void answer(const server_notice& notice, std::int64_t born_ms = 1)
    {
        this->controller.answered(
            make_identity(born_ms), notice, this->clock.now());
        this->loop.restart();
        this->loop.poll();
    }

    bool takes_requests() const
    {
        return this->dispatch->takes_requests({{}, "10.0.0.1:80"}, "i-1");
    }

    boost::asio::io_context loop;
    platform::system_clock clock;
    events::null_event_sink events;
    serving_view view{serving_view::options()};
    std::shared_ptr<edge::shared_dispatcher> dispatch =
        edge::shared_dispatcher::make(
            dispatcher({.affinity = prefix_affinity::none}),
            this->loop.get_executor(),
            this->clock,
            {[](const demand&) {},
             [](const crash_seen&) {},
             [](const permit_wanted&) {}});
    std::vector<server_limit_update> sent;
    std::vector<bool> changes;
    notice_controller controller;
};

} // namespace

Test(
    notice_controller,
    the_table_and_the_other_routers_learn_that_a_server_leaves)
{
    one_router told("r1");
    one_router other("r2");
    told.answer({});
    cr_assert(told.changes.empty());
    told.answer(leaving_notice());
    cr_assert(told.view.servers().at("i-1").entry.leaving);
    cr_assert_not(told.takes_requests());
    cr_assert_eq(told.sent.size(), 1);
    other.controller.update_received(told.sent[0]);
    cr_assert(other.view.servers().at("i-1").entry.leaving);
    cr_assert_not(other.takes_requests());
}

Test(notice_controller, a_restarted_server_takes_requests_again)
{
    one_router test("r1");
    test.answer(leaving_notice());
    test.view.entry_read(make_entry(2));
    test.controller.servers_changed();
    cr_assert(test.takes_requests());
    cr_assert_not(test.view.servers().at("i-1").entry.leaving);
}

Test(
    notice_controller,
    a_late_answer_of_an_earlier_life_says_nothing_of_the_next)
{
    one_router test("r1");
    test.view.entry_read(make_entry(2));
    test.answer(leaving_notice(), 1);
    test.controller.servers_changed();
    cr_assert(test.takes_requests());
    cr_assert_not(test.view.servers().at("i-1").entry.leaving);
}

Test(notice_controller, the_end_of_an_earlier_life_ends_nothing_of_the_next)
{
    one_router told("r1");
    told.answer(leaving_notice());
    one_router test("r2");
    test.controller.update_received(told.sent.at(0));
    cr_assert_not(test.takes_requests());
    test.view.entry_read(make_entry(2));
    test.answer(leaving_notice(), 2);
    test.controller.servers_changed();
    cr_assert_not(test.takes_requests());
    cr_assert(test.view.servers().at("i-1").entry.leaving);
}

Test(notice_controller, a_restart_ends_what_another_router_reported)
{
    one_router told("r1");
    told.answer(leaving_notice());
    one_router test("r2");
    test.controller.update_received(told.sent.at(0));
    test.view.entry_read(make_entry(2));
    test.controller.servers_changed();
    cr_assert(test.takes_requests());
}

Test(notice_controller, an_engine_that_reports_it_leaves_gets_no_requests)
{
    one_router test("r1");
    test.controller.engine_leaves("i-1");
    cr_assert(test.view.servers().at("i-1").entry.leaving);
    cr_assert_not(test.takes_requests());
    test.controller.engine_leaves("i-2");
}

Test(notice_controller, a_replaced_server_gets_no_requests)
{
    one_router test("r1");
    server_notice notice;
    notice.replaced = true;
    test.dispatch->server_stated({{}, "10.0.0.1:80"}, "i-1", notice);
    cr_assert_not(test.takes_requests());
    test.answer(notice);
    cr_assert(test.view.servers().at("i-1").entry.leaving);
    cr_assert_eq(test.sent.size(), 1);
}

Test(notice_controller, a_shorter_pause_ends_no_longer_one)
{
    one_router test("r1");
    for (const auto pause : {std::chrono::hours(1), std::chrono::hours(0)})
    {
        server_notice notice;
        notice.no_room = true;
        notice.pause = pause;
        test.dispatch->server_stated({{}, "10.0.0.1:80"}, "i-1", notice);
        test.answer(notice);
        cr_assert_not(test.takes_requests());
    }
}

Test(notice_controller, a_restarted_server_is_not_paused)
{
    one_router test("r1");
    server_notice notice;
    notice.pause = std::chrono::hours(1);
    test.dispatch->server_stated({{}, "10.0.0.1:80"}, "i-1", notice);
    test.answer(notice);
    test.controller.servers_changed();
    cr_assert_not(test.takes_requests());
    test.view.entry_read(make_entry(2));
    test.controller.servers_changed();
    cr_assert(test.takes_requests());
}

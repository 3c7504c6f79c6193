#include "adapters/events/null_event_sink.hpp"
#include "adapters/platform/system_clock.hpp"
#include "app/gateway/server_limit_controller.hpp"
#include "null_peers.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;
using namespace std::chrono_literals;

namespace
{

server_entry make_entry(std::int64_t born_ms = 1)
{
    server_entry entry;
    entry.id = "i-1";
    entry.born_ms = born_ms;
    entry.service = "app";
    entry.address = "10.0.0.1:80";
    entry.slots = 8;
    return entry;
}

/// A router with one server, which isn't an engine.
struct one_server
{
    one_server()
        : view({})
        , dispatch(edge::shared_dispatcher::make(
              dispatcher({.affinity = prefix_affinity::none}),
              this->loop.get_executor(),
              this->clock,
              {[](const demand&) {},
               [](const crash_seen&) {},
               [this](const permit_wanted& wanted)
               {
                   ++this->permit_requests;
                   this->controller.permit_needed(wanted);
               },
               [this](const place_released& released)
               {
                   this->controller.place_released(released);
               },
               [this](const permit_cancelled& cancelled)
               {
                   this->controller.permit_cancelled(cancelled);
               }}))
        , quotas(
              this->loop,
              {.router = "r"},
              this->clock,
              this->events,
              this->peers)
        , controller(
              this->loop,
              {.router = "r"},
              this->clock,
              this->events,
              this->view,
              *this->dispatch,
              this->quotas,
              {[this](const server_limit_update& message)
               {
                   this->sent_limits.push_back(message);
               },
               [this](std::map<std::string, double, std::less<>> named)
               {
                   this->rates = std::move(named);
               }})
    {
        auto config = std::make_shared<deployment>();
        config->version = 1;
        config->services.emplace_back().name = "app";
        this->view.deployment_read(config);
        this->view.entry_read(make_entry());
        this->publish();
        this->quotas.start();
        const router_address self[] = {{"r", "r:1", 1}};
        this->quotas.routers_listed(self);
    }

    ~one_server()
    {
        this->controller.stop();
        this->quotas.stop();
        this->dispatch->stop();
    }

    void publish()
    {
        this->dispatch->table_changed(
            this->view.make_table(true, this->clock.now()));
        this->controller.servers_changed();
    }

    void answer(std::optional<double> named)
    {
        this->answer(server_notice{named, {}});
    }

    void answer(const server_notice& notice, const std::string& server = "i-1")
    {
        this->controller.answered(server, notice, this->clock.now());
        this->run_ready_handlers();
    }

    /// Starts another server at the address of the first one, whose entry goes
    /// later.
    void restart_at_address(const server_notice& notice)
    {
        server_entry entry = make_entry(2);
        entry.id = "i-2";
        entry.registry_revision = 2;
        this->view.entry_read(entry);
        this->publish();
        this->answer(notice, "i-2");
        this->view.entry_removed("i-1", this->clock.now());
        this->publish();
        this->run_ready_handlers();
    }

    void run_ready_handlers()
    {
        for (int i = 0; i < 5; ++i)
            this->loop.poll();
    }

    /// Submits a request.
    /// @return Whether it was granted; empty until there is a reply.
    std::shared_ptr<std::optional<bool>> submit(duration timeout)
    {
        request_info info;
        info.target = "app";
        info.is_service = true;
        info.deadline = this->clock.now() + timeout;
        const auto sent = std::make_shared<std::optional<bool>>();
        this->dispatch->submit(
            std::move(info),
            [sent](const dispatch_port::reply& reply)
            {
                *sent = std::holds_alternative<grant>(reply);
            });
        return sent;
    }

    template <class Done>
    bool run_until(Done done)
    {
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (!done() && std::chrono::steady_clock::now() < limit)
            this->loop.run_one_for(10ms);
        return done();
    }

    boost::asio::io_context loop;
    platform::system_clock clock;
    events::null_event_sink events;
    roseworks::testing::null_peers peers;
    serving_view view;
    std::vector<server_limit_update> sent_limits;
    std::map<std::string, double, std::less<>> rates;
    int permit_requests = 0;
    std::shared_ptr<edge::shared_dispatcher> dispatch;
    quota_controller quotas;
    server_limit_controller controller;
};

} // namespace

Test(server_limit_controller, sends_a_limit_named_by_an_answer_to_all_routers)
{
    one_server test;
    test.answer(2.0);
    cr_assert_eq(test.sent_limits.size(), 1U);
    cr_assert_eq(test.sent_limits[0].limits.at(0).server, "i-1");
    cr_assert_eq(test.rates.at("i-1"), 2.0);
}

Test(
    server_limit_controller,
    a_request_to_a_limited_server_is_sent_under_a_permit)
{
    one_server test;
    test.answer(50.0);
    const auto sent = test.submit(20s);
    cr_assert_not(sent->has_value());
    cr_assert(test.run_until(
        [&]
        {
            return sent->has_value();
        }));
    cr_assert(**sent);
    cr_assert_geq(test.permit_requests, 1);
}

Test(server_limit_controller, an_answer_without_a_limit_ends_the_limit)
{
    one_server test;
    test.answer(0.01);
    test.answer(std::nullopt);
    cr_assert(test.rates.empty());
    const auto sent = test.submit(20s);
    cr_assert(sent->has_value());
    cr_assert(**sent);
}

Test(server_limit_controller, a_restarted_server_has_no_limit)
{
    one_server test;
    test.answer(0.01);
    test.view.entry_read(make_entry(2));
    test.publish();
    cr_assert(test.rates.empty());
    const auto sent = test.submit(20s);
    cr_assert(sent->has_value());
}

/// Entries can be missing for a while after an outage of the registry.
Test(
    server_limit_controller,
    a_limit_survives_the_temporary_loss_of_the_registry_entry)
{
    one_server test;
    test.answer(0.01);
    test.view.entry_removed("i-1", test.clock.now());
    test.publish();
    test.view.entry_read(make_entry());
    test.publish();
    const auto sent = test.submit(20s);
    cr_assert_not(sent->has_value() && **sent);
}

Test(
    server_limit_controller,
    a_limit_received_before_the_registry_entry_applies_later)
{
    one_server test;
    test.view.entry_removed("i-1", test.clock.now());
    test.publish();
    test.controller.limits_received(
        split_by_kind({"other", {{"i-1", 0.01, 0}}}));
    test.view.entry_read(make_entry());
    test.publish();
    const auto sent = test.submit(20s);
    cr_assert_not(sent->has_value() && **sent);
}

/// Guards against a rate limit being lost with the former server's entry when a
/// server is back at its address.
Test(server_limit_controller, a_limit_outlives_the_former_entry_at_the_address)
{
    one_server test;
    test.answer(0.01);
    test.restart_at_address(server_notice{0.01, {}});
    const auto sent = test.submit(20s);
    test.loop.run_for(100ms);
    cr_assert_not(sent->has_value() && **sent);
    cr_assert_geq(test.permit_requests, 1);
}

/// Guards against a brittle server whose places aren't counted any more once
/// the former server's entry at its address has gone.
Test(server_limit_controller, places_outlive_the_former_entry_at_the_address)
{
    constexpr std::size_t requests = 12;
    constexpr std::ptrdiff_t slots = 8; // of the servers' entries
    one_server test;
    test.answer(server_notice{{}, 4.0});
    test.restart_at_address(server_notice{{}, 4.0});
    std::vector<std::shared_ptr<std::optional<bool>>> sent;
    for (std::size_t i = 0; i < requests; ++i)
        sent.push_back(test.submit(20s));
    test.loop.run_for(300ms);
    const auto granted = std::ranges::count_if(
        sent,
        [](const auto& one)
        {
            return one->has_value();
        });
    cr_assert_eq(granted, slots);
}

/// Routers sent a brittle server more requests than it had room for, until it
/// fell over.
Test(
    server_limit_controller,
    a_brittle_server_gets_as_many_requests_as_it_has_slots)
{
    constexpr std::size_t requests = 12;
    constexpr std::ptrdiff_t slots = 8; // of the server's entry
    one_server test;
    test.answer(server_notice{{}, 4.0});
    cr_assert_eq(test.sent_limits.size(), 1U);
    std::vector<std::shared_ptr<std::optional<bool>>> sent;
    for (std::size_t i = 0; i < requests; ++i)
        sent.push_back(test.submit(20s));
    const auto granted = [&]
    {
        return std::ranges::count_if(
            sent,
            [](const auto& one)
            {
                return one->has_value();
            });
    };
    cr_assert(test.run_until(
        [&]
        {
            return granted() >= slots;
        }));
    test.loop.run_for(100ms);
    cr_assert_eq(granted(), slots);
    // Once no server is brittle, the others are sent as before.
    test.controller.limits_received(split_by_kind(
        {"r2",
         {{"\x01"
           "brittle app",
           0,
           0}}}));
    cr_assert(test.run_until(
        [&]
        {
            return granted() > slots;
        }));
}

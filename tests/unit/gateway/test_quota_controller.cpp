#include "adapters/platform/system_clock.hpp"
#include "app/gateway/quota_controller.hpp"
#include "null_peers.hpp"

#include <boost/asio/io_context.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;
using namespace std::chrono_literals;

namespace
{

/// Delivers quota messages to the router at their address, synchronously.
class direct_peers final : public roseworks::testing::null_peers
{
public:
    using null_peers::send;

    void send(std::string_view address, const quota_query& query) override
    {
        ++this->queries;
        if (address == "strong:1" && this->strong != nullptr)
            this->strong->query_received(query, "weak:1");
    }

    void send(std::string_view address, const quota_reply& reply) override
    {
        if (address == "weak:1" && this->weak != nullptr)
            this->weak->reply_received(reply);
    }

    quota_controller* strong = nullptr;
    quota_controller* weak = nullptr;
    int queries = 0;
};

deployment make_deployment(double per_second)
{
    deployment made;
    organisation one;
    one.name = "o1";
    if (per_second > 0)
        one.limit = usage_limit{per_second, per_second};
    made.organisations = {one};
    return made;
}

/// Records the names of the fields of the lines about a limit.
class limit_lines final : public event_sink
{
public:
    void emit(const event_record& record) noexcept override
    {
        if (record.id != event_id::limit_reached)
            return;
        this->fields.clear();
        for (const event_field& one : record.fields)
            this->fields.emplace_back(one.name);
    }

    std::vector<std::string> fields; ///< of the latest line
};

/// Two routers, one on a VM of high and one of low capacity, on one event loop.
struct two_routers
{
    explicit two_routers(bool order_by_urgency = false)
        : strong(
              this->loop,
              {.router = "strong",
               .order_by_urgency = order_by_urgency,
               .on_class_usage =
                   [this](std::uint8_t urgency, double used, double refused)
               {
                   this->used.at(urgency) += used;
                   this->refused.at(urgency) += refused;
               }},
              this->clock,
              this->events,
              this->peers)
        , weak(
              this->loop,
              {.router = "weak", .seed = 1ULL << 40},
              this->clock,
              this->events,
              this->peers)
    {
        this->peers.strong = &this->strong;
        this->peers.weak = &this->weak;
        const router_address all[] = {
            {"strong", "strong:1", 2}, {"weak", "weak:1", 0.5}};
        for (quota_controller* controller : {&this->strong, &this->weak})
        {
            controller->start();
            controller->routers_listed(all);
        }
    }

    void configure(double per_second)
    {
        this->strong.deployment_changed(make_deployment(per_second));
        this->weak.deployment_changed(make_deployment(per_second));
    }

    /// Draws quota until a draw is allowed or refused, as given.
    /// @return Whether that happened before the time limit.
    bool
    draws_until(bool allowed, const quota_request& drawn = {"o1", 100, 0ms})
    {
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (std::chrono::steady_clock::now() < limit)
        {
            std::optional<quota_decision> decision;
            this->weak.draw(
                drawn,
                [&decision](const quota_decision& received)
                {
                    decision = received;
                });
            while (!decision && std::chrono::steady_clock::now() < limit)
                this->loop.run_one_for(10ms);
            if (decision && decision->is_allowed == allowed)
                return true;
        }
        return false;
    }

    boost::asio::io_context loop;
    platform::system_clock clock;
    limit_lines events;
    std::array<double, urgency::class_count> used{};
    std::array<double, urgency::class_count> refused{};
    direct_peers peers;
    quota_controller strong;
    quota_controller weak;
};

} // namespace

Test(quota_controller, the_router_of_low_capacity_asks_the_other_one)
{
    two_routers test;
    test.configure(1e6);
    cr_assert(test.draws_until(true));
    cr_assert_gt(test.peers.queries, 0);
}

Test(quota_controller, refuses_draws_over_the_limit)
{
    two_routers test;
    test.configure(1e3);
    cr_assert(test.draws_until(true));
    cr_assert(test.draws_until(false));
}

Test(quota_controller, retries_of_a_configured_service_are_counted)
{
    two_routers test;
    deployment configuration;
    configuration.services = {{"app", 1, {}}};
    test.strong.deployment_changed(configuration);
    test.weak.deployment_changed(configuration);
    cr_assert(test.draws_until(true, {retry_account("app"), 1, 0ms}));
    cr_assert(test.draws_until(false, {retry_account("app"), 1, 0ms}));
    cr_assert(test.draws_until(false, {retry_account("old"), 1, 0ms}));
}

Test(quota_controller, sends_nothing_while_there_is_no_limit)
{
    two_routers test;
    test.configure(0);
    for (int i = 0; i < 20; ++i)
        test.loop.run_one_for(5ms);
    cr_assert_eq(test.peers.queries, 0);
}

Test(quota_controller, a_waiting_request_is_allowed_when_its_limit_is_removed)
{
    two_routers test;
    test.configure(1e6);
    cr_assert(test.draws_until(true));
    // The accountant stops answering, and the limit is removed while a draw is
    // pending.
    test.peers.strong = nullptr;
    std::optional<quota_decision> decision;
    test.weak.draw(
        {"o1", 100, 0ms},
        [&decision](const quota_decision& received)
        {
            decision = received;
        });
    test.loop.run_one_for(10ms);
    test.configure(0);
    const auto limit = std::chrono::steady_clock::now() + 20s;
    while (!decision && std::chrono::steady_clock::now() < limit)
        test.loop.run_one_for(10ms);
    cr_assert(decision.has_value());
    cr_assert(decision->is_allowed);
    cr_assert(test.draws_until(true));
}

namespace
{

/// Draws of one class, refused by a limit that holds none of them.
void draw_until_a_line(two_routers& test, std::uint8_t urgency)
{
    test.configure(1e3);
    cr_assert(test.draws_until(true));
    quota_request drawn{"o1", 100, 0ms};
    drawn.order.urgency_class = urgency;
    drawn.order.objective_in_us = 0;
    const auto limit = std::chrono::steady_clock::now() + 20s;
    while (test.events.fields.empty() &&
           std::chrono::steady_clock::now() < limit)
        cr_assert(test.draws_until(false, drawn));
}

} // namespace

/// The page of metrics and the lines by class must show what happened.
Test(quota_controller, reports_usage_by_class_if_requests_are_ordered)
{
    two_routers test(true);
    draw_until_a_line(test, urgency::deferrable);
    cr_assert_eq(test.events.fields.size(), 13);
    cr_assert_eq(test.events.fields.at(6), "share_percent");
    cr_assert_eq(test.events.fields.at(7), "used_urgent");
    cr_assert_eq(test.events.fields.back(), "refused_deferrable");
    cr_assert_gt(test.refused.at(urgency::deferrable), 0);
    cr_assert_eq(test.refused.at(urgency::urgent), 0);
}

Test(quota_controller, reports_no_classes_by_default)
{
    two_routers test;
    draw_until_a_line(test, urgency::deferrable);
    cr_assert_eq(test.events.fields.size(), 7);
    cr_assert_eq(test.events.fields.back(), "share_percent");
    cr_assert_eq(test.refused.at(urgency::deferrable), 0);
}

#include "adapters/events/null_event_sink.hpp"
#include "adapters/platform/system_clock.hpp"
#include "app/gateway/quota_desk.hpp"

#include <boost/asio/io_context.hpp>

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

/// Hands words on to the desk at their address, at once.
class joined_peers final : public gateway_peer_port
{
public:
    void start(gateway_peer_listener&) override {}
    void send(std::span<const std::string>, const router_report&) override {}
    void send(std::span<const std::string>, const owner_announcement&) override
    {
    }
    void
    send(std::span<const std::string>, const connection_loss_report&) override
    {
    }
    void send(std::span<const std::string>, const directory_update&) override {}
    void send(std::span<const std::string>, const server_limit_update&) override
    {
    }
    void stop() override {}

    void send(std::string_view address, const quota_query& ask) override
    {
        ++this->asks;
        if (address == "strong:1" && this->strong != nullptr)
            this->strong->ask_heard(ask, "weak:1");
    }

    void send(std::string_view address, const quota_reply& answer) override
    {
        if (address == "weak:1" && this->weak != nullptr)
            this->weak->answer_heard(answer);
    }

    quota_desk* strong = nullptr;
    quota_desk* weak = nullptr;
    int asks = 0;
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

/// A strong and a weak router on one event loop.
struct two_desks
{
    two_desks()
        : strong(
              this->loop,
              {.router = "strong"},
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
        for (quota_desk* desk : {&this->strong, &this->weak})
        {
            desk->start();
            desk->routers_listed(all);
        }
    }

    void configure(double per_second)
    {
        this->strong.configured(make_deployment(per_second));
        this->weak.configured(make_deployment(per_second));
    }

    /// Draws until one is decided as wished.
    bool draws_until(bool allowed)
    {
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (std::chrono::steady_clock::now() < limit)
        {
            std::optional<quota_decision> made;
            this->weak.draw(
                {"o1", 100, 0ms},
                [&made](const quota_decision& decided)
                {
                    made = decided;
                });
            while (!made && std::chrono::steady_clock::now() < limit)
                this->loop.run_one_for(10ms);
            if (made && made->is_allowed == allowed)
                return true;
        }
        return false;
    }

    boost::asio::io_context loop;
    platform::system_clock clock;
    events::null_event_sink events;
    joined_peers peers;
    quota_desk strong;
    quota_desk weak;
};

} // namespace

Test(quota_desk, a_weak_router_draws_from_the_strong_one)
{
    two_desks test;
    test.configure(1e6);
    cr_assert(test.draws_until(true));
    cr_assert_gt(test.peers.asks, 0);
}

Test(quota_desk, what_is_over_the_limit_is_refused)
{
    two_desks test;
    test.configure(1e3);
    cr_assert(test.draws_until(true));
    cr_assert(test.draws_until(false));
}

Test(quota_desk, says_nothing_while_nobody_has_a_limit)
{
    two_desks test;
    test.configure(0);
    for (int i = 0; i < 20; ++i)
        test.loop.run_one_for(5ms);
    cr_assert_eq(test.peers.asks, 0);
}

Test(quota_desk, a_request_that_waits_is_told_though_its_limit_goes)
{
    two_desks test;
    test.configure(1e6);
    cr_assert(test.draws_until(true));
    // Nobody answers any more, and the limit goes while a draw is open.
    test.peers.strong = nullptr;
    std::optional<quota_decision> made;
    test.weak.draw(
        {"o1", 100, 0ms},
        [&made](const quota_decision& decided)
        {
            made = decided;
        });
    test.loop.run_one_for(10ms);
    test.configure(0);
    const auto limit = std::chrono::steady_clock::now() + 20s;
    while (!made && std::chrono::steady_clock::now() < limit)
        test.loop.run_one_for(10ms);
    cr_assert(made.has_value());
    cr_assert(made->is_allowed);
    cr_assert(test.draws_until(true));
}

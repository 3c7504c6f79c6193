#pragma once

#include "adapters/events/null_event_sink.hpp"
#include "app/gateway/placement_controller.hpp"
#include "core/serving/servable_key.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace roseworks::app::tests
{

using namespace std::chrono_literals;

/// Clock that a test advances. The timers of the event loop use the system
/// clock, but their handlers read this one.
class manual_clock final : public clock_port
{
public:
    instant now() const override
    {
        return this->time;
    }

    stamp_ms wall() const override
    {
        return 1;
    }

    instant time{100s};
};

/// Queues orders and report reads until the test completes them.
class queued_commands final : public engine_command_port
{
public:
    struct command
    {
        engine_command order;
        std::function<bool()> allowed;
        command_done done;
    };

    struct report
    {
        std::string engine;
        report_done done;
    };

    void send_command(
        const engine_command& order,
        std::function<bool()> allowed,
        command_done done) override
    {
        this->commands.push_back({order, std::move(allowed), std::move(done)});
    }

    void read_report(
        const std::string& engine,
        const std::string& /*address*/,
        report_done done) override
    {
        this->reports.push_back({engine, std::move(done)});
    }

    std::deque<command> commands;
    std::deque<report> reports;
};

/// A placement controller with the engines `e1`, `e2`, ... of a service `llm`.
/// Each engine has the models `m0` to `m3` on its disk.
class placement_fixture
{
public:
    explicit placement_fixture(
        std::size_t engines = 2,
        placement_controller::options settings =
            placement_controller::options())
        : controller(
              loop,
              settings,
              "r1",
              clock,
              sink,
              commands,
              view,
              []
              {
                  return std::vector<std::string>{"r1"};
              },
              [this](
                  const owner_announcement& announcement,
                  std::span<const std::string>)
              {
                  this->announcements.push_back(announcement);
              })
    {
        this->view.deployment_read(make_deployment());
        for (std::size_t i = 1; i <= engines; ++i)
            this->view.entry_read(make_entry("e" + std::to_string(i)));
        this->controller.deployment_changed(this->view.config());
    }

    /// Makes this router the owner, and answers the first report read of each
    /// engine.
    void acquire_ownership(
        std::uint64_t fence, std::vector<std::string> held_models = {})
    {
        this->controller.tenure_changed(
            placement_tenure{fence, this->clock.time + 1s});
        this->answer_reports(std::move(held_models));
    }

    /// Answers one report read per engine.
    void answer_reports(const std::vector<std::string>& held_models)
    {
        for (std::size_t i = this->view.servers().size(); i > 0; --i)
            this->answer_report(held_models);
    }

    void answer_report(
        const std::vector<std::string>& held_models,
        std::uint64_t orders_taken = 0)
    {
        holdings_report report;
        report.orders_taken = orders_taken;
        for (const std::string& model : held_models)
            report.holdings.resident.push_back({model, {}});
        report.holdings.on_disk = {"m0", "m1", "m2", "m3"};
        this->next_report().done(report);
    }

    /// Fails the next report read.
    void fail_report()
    {
        this->next_report().done(std::nullopt);
    }

    /// Reports that requests wait for a model on this router.
    void report_demand(const std::string& model)
    {
        router_report message = this->make_router_report();
        message.needs = {{servable_key("llm", model), 1, 2'000'000, 9'000'000}};
        this->controller.handle_router_report(message);
    }

    /// Reports that this router couldn't reach an engine.
    void report_unreachable(const std::string& engine)
    {
        router_report message = this->make_router_report();
        message.unreachable_engines = {engine};
        this->controller.handle_router_report(message);
    }

    /// Runs the event loop until an order is sent.
    queued_commands::command next_command()
    {
        this->run_until(
            [this]
            {
                return !this->commands.commands.empty();
            });
        queued_commands::command next =
            std::move(this->commands.commands.front());
        this->commands.commands.pop_front();
        return next;
    }

    /// Runs the event loop until a report read is requested.
    queued_commands::report next_report()
    {
        this->run_until(
            [this]
            {
                return !this->commands.reports.empty();
            });
        queued_commands::report next =
            std::move(this->commands.reports.front());
        this->commands.reports.pop_front();
        return next;
    }

    /// Runs the given number of handlers of the event loop, each of them a
    /// timer of the controller.
    void run_handlers(int count)
    {
        for (; count > 0; --count)
            this->loop.run_one();
    }

    std::size_t orders_sent() const
    {
        return this->commands.commands.size();
    }

    manual_clock clock;
    events::null_event_sink sink;
    queued_commands commands;
    serving_view view{serving_view::options()};
    boost::asio::io_context loop;
    std::vector<owner_announcement> announcements;
    placement_controller controller;

private:
    void run_until(const std::function<bool()>& reached)
    {
        while (!reached())
        {
            this->clock.time += 20ms;
            if (this->loop.run_one() == 0)
                this->loop.restart();
        }
    }

    router_report make_router_report()
    {
        router_report message;
        message.router = "r1";
        message.sequence = ++this->sequence;
        return message;
    }

    static std::shared_ptr<const deployment> make_deployment()
    {
        auto made = std::make_shared<deployment>();
        made->version = 1;
        service_profile& llm = made->services.emplace_back();
        llm.name = "llm";
        engine_profile& engine = llm.engine.emplace();
        engine.slots = 24;
        engine.memory_mb = 200'000;
        engine.host_memory_mb = 130'000;
        engine.adapter_slots = 2;
        engine.store_loads_per_second = 15;
        for (const char* name : {"m0", "m1", "m2", "m3"})
        {
            model_profile& model = engine.models.emplace_back();
            model.name = name;
            model.memory_mb = 65'000;
            model.load_from_store = 6s;
            model.load_from_disk = 780ms;
            model.load_from_memory = 600ms;
        }
        return made;
    }

    static server_entry make_entry(std::string id)
    {
        server_entry entry;
        entry.id = std::move(id);
        entry.service = "llm";
        entry.address = "10.0.0.1:80";
        entry.data_centre = "a";
        entry.slots = 24;
        return entry;
    }

    std::uint64_t sequence = 0;
};

} // namespace roseworks::app::tests

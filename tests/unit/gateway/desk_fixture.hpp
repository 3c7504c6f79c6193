#pragma once

#include "adapters/events/null_event_sink.hpp"
#include "app/gateway/placement_desk.hpp"
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

/// Time that a test moves; timers of the loop go by the machine's clock, and
/// what they call looks at this one.
class moved_clock final : public clock_port
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

/// Keeps what was asked for until the test answers it.
class held_commands final : public engine_command_port
{
public:
    struct command
    {
        engine_command what;
        std::function<bool()> allowed;
        command_done done;
    };

    struct report
    {
        std::string engine;
        report_done done;
    };

    void send_command(
        const engine_command& what,
        std::function<bool()> allowed,
        command_done done) override
    {
        this->commands.push_back({what, std::move(allowed), std::move(done)});
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

/// The desk over engines `e1`, `e2`, ... of a service `llm` with the models
/// `m0` to `m3`, each of them on the disk of each engine.
class desk_fixture
{
public:
    explicit desk_fixture(
        std::size_t engines = 2,
        placement_desk::options settings = placement_desk::options())
        : desk(
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
                  const owner_announcement& word, std::span<const std::string>)
              {
                  this->told.push_back(word);
              })
    {
        this->view.deployment_read(make_deployment());
        for (std::size_t i = 1; i <= engines; ++i)
            this->view.entry_read(make_entry("e" + std::to_string(i)));
        this->desk.configured(this->view.config());
    }

    /// This router owns placement, and has read what all engines hold.
    void own(std::uint64_t fence, std::vector<std::string> held = {})
    {
        this->desk.tenure_changed(
            placement_tenure{fence, this->clock.time + 1s});
        this->answer_reports(std::move(held));
    }

    /// Answers the first report of each engine.
    void answer_reports(const std::vector<std::string>& held)
    {
        for (std::size_t i = this->view.servers().size(); i > 0; --i)
            this->answer_report(held);
    }

    void answer_report(
        const std::vector<std::string>& held, std::uint64_t orders_taken = 0)
    {
        holdings_report report;
        report.orders_taken = orders_taken;
        for (const std::string& model : held)
            report.holdings.resident.push_back({model, {}});
        report.holdings.on_disk = {"m0", "m1", "m2", "m3"};
        this->next_report().done(report);
    }

    void no_report()
    {
        this->next_report().done(std::nullopt);
    }

    /// Requests wait here for a model.
    void need(const std::string& model)
    {
        router_report word = this->make_word();
        word.needs = {{servable_key("llm", model), 1, 2'000'000, 9'000'000}};
        this->desk.word_heard(word);
    }

    void unreached(const std::string& engine)
    {
        router_report word = this->make_word();
        word.unreachable_engines = {engine};
        this->desk.word_heard(word);
    }

    /// Runs the loop until an order was sent.
    held_commands::command next_command()
    {
        this->run_until(
            [this]
            {
                return !this->commands.commands.empty();
            });
        held_commands::command next =
            std::move(this->commands.commands.front());
        this->commands.commands.pop_front();
        return next;
    }

    held_commands::report next_report()
    {
        this->run_until(
            [this]
            {
                return !this->commands.reports.empty();
            });
        held_commands::report next = std::move(this->commands.reports.front());
        this->commands.reports.pop_front();
        return next;
    }

    /// Handles so many events of the loop, each a timer of the desk.
    void run_events(int count)
    {
        for (; count > 0; --count)
            this->loop.run_one();
    }

    std::size_t orders_sent() const
    {
        return this->commands.commands.size();
    }

    moved_clock clock;
    events::null_event_sink sink;
    held_commands commands;
    serving_view view{serving_view::options()};
    boost::asio::io_context loop;
    std::vector<owner_announcement> told;
    placement_desk desk;

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

    router_report make_word()
    {
        router_report word;
        word.router = "r1";
        word.sequence = ++this->sequence;
        return word;
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

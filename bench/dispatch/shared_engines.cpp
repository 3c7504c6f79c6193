#include "shared_engines.hpp"

#include "core/routing/sharded_table.hpp"

#include <roseworks/dispatcher.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace roseworks::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr duration first_byte = 10ms;
constexpr duration service = 160ms;
constexpr duration report_lag = 5ms;
constexpr std::array<duration, 3> time_limits{500ms, 2s, 6s};
constexpr std::array<double, 3> class_shares{0.1, 0.3, 0.6};
constexpr instant start_time{1h};
constexpr std::uint32_t caller_count = 8;

/// A call and its progress.
struct call
{
    enum class stage : std::uint8_t
    {
        waiting, ///< in its router's queue
        queued,  ///< in an engine's own queue
        running,
        ended
    };

    instant at;
    priority level = priority::normal;
    std::size_t router = 0;
    std::uint32_t caller = 0;
    duration length = service;
    stage now = stage::waiting;
    ticket id;
    std::size_t engine = 0;
    instant sent;
    instant started;

    instant deadline() const
    {
        return this->at + time_limits[static_cast<std::size_t>(this->level)];
    }
};

/// An engine's slots and its own queue.
struct engine
{
    std::uint32_t running = 0;
    std::set<std::pair<priority, std::size_t>> queue; ///< by priority
};

routing_table_ptr make_table(const shared_engines_setup& setup)
{
    detail::sharded_table table;
    servable_routes entry;
    entry.id = servable_id(1);
    entry.name = "model";
    entry.max_streams = setup.slots;
    entry.max_replicas = static_cast<std::uint16_t>(setup.engines);
    for (std::uint32_t i = 1; i <= setup.engines; ++i)
    {
        const std::string number = std::to_string(i);
        entry.ready.push_back(
            {replica_id(i),
             engine_id(i),
             "10.0.0." + number + ":80",
             "here",
             "vm" + number});
    }
    table.put(std::move(entry));
    caller_spec spec;
    spec.highest = priority::urgent;
    for (std::uint32_t i = 0; i < caller_count; ++i)
    {
        table.put_caller("caller" + std::to_string(i), spec);
    }
    return table.publish();
}

/// Simulates the events between routers, engines and calls.
class simulation
{
public:
    explicit simulation(const shared_engines_setup& experiment)
        : setup(experiment)
        , engine_states(experiment.engines)
        , indices(experiment.routers)
        , timely(experiment.routers)
    {
        this->make_routers();
        this->make_calls();
        this->plan_reports();
    }

    shared_engines_result run()
    {
        while (!this->events.empty())
        {
            const instant next = this->events.begin()->first.first;
            if (this->tick_before(next))
            {
                continue;
            }
            const auto step = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            this->now = next;
            step();
        }
        return this->result();
    }

private:
    void at(instant when, std::function<void()> step)
    {
        this->events.emplace(
            std::pair(when, ++this->event_count), std::move(step));
    }

    void make_routers()
    {
        for (std::size_t i = 0; i < this->setup.routers; ++i)
        {
            dispatcher::options settings;
            settings.data_centre = "here";
            settings.seed = this->setup.seed + i;
            this->routers.emplace_back(settings);
            this->routers.back().table_changed(
                make_table(this->setup), start_time);
            this->routers.back().routers_alive(this->setup.routers, start_time);
        }
    }

    void make_calls()
    {
        const double slots = double(this->setup.engines) * this->setup.slots;
        std::mt19937_64 random(this->setup.seed);
        std::exponential_distribution<double> gap(
            this->setup.load * slots / double(service.count()));
        std::discrete_distribution<int> level(
            class_shares.begin(), class_shares.end());
        std::uniform_int_distribution<duration::rep> longer(
            -this->setup.spread.count(), this->setup.spread.count());
        const instant end = start_time + this->setup.length;
        instant when = start_time;
        while (true)
        {
            when += duration(static_cast<duration::rep>(gap(random)) + 1);
            call one;
            one.at = when;
            one.level = static_cast<priority>(level(random));
            one.caller = static_cast<std::uint32_t>(random() % caller_count);
            const std::size_t router = random() % this->setup.routers;
            one.router = when < this->counted_from() ? 0 : router;
            if (this->setup.spread > duration::zero())
            {
                one.length += duration(longer(random));
            }
            if (when >= end)
            {
                return;
            }
            const std::size_t index = this->calls.size();
            this->calls.push_back(one);
            this->at(
                when,
                [this, index]
                {
                    this->arrive(index);
                });
        }
    }

    void plan_reports()
    {
        for (std::size_t router = 0; router < this->setup.routers; ++router)
        {
            for (std::size_t i = 0; i < this->setup.engines; ++i)
            {
                const bool owns = i % this->setup.routers == router;
                const duration interval = owns ? this->setup.owner_interval
                                               : this->setup.other_interval;
                this->read_load(
                    router, i, start_time + 100ms * (i + 1), interval);
            }
        }
    }

    void
    read_load(std::size_t router, std::size_t which, instant when, duration gap)
    {
        if (when >= start_time + this->setup.length)
        {
            return;
        }
        this->at(
            when,
            [this, router, which, when, gap]
            {
                const engine& read = this->engine_states[which];
                load_report report;
                report.engine =
                    engine_id(static_cast<std::uint32_t>(which + 1));
                report.running = read.running;
                report.waiting = static_cast<std::uint32_t>(read.queue.size());
                this->waiting_sum += report.waiting;
                ++this->waiting_samples;
                this->at(
                    when + report_lag,
                    [this, router, report]
                    {
                        this->routers[router].load_reported(report, this->now);
                        this->process_commands(router);
                    });
                this->read_load(router, which, when + gap, gap);
            });
    }

    bool tick_before(instant next)
    {
        for (std::size_t i = 0; i < this->routers.size(); ++i)
        {
            const auto due = this->routers[i].next_tick();
            if (due && *due < next)
            {
                this->now = std::max(this->now, *due);
                this->routers[i].tick(this->now);
                this->process_commands(i);
                return true;
            }
        }
        return false;
    }

    void arrive(std::size_t index)
    {
        call& one = this->calls[index];
        request_info info;
        info.target = "model";
        info.caller = "caller" + std::to_string(one.caller);
        info.asked = one.level;
        info.deadline = one.deadline();
        one.id = this->routers[one.router].submit(std::move(info), this->now);
        this->indices[one.router].emplace(one.id, index);
        this->process_commands(one.router);
    }

    void process_commands(std::size_t router)
    {
        for (const dispatch_command& command :
             this->routers[router].take_commands())
        {
            if (const auto* granted = std::get_if<grant>(&command))
            {
                const std::size_t index =
                    this->indices[router].at(granted->request);
                this->send(index, granted->engine.value - 1);
            }
            else if (const auto* no = std::get_if<refusal>(&command))
            {
                this->refused(this->indices[router].at(no->request), *no);
            }
        }
    }

    void send(std::size_t index, std::size_t which)
    {
        call& one = this->calls[index];
        one.engine = which;
        one.sent = this->now;
        engine& there = this->engine_states[which];
        there.queue.emplace(one.level, index);
        one.now = call::stage::queued;
        this->start_next(which);
        this->at(
            one.deadline(),
            [this, index]
            {
                this->cancel_at_deadline(index);
            });
    }

    void start_next(std::size_t which)
    {
        engine& there = this->engine_states[which];
        while (there.running < this->setup.slots && !there.queue.empty())
        {
            const std::size_t index = there.queue.begin()->second;
            there.queue.erase(there.queue.begin());
            ++there.running;
            call& one = this->calls[index];
            one.now = call::stage::running;
            one.started = this->now;
            this->at(
                this->now + one.length,
                [this, index]
                {
                    this->answer(index);
                });
        }
    }

    void answer(std::size_t index)
    {
        call& one = this->calls[index];
        if (one.now != call::stage::running)
        {
            return;
        }
        this->record_answer(one);
        this->end(one, attempt_result::end::answered);
    }

    /// Cancels the call if it is still at its engine at its deadline.
    void cancel_at_deadline(std::size_t index)
    {
        call& one = this->calls[index];
        if (one.now == call::stage::ended)
        {
            return;
        }
        this->cut_count += this->counts(one) ? 1 : 0;
        this->engine_states[one.engine].queue.erase({one.level, index});
        this->end(one, attempt_result::end::no_progress);
    }

    void end(call& one, attempt_result::end how)
    {
        attempt_result result;
        const bool ran = one.now == call::stage::running;
        const instant byte = one.started + first_byte;
        result.how = how;
        result.answer_started = ran && byte <= this->now;
        result.tokens = result.answer_started ? 16 : 0;
        result.total = this->now - one.sent;
        result.first_byte =
            result.answer_started ? byte - one.sent : duration::zero();
        this->engine_states[one.engine].running -= ran ? 1 : 0;
        one.now = call::stage::ended;
        this->routers[one.router].finished(one.id, result, this->now);
        this->start_next(one.engine);
        this->process_commands(one.router);
    }

    void refused(std::size_t index, const refusal& no)
    {
        call& one = this->calls[index];
        one.now = call::stage::ended;
        if (!this->counts(one))
        {
            return;
        }
        this->refused_late_count += this->now > one.deadline() ? 1 : 0;
        this->cut_count += no.outcome == verdict::not_run ? 0 : 1;
        this->urgent_refusals += one.level == priority::urgent ? 1 : 0;
    }

    void record_answer(const call& one)
    {
        if (!this->counts(one))
        {
            return;
        }
        const auto level = static_cast<std::size_t>(one.level);
        ++this->timely[one.router][level];
        if (one.level == priority::urgent)
        {
            this->urgent_latencies.push_back(one.started + first_byte - one.at);
        }
    }

    instant counted_from() const
    {
        const auto part = this->setup.head_start *
                          static_cast<double>(this->setup.length.count());
        return start_time + duration(static_cast<duration::rep>(part));
    }

    bool counts(const call& one) const
    {
        return one.at >= this->counted_from();
    }

    shared_engines_result result()
    {
        shared_engines_result out;
        const duration counted =
            start_time + this->setup.length - this->counted_from();
        double all = 0;
        double urgent_timely = 0;
        double urgent_asked = 0;
        out.least_urgent_timely = 1;
        for (std::size_t i = 0; i < this->setup.routers; ++i)
        {
            const auto& good = this->timely[i];
            const double urgent_here = this->urgent_count(i);
            all += good[0] + good[1] + good[2];
            urgent_timely += good[0];
            urgent_asked += urgent_here;
            out.least_urgent_timely =
                std::min(out.least_urgent_timely, good[0] / urgent_here);
        }
        out.goodput = all / std::chrono::duration<double>(counted).count();
        out.urgent_timely = urgent_timely / urgent_asked;
        out.urgent_refused = this->urgent_refusals;
        out.cut = this->cut_count;
        out.refused_late = this->refused_late_count;
        out.engine_waiting =
            this->waiting_sum / std::max(1.0, this->waiting_samples);
        if (!this->urgent_latencies.empty())
        {
            std::sort(
                this->urgent_latencies.begin(), this->urgent_latencies.end());
            const duration p99 = this->urgent_latencies
                                     [this->urgent_latencies.size() * 99 / 100];
            out.urgent_p99_ms = static_cast<double>(p99.count()) / 1000;
        }
        return out;
    }

    double urgent_count(std::size_t router) const
    {
        const auto count = std::ranges::count_if(
            this->calls,
            [&](const call& one)
            {
                return one.router == router && one.level == priority::urgent &&
                       this->counts(one);
            });
        return std::max(1.0, static_cast<double>(count));
    }

    shared_engines_setup setup;
    std::vector<dispatcher> routers;
    std::vector<engine> engine_states;
    std::vector<call> calls;
    std::vector<std::map<ticket, std::size_t>> indices;
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> events;
    std::uint64_t event_count = 0;
    instant now = start_time;

    std::vector<std::array<double, 3>> timely;
    std::vector<duration> urgent_latencies;
    std::size_t urgent_refusals = 0;
    std::size_t cut_count = 0;
    std::size_t refused_late_count = 0;
    double waiting_sum = 0;
    double waiting_samples = 0;
};

} // namespace

shared_engines_result run_shared_engines(const shared_engines_setup& setup)
{
    simulation fleet(setup);
    return fleet.run();
}

} // namespace roseworks::bench

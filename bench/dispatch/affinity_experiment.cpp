#include "affinity_experiment.hpp"

#include "affinity_calls.hpp"
#include "affinity_engine.hpp"
#include "core/routing/sharded_table.hpp"

#include <roseworks/dispatcher.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace roseworks::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t router_count = 4;
constexpr std::size_t engine_count = 8;
constexpr instant start{1h};
constexpr instant measured_from = start + 2min;
constexpr instant end = start + 10min;
constexpr duration prefill_uncached = 400ms;
constexpr duration prefill_cached = 60ms;
constexpr duration event_lag = 1s;
constexpr duration own_read_interval = 2s;
constexpr duration other_read_interval = 10s;
constexpr duration frequent_read_interval = 500ms;
constexpr duration request_timeout = 60s;

// Schedule of the runs with churn.
constexpr std::size_t leaving_engine = 7;
constexpr std::size_t restarted_engine = 2;
constexpr instant leaves_at = start + 4min;
constexpr instant returns_at = start + 6min;
constexpr instant restarts_at = start + 8min;

/// How far a router has read the events of an engine.
struct reader
{
    std::uint64_t incarnation = 0;
    std::uint64_t next = 0;            ///< next sequence number of the engine
    std::uint64_t renumbered_next = 0; ///< the same, renumbered without gaps
};

struct router
{
    explicit router(dispatcher::options settings)
        : core(std::move(settings))
    {
    }

    dispatcher core;
    std::unordered_map<ticket, std::size_t> calls;
    std::array<reader, engine_count> readers;
};

struct step
{
    enum class kind
    {
        arrival,
        completion,
        read,
        tick,
        leave,
        come_back,
        restart
    };

    instant at;
    std::uint64_t number = 0;
    kind what = kind::arrival;
    std::size_t index = 0;  ///< index of the call or router
    std::size_t engine = 0; ///< index of the engine, for a read

    bool operator>(const step& other) const
    {
        return std::tie(this->at, this->number) >
               std::tie(other.at, other.number);
    }
};

routing_table_ptr make_table(std::optional<std::size_t> absent)
{
    detail::sharded_table table;
    servable_routes entry;
    entry.id = servable_id(1);
    entry.name = "model";
    entry.max_streams = affinity_streams;
    entry.max_replicas = engine_count;
    for (std::size_t i = 0; i < engine_count; ++i)
    {
        if (absent == i)
        {
            continue;
        }
        const std::string number = std::to_string(i + 1);
        entry.ready.push_back(
            {replica_id(i + 1),
             engine_id(i + 1),
             "10.0.0." + number + ":80",
             "here",
             "vm" + number});
    }
    table.put(std::move(entry));
    return table.publish();
}

prefix_affinity mode_of(affinity_kind kind)
{
    switch (kind)
    {
    case affinity_kind::random:
    case affinity_kind::two_choices:
        return prefix_affinity::none;
    case affinity_kind::rendezvous:
        return prefix_affinity::rendezvous;
    default:
        return prefix_affinity::cache_events;
    }
}

class experiment
{
public:
    explicit experiment(const affinity_setting& wanted)
        : setting(wanted)
        , random(wanted.seed)
    {
        this->make_calls();
        for (std::size_t i = 0; i < router_count; ++i)
        {
            dispatcher::options options;
            options.data_centre = "here";
            options.affinity = mode_of(this->setting.kind);
            options.seed = this->setting.seed * 100 + i;
            this->routers.emplace_back(options);
            this->push({start, 0, step::kind::tick, i, 0});
            for (std::size_t e = 0; e < engine_count; ++e)
            {
                const duration offset =
                    37ms * static_cast<int>(i) + 11ms * static_cast<int>(e);
                this->push({start + offset, 0, step::kind::read, i, e});
            }
        }
        for (std::size_t e = 0; e < engine_count; ++e)
        {
            this->engines[e].random.seed(this->setting.seed * 1000 + e);
            this->engines[e].is_lossless =
                this->setting.kind == affinity_kind::cache_events_whole;
        }
        if (this->setting.churn)
        {
            this->push({leaves_at, 0, step::kind::leave, 0, 0});
            this->push({returns_at, 0, step::kind::come_back, 0, 0});
            this->push({restarts_at, 0, step::kind::restart, 0, 0});
        }
        this->change_table(std::nullopt);
    }

    affinity_result run()
    {
        while (!this->steps.empty())
        {
            const step next = this->steps.top();
            this->steps.pop();
            this->now = next.at;
            this->process(next);
        }
        return this->result();
    }

private:
    void make_calls()
    {
        this->calls = make_affinity_calls(
            this->setting.rate, start, end, router_count, this->random);
        for (std::size_t i = 0; i < this->calls.size(); ++i)
        {
            this->push({this->calls[i].at, 0, step::kind::arrival, i, 0});
        }
    }

    void push(step next)
    {
        next.number = ++this->step_number;
        this->steps.push(next);
    }

    void process(const step& next)
    {
        switch (next.what)
        {
        case step::kind::arrival:
            this->arrive(next.index);
            return;
        case step::kind::completion:
            this->complete(next.index);
            return;
        case step::kind::read:
            this->read(next.index, next.engine);
            return;
        case step::kind::tick:
            this->tick(next.index);
            return;
        case step::kind::leave:
            this->change_table(leaving_engine);
            return;
        case step::kind::come_back:
            this->engines[leaving_engine].restart();
            this->change_table(std::nullopt);
            return;
        case step::kind::restart:
            this->engines[restarted_engine].restart();
            return;
        }
    }

    void change_table(std::optional<std::size_t> absent)
    {
        this->absent_engine = absent;
        const routing_table_ptr table = make_table(absent);
        for (std::size_t i = 0; i < router_count; ++i)
        {
            this->routers[i].core.routers_alive(router_count, this->now);
            this->routers[i].core.table_changed(table, this->now);
            this->process_commands(i);
        }
    }

    void arrive(std::size_t index)
    {
        affinity_call& one = this->calls[index];
        if (this->setting.kind == affinity_kind::random)
        {
            do
            {
                one.engine = this->random() % engine_count;
            } while (one.engine == this->absent_engine);
            this->enqueue(index);
            return;
        }
        request_info info;
        info.target = "model";
        info.deadline = one.at + request_timeout;
        info.prefix = one.prefix;
        router& via = this->routers[one.router];
        one.id = via.core.submit(std::move(info), this->now);
        via.calls.emplace(one.id, index);
        this->process_commands(one.router);
    }

    void process_commands(std::size_t index)
    {
        router& via = this->routers[index];
        for (const dispatch_command& command : via.core.take_commands())
        {
            if (const auto* granted_call = std::get_if<grant>(&command))
            {
                const std::size_t call_index =
                    via.calls.at(granted_call->request);
                this->calls[call_index].engine = granted_call->engine.value - 1;
                this->enqueue(call_index);
            }
            else if (const auto* no = std::get_if<refusal>(&command))
            {
                via.calls.erase(no->request);
                ++this->refused;
            }
        }
    }

    void enqueue(std::size_t index)
    {
        this->calls[index].sent = this->now;
        affinity_engine& at = this->engines[this->calls[index].engine];
        at.queue.push_back(index);
        this->serve(at);
    }

    void serve(affinity_engine& at)
    {
        while (at.has_slot() && !at.queue.empty())
        {
            const std::size_t index = at.queue.front();
            at.queue.pop_front();
            ++at.running;
            affinity_call& one = this->calls[index];
            const bool hit = at.use(one.prefix, this->now);
            const instant first =
                this->now + (hit ? prefill_cached : prefill_uncached);
            one.first_byte = first - one.sent;
            this->push(
                {first + one.decode, 0, step::kind::completion, index, 0});
            if (one.at >= measured_from)
            {
                this->hits += hit ? 1 : 0;
                this->latencies.push_back(first - one.at);
            }
        }
    }

    void complete(std::size_t index)
    {
        const affinity_call& one = this->calls[index];
        affinity_engine& at = this->engines[one.engine];
        --at.running;
        this->serve(at);
        if (this->setting.kind == affinity_kind::random)
        {
            return;
        }
        attempt_result result;
        result.first_byte = one.first_byte;
        result.total = this->now - one.sent;
        this->routers[one.router].core.finished(one.id, result, this->now);
        this->routers[one.router].calls.erase(one.id);
        this->process_commands(one.router);
    }

    void read(std::size_t index, std::size_t at)
    {
        const affinity_engine& from = this->engines[at];
        router& via = this->routers[index];
        const engine_id id(at + 1);
        via.core.load_reported(
            {id, from.running, static_cast<std::uint32_t>(from.queue.size())},
            this->now);
        this->process_commands(index);
        via.core.cache_reported(this->read_events(via, at), this->now);

        duration interval = at % router_count == index ? own_read_interval
                                                       : other_read_interval;
        if (this->setting.frequent_reads)
        {
            interval = frequent_read_interval;
        }
        if (this->now + interval < end)
        {
            this->push({this->now + interval, 0, step::kind::read, index, at});
        }
    }

    cache_report read_events(router& via, std::size_t at)
    {
        const affinity_engine& from = this->engines[at];
        reader& place = via.readers[at];
        if (place.incarnation != from.incarnation)
        {
            place = {from.incarnation, 0, 0};
        }
        const bool whole =
            this->setting.kind == affinity_kind::cache_events_whole;
        const instant visible = whole ? this->now : this->now - event_lag;
        cache_report report = from.read(place.next, visible);
        report.engine = engine_id(at + 1);
        place.next = report.next;
        if (this->setting.kind == affinity_kind::cache_events_kept)
        {
            this->renumber(report, place);
        }
        return report;
    }

    /// Renumbers the events of the report without gaps.
    static void renumber(cache_report& report, reader& place)
    {
        report.from = place.renumbered_next;
        place.renumbered_next =
            std::max<std::uint64_t>(place.renumbered_next, 1);
        for (cache_event& one : report.events)
        {
            one.sequence = place.renumbered_next++;
        }
        report.next = place.renumbered_next;
    }

    void tick(std::size_t index)
    {
        this->routers[index].core.tick(this->now);
        this->process_commands(index);
        if (this->now < end + request_timeout)
        {
            this->push({this->now + 50ms, 0, step::kind::tick, index, 0});
        }
    }

    affinity_result result()
    {
        std::sort(this->latencies.begin(), this->latencies.end());
        const auto quantile = [this](std::size_t percent)
        {
            const std::size_t at = this->latencies.size() * percent / 100;
            return static_cast<double>(this->latencies[at].count()) / 1000;
        };
        affinity_result out;
        out.hits = this->hits / static_cast<double>(this->latencies.size());
        out.p99_ms = quantile(99);
        out.p50_ms = quantile(50);
        out.refused = this->refused;
        return out;
    }

    affinity_setting setting;
    std::mt19937_64 random;
    std::vector<affinity_call> calls;
    std::vector<router> routers;
    std::array<affinity_engine, engine_count> engines;
    std::optional<std::size_t> absent_engine;
    std::priority_queue<step, std::vector<step>, std::greater<>> steps;
    std::uint64_t step_number = 0;
    instant now = start;
    double hits = 0;
    double refused = 0;
    std::vector<duration> latencies;
};

} // namespace

affinity_result run_affinity(const affinity_setting& setting)
{
    return experiment(setting).run();
}

} // namespace roseworks::bench

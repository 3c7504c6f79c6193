#include "overload_experiment.hpp"

#include "core/routing/sharded_table.hpp"

#include <roseworks/dispatcher.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace roseworks::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t replicas = 4;
constexpr std::uint16_t streams = 4;
constexpr std::size_t slots = std::size_t(replicas) * streams;
constexpr std::size_t max_queue_length = 1000;
constexpr duration run_time = 10min;
constexpr double mean_service_us = 200'000;
constexpr std::array<duration, 3> time_to_first_byte_limit{2s, 10s, 60s};
constexpr std::array<double, 3> class_shares{0.1, 0.3, 0.6};

struct arrival
{
    instant at;
    priority level = priority::normal;
    duration service{};
    std::uint32_t caller = 0;

    instant deadline() const
    {
        return this->at +
               time_to_first_byte_limit[static_cast<std::size_t>(this->level)];
    }
};

struct completion
{
    instant at;
    std::size_t index = 0;
    ticket id;

    bool operator>(const completion& other) const
    {
        return std::tie(this->at, this->index) >
               std::tie(other.at, other.index);
    }
};

using completions =
    std::priority_queue<completion, std::vector<completion>, std::greater<>>;

std::vector<arrival> make_arrivals(double load, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const double rate = load * slots / mean_service_us;
    std::exponential_distribution<double> gap(rate);
    std::exponential_distribution<double> service(1 / mean_service_us);
    std::discrete_distribution<int> level(
        class_shares.begin(), class_shares.end());
    std::vector<arrival> all;
    instant at{1h};
    while (at < instant{1h} + run_time)
    {
        at += duration(static_cast<duration::rep>(gap(random)) + 1);
        arrival one;
        one.at = at;
        one.level = static_cast<priority>(level(random));
        one.service =
            duration(static_cast<duration::rep>(service(random)) + 1000);
        one.caller = static_cast<std::uint32_t>(random() % 8);
        all.push_back(one);
    }
    return all;
}

/// Counts the outcomes of requests.
class outcome_counter
{
public:
    explicit outcome_counter(const std::vector<arrival>& all)
        : arrivals(all)
    {
    }

    void started(std::size_t index, instant now)
    {
        const arrival& one = this->arrivals[index];
        const instant first_byte = now + one.service / 4;
        const auto level = static_cast<std::size_t>(one.level);
        if (first_byte <= one.deadline())
        {
            ++this->timely[level];
        }
        if (one.level == priority::urgent)
        {
            this->urgent.push_back(first_byte - one.at);
        }
    }

    void refused(std::size_t index, instant now)
    {
        this->refusals += now <= this->arrivals[index].deadline() ? 1 : 0;
    }

    overload_result result()
    {
        std::array<double, 3> requested{};
        for (const arrival& one : this->arrivals)
        {
            ++requested[static_cast<std::size_t>(one.level)];
        }
        overload_result out;
        const double all = this->timely[0] + this->timely[1] + this->timely[2];
        out.goodput = all / std::chrono::duration<double>(run_time).count();
        out.urgent_timely = this->timely[0] / requested[0];
        out.normal_timely = this->timely[1] / requested[1];
        out.batch_timely = this->timely[2] / requested[2];
        out.refused =
            this->refusals / static_cast<double>(this->arrivals.size());
        if (!this->urgent.empty())
        {
            std::sort(this->urgent.begin(), this->urgent.end());
            const std::size_t at = this->urgent.size() * 99 / 100;
            out.urgent_p99_ms =
                static_cast<double>(this->urgent[at].count()) / 1000;
        }
        return out;
    }

private:
    const std::vector<arrival>& arrivals;
    std::array<double, 3> timely{};
    double refusals = 0;
    std::vector<duration> urgent;
};

overload_result run_fcfs(const std::vector<arrival>& arrivals)
{
    outcome_counter outcomes(arrivals);
    std::deque<std::size_t> queue;
    completions running;
    std::size_t next = 0;
    while (next < arrivals.size() || !running.empty())
    {
        const bool arrives =
            next < arrivals.size() &&
            (running.empty() || arrivals[next].at <= running.top().at);
        const instant now = arrives ? arrivals[next].at : running.top().at;
        if (!arrives)
        {
            running.pop();
        }
        else if (queue.size() < max_queue_length)
        {
            queue.push_back(next++);
        }
        else
        {
            outcomes.refused(next++, now);
        }
        while (!queue.empty() && running.size() < slots)
        {
            const std::size_t index = queue.front();
            queue.pop_front();
            outcomes.started(index, now);
            running.push({now + arrivals[index].service, index, {}});
        }
    }
    return outcomes.result();
}

routing_table_ptr make_table()
{
    detail::sharded_table table;
    servable_routes entry;
    entry.id = servable_id(1);
    entry.name = "model";
    entry.max_streams = streams;
    entry.max_replicas = replicas;
    for (std::uint32_t i = 1; i <= replicas; ++i)
    {
        entry.ready.push_back(
            {replica_id(i),
             engine_id(i),
             "10.0.0." + std::to_string(i) + ":80",
             "here",
             "vm" + std::to_string(i)});
    }
    table.put(std::move(entry));
    caller_spec spec;
    spec.highest = priority::urgent;
    for (std::uint32_t i = 0; i < 8; ++i)
    {
        table.put_caller("caller" + std::to_string(i), spec);
    }
    return table.publish();
}

overload_result run_dispatcher(const std::vector<arrival>& arrivals)
{
    dispatcher::options settings;
    settings.max_queued_per_target = max_queue_length;
    settings.data_centre = "here";
    dispatcher core(settings);
    core.table_changed(make_table(), instant{1h});

    outcome_counter outcomes(arrivals);
    std::unordered_map<ticket, std::size_t> indices;
    completions running;
    std::size_t next = 0;
    const auto process_commands = [&](instant now)
    {
        for (const dispatch_command& command : core.take_commands())
        {
            if (const auto* granted = std::get_if<grant>(&command))
            {
                const std::size_t index = indices.at(granted->request);
                outcomes.started(index, now);
                running.push(
                    {now + arrivals[index].service, index, granted->request});
            }
            else if (const auto* refused = std::get_if<refusal>(&command))
            {
                outcomes.refused(indices.at(refused->request), now);
            }
        }
    };

    while (next < arrivals.size() || !running.empty())
    {
        instant now = instant::max();
        if (next < arrivals.size())
        {
            now = arrivals[next].at;
        }
        if (!running.empty())
        {
            now = std::min(now, running.top().at);
        }
        if (const auto due = core.next_tick(); due && *due < now)
        {
            core.tick(*due);
            process_commands(*due);
            continue;
        }
        if (!running.empty() && running.top().at == now)
        {
            const completion done = running.top();
            running.pop();
            attempt_result result;
            result.total = arrivals[done.index].service;
            result.first_byte = result.total / 4;
            core.finished(done.id, result, now);
        }
        else
        {
            const arrival& one = arrivals[next];
            request_info info;
            info.target = "model";
            info.caller = "caller" + std::to_string(one.caller);
            info.asked = one.level;
            info.deadline = one.deadline();
            indices[core.submit(std::move(info), now)] = next++;
        }
        process_commands(now);
    }
    return outcomes.result();
}

} // namespace

overload_result run_overload(discipline kind, double load, std::uint64_t seed)
{
    const std::vector<arrival> arrivals = make_arrivals(load, seed);
    return kind == discipline::fcfs ? run_fcfs(arrivals)
                                    : run_dispatcher(arrivals);
}

} // namespace roseworks::bench

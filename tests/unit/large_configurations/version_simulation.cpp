#include "version_simulation.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace roseworks::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr double store_bytes_per_second = 500e6;
constexpr double strong_link_bytes_per_second = 200e6 / 8;
constexpr double weak_link_bytes_per_second = 10e6 / 8;
constexpr double listing_overhead = 4.0 / 3; ///< base64
constexpr std::size_t weak_each = 3;         ///< one of so many is weak
constexpr duration store_answer_time = 4ms;
constexpr duration one_way = 1ms;
constexpr duration retry_interval = 50ms;
constexpr duration connect_timeout = 250ms;
constexpr std::size_t max_announced_bytes = 700;

duration seconds(double length)
{
    constexpr double micros = 1e6;
    return duration(static_cast<duration::rep>(length * micros));
}

} // namespace

version_simulation::version_simulation(options config)
    : settings(config)
    , random(config.seed)
    , routers(config.routers)
{
    std::vector<copy_source> all;
    for (std::size_t i = 0; i < this->routers.size(); ++i)
    {
        const bool is_weak = i % weak_each == weak_each - 1;
        const std::string name = std::to_string(i);
        router& one = this->routers[i];
        one.source = {
            name,
            name,
            is_weak ? 0.1 : 2.0,
            "dc" + std::to_string(i % this->settings.data_centres)};
        one.bytes_per_second =
            is_weak ? weak_link_bytes_per_second : strong_link_bytes_per_second;
        one.is_gone = i != 0 && i <= this->settings.gone;
        all.push_back(one.source);
    }
    for (router& one : this->routers)
    {
        copy_source_selector::options choice;
        choice.seed = this->random();
        one.choice = copy_source_selector(choice);
        one.choice.routers_listed(one.source, all);
        one.tree.routers_listed(one.source, all);
    }
}

version_simulation::outcome version_simulation::run()
{
    this->announced_at = this->queue.now() + store_answer_time;
    this->routers.front().has_version = true;
    ++this->result.store_reads;
    for (const duration delay : {0ms, 60ms, 200ms})
        this->announce(delay);
    this->queue.run_until(this->announced_at + 60s);
    for (const router& one : this->routers)
        this->result.busiest_link_bytes =
            std::max(this->result.busiest_link_bytes, one.sent);
    return this->result;
}

void version_simulation::announce(duration delay)
{
    std::bernoulli_distribution is_lost(this->settings.lost_announcements);
    const bool is_small = this->settings.change_bytes <= max_announced_bytes;
    for (std::size_t i = 1; i < this->routers.size(); ++i)
    {
        if (this->routers[i].is_gone || is_lost(this->random))
            continue;
        this->queue.schedule(
            this->announced_at + delay + one_way,
            [this, i, is_small, delay]
            {
                router& one = this->routers[i];
                const bool is_first = !one.is_behind && !one.has_version;
                one.is_behind = true;
                if (!is_first)
                    return;
                one.behind_since = this->queue.now();
                one.fetches.announced(this->routers.front().source.address);
                // Repeated announcements don't contain the change.
                if (is_small && delay == duration::zero())
                    this->received(i);
                else
                    this->fetch(i);
            });
    }
}

void version_simulation::fetch(std::size_t number)
{
    router& one = this->routers[number];
    if (one.has_version)
        return;
    const bool reads_store = one.fetches.may_read_store(
        one.behind_since, one.tree.rank(), this->queue.now());
    if (reads_store)
    {
        this->read_from_store(number);
        return;
    }
    const auto attempt =
        one.fetches.next(one.behind_since, one.tree, one.choice);
    if (!attempt)
        this->retry(number, retry_interval);
    else
        this->request(std::stoul(attempt->address), number, attempt->hold_time);
}

void version_simulation::request(
    std::size_t from, std::size_t to, duration hold_time)
{
    router& peer = this->routers[from];
    if (peer.is_gone)
        this->retry(to, connect_timeout);
    else if (peer.has_version)
        this->copy(from, to);
    else if (hold_time == duration::zero())
        this->retry(to, retry_interval);
    else
    {
        peer.held.push_back(to);
        this->queue.schedule(
            this->queue.now() + hold_time,
            [this, from, to]
            {
                if (std::erase(this->routers[from].held, to) != 0)
                    this->retry(to, retry_interval);
            });
    }
}

void version_simulation::retry(std::size_t number, duration delay)
{
    this->queue.schedule(
        this->queue.now() + delay,
        [this, number]
        {
            this->fetch(number);
        });
}

void version_simulation::read_from_store(std::size_t number)
{
    const double bytes =
        static_cast<double>(this->settings.record_bytes) * listing_overhead;
    ++this->result.store_reads;
    this->store_free =
        std::max(this->store_free, this->queue.now() + store_answer_time) +
        seconds(bytes / store_bytes_per_second);
    const instant arrives = std::max(
        this->store_free,
        this->queue.now() +
            seconds(bytes / this->routers[number].bytes_per_second));
    this->queue.schedule(
        arrives,
        [this, number]
        {
            this->received(number);
        });
}

void version_simulation::copy(std::size_t from, std::size_t to)
{
    router& source = this->routers[from];
    const auto bytes = static_cast<double>(
        std::min(this->settings.change_bytes, this->settings.record_bytes));
    const instant now = this->queue.now();
    source.sending_until = std::max(source.sending_until, now) +
                           seconds(bytes / source.bytes_per_second);
    source.sent += bytes;
    const instant arrives = std::max(
        source.sending_until,
        now + seconds(bytes / this->routers[to].bytes_per_second));
    this->queue.schedule(
        arrives + 3 * one_way, // to connect, and to request
        [this, to]
        {
            this->received(to);
        });
}

void version_simulation::received(std::size_t number)
{
    router& one = this->routers[number];
    if (std::exchange(one.has_version, true))
        return;
    this->result.last = std::max<duration>(
        this->result.last, this->queue.now() - this->announced_at);
    for (const std::size_t waiting : std::exchange(one.held, {}))
        this->copy(number, waiting);
}

} // namespace roseworks::testing

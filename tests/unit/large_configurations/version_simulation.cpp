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
constexpr duration retry_interval = 100ms;
constexpr duration copy_timeout = 800ms;

duration seconds(double length)
{
    constexpr double micros = 1e6;
    return duration(static_cast<duration::rep>(length * micros));
}

} // namespace

version_simulation::version_simulation(options config)
    : settings(config)
    , routers(config.routers)
{
    std::mt19937_64 random(this->settings.seed);
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
        all.push_back(one.source);
    }
    for (router& one : this->routers)
    {
        copy_source_selector::options choice;
        choice.seed = random();
        one.choice = copy_source_selector(choice);
        one.choice.routers_listed(one.source, all);
    }
}

version_simulation::outcome version_simulation::run()
{
    this->announced_at = this->queue.now() + store_answer_time;
    this->routers.front().has_version = true;
    ++this->result.store_reads;
    for (std::size_t i = 1; i < this->routers.size(); ++i)
        this->queue.schedule(
            this->announced_at + one_way,
            [this, i]
            {
                this->routers[i].behind_since = this->queue.now();
                this->fetch(i);
            });
    this->queue.run_until(this->announced_at + 60s);
    for (const router& one : this->routers)
        this->result.busiest_link_bytes =
            std::max(this->result.busiest_link_bytes, one.sent);
    return this->result;
}

void version_simulation::fetch(std::size_t number)
{
    router& one = this->routers[number];
    const bool asks = !one.choice.is_first_reader() &&
                      this->queue.now() - one.behind_since < copy_timeout;
    const auto source = asks ? one.choice.next() : std::nullopt;
    if (!source)
    {
        this->read_from_store(number);
        return;
    }
    const std::size_t from = std::stoul(*source);
    const router& peer = this->routers[from];
    const auto bytes = static_cast<double>(this->settings.record_bytes);
    const int most_at_once =
        peer.bytes_per_second < strong_link_bytes_per_second ? 1 : 8;
    const duration queued = peer.sending_until - this->queue.now();
    const bool is_busy =
        queued > seconds(bytes / peer.bytes_per_second) * (most_at_once - 1);
    if (peer.has_version && !is_busy)
        this->copy(from, number, bytes);
    else
        this->retry(number);
}

void version_simulation::retry(std::size_t number)
{
    this->queue.schedule(
        this->queue.now() + retry_interval,
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

void version_simulation::copy(std::size_t from, std::size_t to, double bytes)
{
    router& source = this->routers[from];
    const instant now = this->queue.now();
    source.sending_until = std::max(source.sending_until, now) +
                           seconds(bytes / source.bytes_per_second);
    source.sent += bytes;
    const instant arrives = std::max(
        source.sending_until,
        now + seconds(bytes / this->routers[to].bytes_per_second));
    this->queue.schedule(
        arrives + one_way,
        [this, to]
        {
            this->received(to);
        });
}

void version_simulation::received(std::size_t number)
{
    this->routers[number].has_version = true;
    this->result.last = std::max<duration>(
        this->result.last, this->queue.now() - this->announced_at);
}

} // namespace roseworks::testing

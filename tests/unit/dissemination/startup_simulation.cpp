#include "startup_simulation.hpp"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>

namespace roseworks::testing
{

namespace
{

constexpr double store_bytes_per_second = 80e6;
constexpr double strong_link_bytes_per_second = 200e6 / 8;
constexpr double weak_link_bytes_per_second = 10e6 / 8;
constexpr double listed_bytes_per_entry = 960; ///< an entry in a listing
constexpr double copied_bytes_per_entry = 200; ///< an entry in a router's copy
constexpr duration answer_time = std::chrono::milliseconds(4);
constexpr duration copy_pause = std::chrono::milliseconds(100);

duration seconds(double length)
{
    constexpr double micros = 1e6;
    return duration(static_cast<duration::rep>(length * micros));
}

copy_source source_record(std::size_t number, std::size_t strong)
{
    const std::string name = std::to_string(number);
    return {name, name, number < strong ? 2.0 : 0.1};
}

} // namespace

startup_simulation::startup_simulation(options chosen)
    : settings(chosen)
    , routers(chosen.routers)
{
    std::mt19937_64 random(this->settings.seed);
    std::uniform_int_distribution<duration::rep> start_offset(0, 300'000);
    std::vector<copy_source> all;
    for (std::size_t i = 0; i < this->settings.routers; ++i)
        all.push_back(source_record(i, this->settings.strong_routers));
    for (std::size_t i = 0; i < this->settings.routers; ++i)
    {
        router& one = this->routers[i];
        copy_source_selector::options choice = this->settings.choice;
        choice.seed = random();
        one.choice = copy_source_selector(choice);
        one.choice.routers_listed(all[i], all);
        one.started = instant(duration(start_offset(random)));
        one.bytes_per_second = i < this->settings.strong_routers
                                   ? strong_link_bytes_per_second
                                   : weak_link_bytes_per_second;
    }
}

startup_simulation::outcome startup_simulation::run()
{
    using event = std::pair<instant, std::size_t>;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    for (std::size_t i = this->settings.absent_routers;
         i < this->routers.size();
         ++i)
        events.emplace(this->routers[i].started, i);
    while (!events.empty())
    {
        const auto [now, number] = events.top();
        events.pop();
        const instant next = this->step(number, now);
        if (next != instant::max())
            events.emplace(next, number);
    }
    for (const router& one : this->routers)
    {
        if (one.known != instant::max())
            this->result.last =
                std::max<duration>(this->result.last, one.known - instant());
        this->result.busiest_link_bytes =
            std::max(this->result.busiest_link_bytes, one.sent);
    }
    return this->result;
}

instant startup_simulation::step(std::size_t number, instant now)
{
    router& one = this->routers[number];
    const bool asks = !one.choice.is_first_reader() &&
                      one.choice.awaits_copy(one.started, now);
    const auto source = asks ? one.choice.next() : std::nullopt;
    if (!source)
        return this->read_from_store(one, now);
    router& peer = this->routers[std::stoul(*source)];
    const duration queued = peer.link_free - now;
    const duration each = seconds(
        static_cast<double>(this->settings.servers) * copied_bytes_per_entry /
        peer.bytes_per_second);
    const int most_at_once =
        peer.bytes_per_second < strong_link_bytes_per_second ? 1 : 8;
    const bool is_busy = queued > each * (most_at_once - 1);
    if (peer.known > now || is_busy)
        return now + copy_pause;
    return this->copy_from(one, peer, now);
}

instant startup_simulation::read_from_store(router& one, instant now)
{
    const double bytes =
        static_cast<double>(this->settings.servers) * listed_bytes_per_entry;
    ++this->result.listings;
    this->result.store_bytes += bytes;
    this->store_free = std::max(this->store_free, now + answer_time) +
                       seconds(bytes / store_bytes_per_second);
    one.known =
        std::max(this->store_free, now + seconds(bytes / one.bytes_per_second));
    return instant::max();
}

instant startup_simulation::copy_from(router& one, router& peer, instant now)
{
    const double bytes =
        static_cast<double>(this->settings.servers) * copied_bytes_per_entry;
    peer.link_free =
        std::max(peer.link_free, now) + seconds(bytes / peer.bytes_per_second);
    peer.sent += bytes;
    one.known =
        std::max(peer.link_free, now + seconds(bytes / one.bytes_per_second));
    return instant::max();
}

} // namespace roseworks::testing

#include "start_fleet.hpp"

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

constexpr double store_bytes_a_second = 80e6;
constexpr double strong_link = 200e6 / 8;
constexpr double weak_link = 10e6 / 8;
constexpr double listed_bytes_each = 960; ///< of an entry, as the store lists
constexpr double copied_bytes_each = 200; ///< as routers write it
constexpr duration answer_time = std::chrono::milliseconds(4);
constexpr duration copy_pause = std::chrono::milliseconds(100);

duration seconds(double length)
{
    constexpr double micros = 1e6;
    return duration(static_cast<duration::rep>(length * micros));
}

copy_holder holder_of(std::size_t number, std::size_t strong)
{
    const std::string name = std::to_string(number);
    return {name, name, number < strong ? 2.0 : 0.1};
}

} // namespace

start_fleet::start_fleet(options chosen)
    : settings(chosen)
    , routers(chosen.routers)
{
    std::mt19937_64 random(this->settings.seed);
    std::uniform_int_distribution<duration::rep> apart(0, 300'000);
    std::vector<copy_holder> all;
    for (std::size_t i = 0; i < this->settings.routers; ++i)
        all.push_back(holder_of(i, this->settings.strong));
    for (std::size_t i = 0; i < this->settings.routers; ++i)
    {
        router& one = this->routers[i];
        copy_choice::options choice = this->settings.choice;
        choice.seed = random();
        one.choice = copy_choice(choice);
        one.choice.routers_listed(all[i], all);
        one.started = instant(duration(apart(random)));
        one.bytes_a_second =
            i < this->settings.strong ? strong_link : weak_link;
    }
}

start_fleet::outcome start_fleet::run()
{
    using turn = std::pair<instant, std::size_t>;
    std::priority_queue<turn, std::vector<turn>, std::greater<>> turns;
    for (std::size_t i = this->settings.gone_first; i < this->routers.size();
         ++i)
        turns.emplace(this->routers[i].started, i);
    while (!turns.empty())
    {
        const auto [now, number] = turns.top();
        turns.pop();
        const instant next = this->act(number, now);
        if (next != instant::max())
            turns.emplace(next, number);
    }
    for (const router& one : this->routers)
    {
        if (one.known != instant::max())
            this->counted.last =
                std::max<duration>(this->counted.last, one.known - instant());
        this->counted.busiest_link_bytes =
            std::max(this->counted.busiest_link_bytes, one.sent);
    }
    return this->counted;
}

instant start_fleet::act(std::size_t number, instant now)
{
    router& one = this->routers[number];
    const bool asks =
        !one.choice.reads_first() && one.choice.is_patient(one.started, now);
    const auto whom = asks ? one.choice.next() : std::nullopt;
    if (!whom)
        return this->list(one, now);
    router& holder = this->routers[std::stoul(*whom)];
    const duration queued = holder.link_free - now;
    const duration each = seconds(
        static_cast<double>(this->settings.servers) * copied_bytes_each /
        holder.bytes_a_second);
    const int most_at_once = holder.bytes_a_second < strong_link ? 1 : 8;
    const bool is_busy = queued > each * (most_at_once - 1);
    if (holder.known > now || is_busy)
        return now + copy_pause;
    return this->copy(one, holder, now);
}

instant start_fleet::list(router& one, instant now)
{
    const double bytes =
        static_cast<double>(this->settings.servers) * listed_bytes_each;
    ++this->counted.listings;
    this->counted.store_bytes += bytes;
    this->store_free = std::max(this->store_free, now + answer_time) +
                       seconds(bytes / store_bytes_a_second);
    one.known =
        std::max(this->store_free, now + seconds(bytes / one.bytes_a_second));
    return instant::max();
}

instant start_fleet::copy(router& one, router& holder, instant now)
{
    const double bytes =
        static_cast<double>(this->settings.servers) * copied_bytes_each;
    holder.link_free = std::max(holder.link_free, now) +
                       seconds(bytes / holder.bytes_a_second);
    holder.sent += bytes;
    one.known =
        std::max(holder.link_free, now + seconds(bytes / one.bytes_a_second));
    return instant::max();
}

} // namespace roseworks::testing

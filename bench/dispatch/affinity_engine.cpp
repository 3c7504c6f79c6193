#include "affinity_engine.hpp"

#include <algorithm>

namespace roseworks::bench
{

namespace
{

constexpr std::size_t cache_size = 64;
constexpr std::uint64_t loss_interval = 10;

/// More events than an engine publishes between two reads of any reader.
constexpr std::size_t max_retained_events = 4096;

} // namespace

bool affinity_engine::use(std::uint64_t prefix, instant now)
{
    const auto found =
        std::find(this->cached.begin(), this->cached.end(), prefix);
    if (found != this->cached.end())
    {
        this->cached.splice(this->cached.begin(), this->cached, found);
        return true;
    }
    this->cached.push_front(prefix);
    this->publish(prefix, true, now);
    if (this->cached.size() > cache_size)
    {
        const std::uint64_t last = this->cached.back();
        this->cached.pop_back();
        this->publish(last, false, now);
    }
    return false;
}

void affinity_engine::restart()
{
    this->cached.clear();
    this->events.clear();
    this->next_sequence = 1;
    ++this->incarnation;
}

cache_report affinity_engine::read(std::uint64_t from, instant visible) const
{
    cache_report report;
    report.incarnation = this->incarnation;
    report.from = from;
    report.next = std::max<std::uint64_t>(from, 1);
    for (const published_event& one : this->events)
    {
        if (one.what.sequence < report.next || one.at > visible)
        {
            continue;
        }
        report.next = one.what.sequence + 1;
        report.events.push_back(one.what);
    }
    return report;
}

void affinity_engine::publish(std::uint64_t prefix, bool is_cached, instant now)
{
    const std::uint64_t sequence = this->next_sequence++;
    const bool lost = this->random() % loss_interval == 0;
    if (!lost || this->is_lossless)
    {
        this->events.push_back({{sequence, prefix, is_cached}, now});
    }
    if (this->events.size() > max_retained_events)
    {
        this->events.pop_front();
    }
}

} // namespace roseworks::bench

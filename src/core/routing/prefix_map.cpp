#include "core/routing/prefix_map.hpp"

namespace roseworks::detail
{

prefix_map::prefix_map(const options& settings)
    : limits(settings)
{
}

void prefix_map::reported(const cache_report& report, instant now)
{
    this->evict_silent(now);
    engine_prefixes& tracked = this->engines[key_of(report.engine)];
    const bool restarted = report.from == 0 ||
                           report.incarnation != tracked.incarnation ||
                           report.next < tracked.next;
    if (restarted)
    {
        this->clear(tracked);
        tracked.next = 0;
        tracked.incarnation = report.incarnation;
    }

    for (const cache_event& event : report.events)
    {
        this->apply(tracked, event);
    }
    if (report.next > tracked.next)
    {
        // The last events before `next` were lost.
        tracked.gaps += tracked.next != 0 ? 1 : 0;
        tracked.next = report.next;
    }
    tracked.last_report = now;
}

prefix_map::freshness
prefix_map::find(server_key server, std::uint64_t prefix, instant now) const
{
    const auto found = this->engines.find(server);
    if (found == this->engines.end())
    {
        return freshness::none;
    }
    const engine_prefixes& tracked = found->second;
    const auto position = tracked.positions.find(prefix);
    if (position == tracked.positions.end())
    {
        return freshness::none;
    }
    const bool fresh = position->second->gaps == tracked.gaps &&
                       now - tracked.last_report <= this->limits.stale_after;
    return fresh ? freshness::fresh : freshness::stale;
}

std::size_t prefix_map::size() const
{
    return this->total;
}

void prefix_map::apply(engine_prefixes& tracked, const cache_event& event)
{
    if (event.sequence < tracked.next)
    {
        return; // already applied
    }
    if (tracked.next != 0 && event.sequence != tracked.next)
    {
        ++tracked.gaps;
    }
    tracked.next = event.sequence + 1;
    if (event.cached)
    {
        this->add(tracked, event.prefix);
    }
    else
    {
        this->remove(tracked, event.prefix);
    }
}

void prefix_map::add(engine_prefixes& tracked, std::uint64_t prefix)
{
    const auto position = tracked.positions.find(prefix);
    if (position != tracked.positions.end())
    {
        tracked.lru.splice(tracked.lru.begin(), tracked.lru, position->second);
        position->second->gaps = tracked.gaps;
        return;
    }
    if (tracked.lru.size() >= this->limits.max_per_engine ||
        this->total >= this->limits.max_prefixes)
    {
        if (tracked.lru.empty())
        {
            return;
        }
        this->remove(tracked, tracked.lru.back().prefix);
    }
    tracked.lru.push_front({prefix, tracked.gaps});
    tracked.positions.emplace(prefix, tracked.lru.begin());
    ++this->total;
}

void prefix_map::remove(engine_prefixes& tracked, std::uint64_t prefix)
{
    const auto position = tracked.positions.find(prefix);
    if (position == tracked.positions.end())
    {
        return;
    }
    tracked.lru.erase(position->second);
    tracked.positions.erase(position);
    --this->total;
}

void prefix_map::clear(engine_prefixes& tracked)
{
    this->total -= tracked.lru.size();
    tracked.lru.clear();
    tracked.positions.clear();
}

void prefix_map::evict_silent(instant now)
{
    if (now < this->next_sweep)
    {
        return;
    }
    this->next_sweep = now + this->limits.stale_after;
    for (auto it = this->engines.begin(); it != this->engines.end();)
    {
        engine_prefixes& tracked = it->second;
        if (now - tracked.last_report <= this->limits.evict_after)
        {
            ++it;
            continue;
        }
        this->clear(tracked);
        it = this->engines.erase(it);
    }
}

} // namespace roseworks::detail

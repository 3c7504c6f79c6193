#include "core/routing/prefix_map.hpp"

namespace roseworks::detail
{

prefix_map::prefix_map(const options& wanted)
    : limits(wanted)
{
}

void prefix_map::reported(const cache_report& report, instant now)
{
    this->forget_silent(now);
    engine_prefixes& known = this->engines[key_of(report.engine)];
    const bool anew = report.from == 0 ||
                      report.incarnation != known.incarnation ||
                      report.next < known.next;
    if (anew)
    {
        this->clear(known);
        known.next = 0;
        known.incarnation = report.incarnation;
    }

    for (const cache_event& event : report.events)
    {
        this->apply(known, event);
    }
    if (report.next > known.next)
    {
        // The last events before `next` are missing.
        known.gaps += known.next != 0 ? 1 : 0;
        known.next = report.next;
    }
    known.last_report = now;
}

prefix_map::knowledge
prefix_map::find(server_key server, std::uint64_t prefix, instant now) const
{
    const auto found = this->engines.find(server);
    if (found == this->engines.end())
    {
        return knowledge::none;
    }
    const engine_prefixes& known = found->second;
    const auto place = known.places.find(prefix);
    if (place == known.places.end())
    {
        return knowledge::none;
    }
    const bool fresh = place->second->gaps == known.gaps &&
                       now - known.last_report <= this->limits.silence;
    return fresh ? knowledge::fresh : knowledge::stale;
}

std::size_t prefix_map::size() const
{
    return this->total;
}

void prefix_map::apply(engine_prefixes& known, const cache_event& event)
{
    if (event.sequence < known.next)
    {
        return; // seen before
    }
    if (known.next != 0 && event.sequence != known.next)
    {
        ++known.gaps;
    }
    known.next = event.sequence + 1;
    if (event.cached)
    {
        this->add(known, event.prefix);
    }
    else
    {
        this->remove(known, event.prefix);
    }
}

void prefix_map::add(engine_prefixes& known, std::uint64_t prefix)
{
    const auto place = known.places.find(prefix);
    if (place != known.places.end())
    {
        known.by_age.splice(known.by_age.begin(), known.by_age, place->second);
        place->second->gaps = known.gaps;
        return;
    }
    if (known.by_age.size() >= this->limits.max_per_engine ||
        this->total >= this->limits.max_prefixes)
    {
        if (known.by_age.empty())
        {
            return;
        }
        this->remove(known, known.by_age.back().prefix);
    }
    known.by_age.push_front({prefix, known.gaps});
    known.places.emplace(prefix, known.by_age.begin());
    ++this->total;
}

void prefix_map::remove(engine_prefixes& known, std::uint64_t prefix)
{
    const auto place = known.places.find(prefix);
    if (place == known.places.end())
    {
        return;
    }
    known.by_age.erase(place->second);
    known.places.erase(place);
    --this->total;
}

void prefix_map::clear(engine_prefixes& known)
{
    this->total -= known.by_age.size();
    known.by_age.clear();
    known.places.clear();
}

void prefix_map::forget_silent(instant now)
{
    if (now < this->next_sweep)
    {
        return;
    }
    this->next_sweep = now + this->limits.silence;
    for (auto at = this->engines.begin(); at != this->engines.end();)
    {
        engine_prefixes& known = at->second;
        if (now - known.last_report <= this->limits.forget_after)
        {
            ++at;
            continue;
        }
        this->clear(known);
        at = this->engines.erase(at);
    }
}

} // namespace roseworks::detail

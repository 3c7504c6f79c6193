#include "fake_engine.hpp"

#include <algorithm>

namespace roseworks::test
{

fake_engine::fake_engine(options wanted)
    : settings(wanted)
{
    this->remember(instant{});
}

order_outcome fake_engine::order(const engine_order& what, instant now)
{
    this->advance(now);
    if (this->settings.fencing == fencing_kind::checks)
    {
        if (what.held.value < this->highest_fence)
        {
            return order_outcome::stale_fence;
        }
        this->highest_fence = what.held.value;
    }
    if (this->orders_seen.contains(what.order_id))
    {
        return order_outcome::accepted;
    }
    if (what.action == order_action::unload)
    {
        const auto place = this->items.find(what.replica);
        if (place == this->items.end())
        {
            return order_outcome::not_found;
        }
        place->second.seen.state = replica_state::unloading;
        place->second.until = now + this->settings.unload_time;
    }
    else
    {
        ++this->loads;
        item& loading = this->items[what.replica];
        loading.seen.replica = what.replica;
        loading.seen.servable = what.servable;
        loading.seen.memory_mib = what.memory_mib;
        loading.seen.version = what.version;
        loading.seen.state = replica_state::loading;
        loading.until = now + this->settings.load_time;
    }
    this->orders_seen.insert(what.order_id);
    this->remember(now);
    return order_outcome::accepted;
}

void fake_engine::advance(instant now)
{
    bool changed = false;
    for (auto place = this->items.begin(); place != this->items.end();)
    {
        item& current = place->second;
        const bool over = now >= current.until;
        if (over && current.seen.state == replica_state::unloading)
        {
            place = this->items.erase(place);
            changed = true;
            continue;
        }
        if (over && current.seen.state == replica_state::loading)
        {
            current.seen.state =
                this->failing ? replica_state::failed : replica_state::ready;
            changed = true;
        }
        ++place;
    }
    if (changed)
    {
        this->remember(now);
    }
}

void fake_engine::restart(instant now)
{
    ++this->incarnation;
    this->items.clear();
    this->orders_seen.clear();
    this->remember(now);
}

void fake_engine::use(replica_id replica, instant now)
{
    ++this->items.at(replica).seen.served;
    this->remember(now);
}

void fake_engine::fail_loads(bool fail)
{
    this->failing = fail;
}

void fake_engine::remember(instant now)
{
    engine_report report;
    report.reachable = true;
    report.incarnation = this->incarnation;
    report.memory_used_mib = this->memory_used();
    for (const auto& [id, current] : this->items)
    {
        report.residents.push_back(current.seen);
    }
    this->history.emplace_back(now, std::move(report));
}

engine_report fake_engine::report(engine_id id, instant now)
{
    this->advance(now);
    const duration longest =
        std::max(this->settings.report_lag, this->settings.worst_lag);
    while (this->history.size() > 1 && this->history[1].first <= now - longest)
    {
        this->history.pop_front();
    }
    const bool third = ++this->reports % 3 == 0;
    const instant seen =
        now - (third ? this->settings.worst_lag : this->settings.report_lag);
    auto place = std::find_if(
        this->history.rbegin(),
        this->history.rend(),
        [&](const auto& item)
        {
            return item.first <= seen;
        });
    engine_report report = place == this->history.rend()
                               ? this->history.front().second
                               : place->second;
    report.engine = id;
    return report;
}

std::uint32_t fake_engine::memory_used() const
{
    std::uint32_t used = 0;
    for (const auto& [id, current] : this->items)
    {
        used += current.seen.memory_mib;
    }
    return used;
}

std::size_t fake_engine::count(std::string_view servable) const
{
    std::size_t found = 0;
    for (const auto& [id, current] : this->items)
    {
        found += current.seen.servable == servable ? 1 : 0;
    }
    return found;
}

bool fake_engine::has(replica_id replica) const
{
    return this->items.contains(replica);
}

std::uint64_t fake_engine::loads_begun() const
{
    return this->loads;
}

} // namespace roseworks::test

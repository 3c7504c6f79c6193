// Placement half of `replay`: wishes, evictions, loads, holds.
#include "replay.hpp"

#include <algorithm>

namespace roseworks::bench
{

namespace
{

/// While nothing has room, room is looked for so often (the proposer's pace).
constexpr duration room_retry = std::chrono::milliseconds(500);
constexpr duration preload_retry = std::chrono::seconds(1);
/// A replica used within this time is never evicted.
constexpr duration evict_grace = std::chrono::seconds(10);
constexpr duration one_second = std::chrono::seconds(1);

} // namespace

void replay::want(std::uint32_t servable, priority urgency)
{
    const auto& replicas = this->pool.of_servable(servable);
    const traced_servable& item = this->source.servables[servable];
    const std::size_t waits = this->waiting[servable].size();
    std::size_t wanted = 1;
    if (!replicas.empty() && this->pool.has_ready(servable))
    {
        // Crowded: more wait than half the streams of all ready ones.
        const bool crowded = waits * 2 > replicas.size() * item.max_streams;
        wanted = replicas.size() + (crowded ? 1 : 0);
    }
    wanted = std::min<std::size_t>(wanted, item.max_replicas);
    if (replicas.size() >= wanted)
    {
        // A load that was foreseen is now waited for.
        for (const std::uint64_t id : replicas)
        {
            replayed_replica& replica = *this->pool.find(id);
            replica.only_staged = false;
            const bool queued =
                replica.state == replayed_replica::phase::waiting;
            if (queued && urgency < replica.urgency &&
                this->options.urgent_slots)
            {
                this->slot_queue.erase({replica.urgency, id});
                this->slot_queue.insert({urgency, id});
            }
            replica.urgency = std::min(replica.urgency, urgency);
        }
        return;
    }
    if (!this->wished[servable])
    {
        this->wished[servable] = true;
        this->wishes.insert({urgency, this->now, servable});
    }
}

void replay::place_wishes()
{
    // A copy: placing an adapter may add a wish for its base.
    const std::vector<wish> ordered(this->wishes.begin(), this->wishes.end());
    for (const wish& item : ordered)
    {
        const bool done = this->place(item.servable, item.urgency);
        if (done)
        {
            this->wishes.erase(item);
            this->wished[item.servable] = false;
        }
    }
    this->start_loads();
    if (!this->wishes.empty() && !this->will_look_again)
    {
        this->will_look_again = true;
        this->schedule(this->now + room_retry, event_kind::look_again);
    }
}

bool replay::place(std::uint32_t servable, priority urgency)
{
    const std::optional<std::uint32_t> base =
        this->source.servables[servable].base;
    const bool base_comes = base && !this->pool.of_servable(*base).empty();
    if (base && !this->pool.has_ready(*base))
    {
        if (base_comes || this->wished[*base])
        {
            this->want(*base, urgency);
            return false;
        }
        this->wished[*base] = true;
        const wish needed{urgency, this->now, *base};
        this->wishes.insert(needed);
        if (this->place(*base, urgency))
        {
            this->wishes.erase(needed);
            this->wished[*base] = false;
        }
        return false;
    }
    const bool for_cheaper = this->for_cheaper(servable, urgency);
    std::optional<replica_pool::place> where =
        this->pool.choose(servable, for_cheaper);
    if (!where && this->make_room(servable))
    {
        where = this->pool.choose(servable, for_cheaper);
    }
    if (!where)
    {
        return false;
    }
    replayed_replica& replica = this->pool.add(servable, *where, this->now);
    replica.urgency = urgency;
    this->slot_queue.insert(
        {this->options.urgent_slots ? urgency : priority::normal, replica.id});
    return true;
}

/// Whether a replica belongs on a cheaper engine of a diverse pool.
bool replay::for_cheaper(std::uint32_t servable, priority urgency) const
{
    switch (this->options.cheap_engines)
    {
    case cheap_use::none:
    case cheap_use::overflow:
        return false;
    case cheap_use::slack:
        return urgency == priority::batch;
    case cheap_use::small:
        return this->source.servables[servable].memory_mib <
               this->half_size_mib;
    case cheap_use::rare:
        const auto rarer = std::count_if(
            this->uses.begin(),
            this->uses.end(),
            [&](std::uint64_t other)
            {
                return other < this->uses[servable];
            });
        return rarer * 2 < static_cast<std::ptrdiff_t>(this->uses.size());
    }
    return false;
}

bool replay::make_room(std::uint32_t servable)
{
    std::vector<replica_pool::candidate> candidates;
    for (const auto& [id, replica] : this->pool.all())
    {
        const bool evictable = this->pool.is_ready(id) &&
                               replica.running == 0 && replica.adapters == 0 &&
                               this->waiting[replica.servable].empty() &&
                               this->now - replica.last_use >= evict_grace;
        if (evictable)
        {
            const double value = this->strategy.holds->eviction_value(
                this->view(replica.servable),
                this->now - replica.last_use,
                this->options.policy);
            candidates.push_back({id, value});
        }
    }
    const std::vector<std::uint64_t> victims =
        this->pool.plan_eviction(servable, candidates);
    for (const std::uint64_t id : victims)
    {
        ++this->figures.evictions;
        this->unload(*this->pool.find(id));
    }
    return !victims.empty();
}

void replay::start_loads()
{
    const std::vector<slot_wait> ordered(
        this->slot_queue.begin(), this->slot_queue.end());
    for (const slot_wait& item : ordered)
    {
        replayed_replica& replica = *this->pool.find(item.replica);
        const bool local = this->options.local_without_slot &&
                           this->pool.tier(replica) != cache_tier::remote;
        if (!local)
        {
            if (this->slots_used >= this->source.store_slots)
            {
                continue;
            }
            if (this->now < this->next_grant)
            {
                this->await_grant();
                continue;
            }
            ++this->slots_used;
            this->next_grant =
                this->now + one_second / this->source.store_loads_per_second;
        }
        replica.takes_slot = !local;
        this->slot_queue.erase(item);
        this->start_load(replica);
    }
}

/// Look again once the store's rate lets the next load start.
void replay::await_grant()
{
    if (!this->grant_scheduled)
    {
        this->grant_scheduled = true;
        this->schedule(this->next_grant, event_kind::grant);
    }
}

void replay::start_load(replayed_replica& replica)
{
    const cache_tier tier = this->pool.tier(replica);
    const double factor = tier == cache_tier::remote ? 1
                          : tier == cache_tier::disk
                              ? this->options.disk_factor
                              : this->options.memory_factor;
    const double remote_us = 1000.0 *
                             this->source.servables[replica.servable].load_ms *
                             this->source.engines[replica.engine].slowdown;
    const bool with_base =
        this->options.adapters_with_base && replica.base != 0 &&
        this->now - this->pool.find(replica.base)->ready_since <= one_second;
    const duration time(
        with_base ? 0 : static_cast<duration::rep>(remote_us * factor));
    replica.state = replayed_replica::phase::loading;
    const bool measured = this->now >= instant(this->options.warm_up);
    this->figures.loads += measured ? 1 : 0;
    this->figures.remote_loads +=
        measured && tier == cache_tier::remote ? 1 : 0;
    this->schedule(this->now + time, event_kind::load_done, replica.id);
}

void replay::loaded(replayed_replica& replica)
{
    this->slots_used -= replica.takes_slot ? 1 : 0;
    replica.state = replayed_replica::phase::ready;
    replica.ready_since = this->now;
    replica.last_use = this->now;
    replica.idle_since = this->now;
    this->figures.loading_hours +=
        this->accelerator_hours(replica.servable, replica.decided, this->now);
    this->pool.touch_cache(replica);
    const std::uint64_t id = replica.id;
    for (const std::uint32_t index : this->waiting[replica.servable])
    {
        if (!this->cold[index])
        {
            this->cold[index] = this->now - this->source.requests[index].at;
        }
    }
    this->serve(replica.servable);
    this->place_wishes();
    replayed_replica* still = this->pool.find(id);
    if (still == nullptr || still->running != 0 || still->adapters != 0)
    {
        return;
    }
    if (still->only_staged)
    {
        this->unload(*still);
        return;
    }
    this->hold(*still);
}

void replay::unload(replayed_replica& replica)
{
    this->count_idle(replica, this->now);
    this->pool.touch_cache(replica);
    const std::uint64_t base = replica.base;
    this->pool.remove(replica.id);
    if (base == 0)
    {
        return;
    }
    const replayed_replica& carrier = *this->pool.find(base);
    if (carrier.running == 0 && carrier.adapters == 0)
    {
        this->hold(carrier);
    }
}

void replay::hold(const replayed_replica& replica)
{
    const duration time = this->strategy.holds->hold(
        this->view(replica.servable), this->options.policy);
    const instant until =
        std::max({this->now, replica.last_use + time, replica.expected_until});
    this->schedule(until, event_kind::hold_over, replica.id, replica.uses);
}

void replay::hold_over(replayed_replica& replica)
{
    if (replica.state != replayed_replica::phase::ready ||
        replica.running != 0 || replica.adapters != 0 ||
        !this->waiting[replica.servable].empty() ||
        this->now < replica.expected_until)
    {
        return;
    }
    this->unload(replica);
    this->place_wishes();
}

void replay::handle_expected(std::uint64_t index)
{
    const expected_use use = this->expectations[index];
    const std::uint32_t servable = use.servable.value - 1;
    if (this->now > use.latest)
    {
        return;
    }
    const std::optional<std::uint32_t> base =
        this->source.servables[servable].base;
    for (const std::uint32_t item : {base.value_or(servable), servable})
    {
        const auto& replicas = this->pool.of_servable(item);
        if (!replicas.empty())
        {
            replayed_replica& there = *this->pool.find(replicas.front());
            there.only_staged = false;
            there.expected_until = std::max(there.expected_until, use.latest);
            if (there.state == replayed_replica::phase::ready &&
                there.running == 0)
            {
                this->hold(there);
            }
            continue;
        }
        const std::uint32_t kept = this->options.keep_slot_free ? 1 : 0;
        const bool slots_free =
            this->slot_queue.empty() &&
            this->slots_used + kept < this->source.store_slots;
        const std::optional<replica_pool::place> where =
            slots_free && this->wishes.empty()
                ? this->pool.choose(
                      item, this->for_cheaper(item, priority::normal))
                : std::nullopt;
        if (where)
        {
            replayed_replica& added = this->pool.add(item, *where, this->now);
            added.urgency = priority::batch;
            added.expected_until = use.latest;
            this->slot_queue.insert(
                {this->options.urgent_slots ? priority::batch
                                            : priority::normal,
                 added.id});
            this->start_loads();
        }
        if (!where || item != servable)
        {
            this->schedule(
                this->now + preload_retry, event_kind::expected, 0, index);
            return;
        }
    }
}

void replay::stage_next()
{
    const bool store_idle = this->slot_queue.empty() && this->slots_used == 0 &&
                            this->wishes.empty();
    if (!store_idle)
    {
        return;
    }
    std::optional<std::uint32_t> next;
    for (std::uint32_t i = 0; i < this->source.servables.size(); ++i)
    {
        const bool candidate = !this->source.servables[i].base &&
                               this->pool.of_servable(i).empty() &&
                               !this->pool.cached_anywhere(i);
        if (candidate && (!next || this->uses[i] > this->uses[*next]))
        {
            next = i;
        }
    }
    const std::optional<replica_pool::place> where =
        next ? this->pool.choose(*next) : std::nullopt;
    if (!where)
    {
        return;
    }
    replayed_replica& staged = this->pool.add(*next, *where, this->now);
    staged.urgency = priority::batch;
    staged.only_staged = true;
    this->slot_queue.insert(
        {this->options.urgent_slots ? priority::batch : priority::normal,
         staged.id});
    this->start_loads();
}

} // namespace roseworks::bench

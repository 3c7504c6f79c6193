#include "replica_pool.hpp"

#include "core/placement/place_choice.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace roseworks::bench
{

replica_pool::replica_pool(const trace& wanted, const replay_options& options)
    : source(wanted)
    , tier_choice(options.tier_choice)
    , by_servable(wanted.servables.size())
{
    for (const traced_engine& engine : this->source.engines)
    {
        this->engines.push_back(
            {engine.memory_mib,
             checkpoint_cache(engine, this->source.servables),
             {}});
    }
}

std::optional<std::uint64_t>
replica_pool::base_there(std::uint32_t servable, const engine_row& engine) const
{
    const std::optional<std::uint32_t> base =
        this->source.servables[servable].base;
    if (!base)
    {
        return 0;
    }
    for (const std::uint64_t id : engine.replicas)
    {
        const replayed_replica& replica = this->replicas.at(id);
        if (replica.servable == *base && this->is_ready(id) &&
            !replica.only_staged)
        {
            return id;
        }
    }
    return std::nullopt;
}

std::optional<replica_pool::place>
replica_pool::choose(std::uint32_t servable, bool for_cheaper) const
{
    std::optional<detail::engine_score> best;
    std::optional<place> chosen;
    for (std::uint32_t i = 0; i < this->engines.size(); ++i)
    {
        const engine_row& engine = this->engines[i];
        const std::optional<std::uint64_t> base =
            this->base_there(servable, engine);
        if (!base ||
            engine.free_mib < this->source.servables[servable].memory_mib)
        {
            continue;
        }
        const auto same = std::count_if(
            engine.replicas.begin(),
            engine.replicas.end(),
            [&](std::uint64_t id)
            {
                return this->replicas.at(id).servable == servable;
            });
        const cache_tier tier = this->tier_choice ? engine.cache.find(servable)
                                                  : cache_tier::remote;
        const std::uint64_t reserved =
            this->source.engines[i].memory_mib - engine.free_mib;
        const bool is_cheaper = this->source.engines[i].price < 1;
        const detail::engine_score rank{
            is_cheaper != for_cheaper,
            static_cast<std::size_t>(same),
            static_cast<int>(tier),
            0,
            reserved,
            i};
        if (!best || rank < *best)
        {
            best = rank;
            chosen = place{i, *base};
        }
    }
    return chosen;
}

replayed_replica&
replica_pool::add(std::uint32_t servable, place where, instant now)
{
    replayed_replica row;
    row.id = ++this->last_id;
    row.servable = servable;
    row.engine = where.engine;
    row.base = where.base;
    row.decided = now;
    engine_row& engine = this->engines[where.engine];
    engine.free_mib -= this->source.servables[servable].memory_mib;
    engine.replicas.push_back(row.id);
    this->by_servable[servable].push_back(row.id);
    if (where.base != 0)
    {
        ++this->replicas.at(where.base).adapters;
    }
    return this->replicas[row.id] = row;
}

void replica_pool::remove(std::uint64_t id)
{
    const replayed_replica row = this->replicas.at(id);
    engine_row& engine = this->engines[row.engine];
    engine.free_mib += this->source.servables[row.servable].memory_mib;
    std::erase(engine.replicas, id);
    std::erase(this->by_servable[row.servable], id);
    if (row.base != 0)
    {
        --this->replicas.at(row.base).adapters;
    }
    this->replicas.erase(id);
}

std::vector<std::uint64_t> replica_pool::plan_eviction(
    std::uint32_t servable, std::span<const candidate> candidates) const
{
    const traced_servable& wanted = this->source.servables[servable];
    detail::victim_plan best;
    for (std::uint32_t i = 0; i < this->engines.size(); ++i)
    {
        const std::uint64_t room = this->engines[i].free_mib;
        const std::optional<std::uint64_t> base =
            this->base_there(servable, this->engines[i]);
        if (!base || this->source.engines[i].memory_mib < wanted.memory_mib ||
            room >= wanted.memory_mib)
        {
            continue;
        }
        std::vector<detail::victim> here;
        for (const candidate& item : candidates)
        {
            const replayed_replica& replica = this->replicas.at(item.id);
            if (replica.engine == i && item.id != *base)
            {
                here.push_back(
                    {item.value,
                     item.id,
                     this->source.servables[replica.servable].memory_mib});
            }
        }
        detail::victim_plan plan =
            detail::choose_victims(here, wanted.memory_mib - room);
        if (plan.possible && (best.replicas.empty() || plan.cheaper_than(best)))
        {
            best = std::move(plan);
        }
    }
    return best.replicas;
}

replayed_replica* replica_pool::find(std::uint64_t id)
{
    const auto found = this->replicas.find(id);
    return found == this->replicas.end() ? nullptr : &found->second;
}

const std::vector<std::uint64_t>&
replica_pool::of_servable(std::uint32_t servable) const
{
    return this->by_servable[servable];
}

const std::map<std::uint64_t, replayed_replica>& replica_pool::all() const
{
    return this->replicas;
}

bool replica_pool::is_ready(std::uint64_t id) const
{
    return this->replicas.at(id).state == replayed_replica::phase::ready;
}

bool replica_pool::has_ready(std::uint32_t servable) const
{
    const auto& ids = this->by_servable[servable];
    return std::any_of(
        ids.begin(),
        ids.end(),
        [this](std::uint64_t id)
        {
            return this->is_ready(id);
        });
}

cache_tier replica_pool::tier(const replayed_replica& replica) const
{
    return this->engines[replica.engine].cache.find(replica.servable);
}

bool replica_pool::cached_anywhere(std::uint32_t servable) const
{
    return std::any_of(
        this->engines.begin(),
        this->engines.end(),
        [&](const engine_row& engine)
        {
            return engine.cache.find(servable) != cache_tier::remote;
        });
}

void replica_pool::stage(std::uint32_t servable)
{
    const std::optional<std::uint32_t> base =
        this->source.servables[servable].base;
    const std::uint32_t first =
        base && !this->has_ready(*base) ? *base : servable;
    const std::optional<place> where = this->choose(first);
    if (where && this->by_servable[first].empty())
    {
        this->engines[where->engine].cache.touch(first);
    }
}

void replica_pool::touch_cache(const replayed_replica& replica)
{
    this->engines[replica.engine].cache.touch(replica.servable);
}

} // namespace roseworks::bench

#include "core/placement/place_choice.hpp"
#include "core/placement/proposer.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace roseworks::detail
{

namespace
{

enum cache_tier_rank
{
    in_memory,
    on_disk,
    remote
};

bool contains(const std::vector<std::string>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

std::uint32_t proposer::pending_mib(engine_id engine) const
{
    std::uint32_t total = 0;
    for (const auto& [id, progress] : this->progress_by_servable)
    {
        for (const auto& [sequence, item] : progress.pending)
        {
            total += item.engine == engine ? item.memory_mib : 0;
        }
    }
    return total;
}

int proposer::cache_tier(engine_id engine, std::string_view servable) const
{
    const engine_sighting* sighting = this->reports.find(engine);
    if (sighting == nullptr)
    {
        return remote;
    }
    if (contains(sighting->report.cached_in_memory, servable))
    {
        return in_memory;
    }
    return contains(sighting->report.cached_on_disk, servable) ? on_disk
                                                               : remote;
}

bool proposer::unreachable(engine_id engine) const
{
    const engine_sighting* sighting = this->reports.find(engine);
    return sighting != nullptr && !sighting->report.reachable;
}

std::optional<replica_id> proposer::ready_base(
    const control_context& context,
    const servable_view& servable,
    const engine_view& engine) const
{
    std::optional<replica_id> found;
    context.state.for_each_replica_on(
        engine.id,
        [&](const replica_view& replica)
        {
            if (replica.servable == servable.base &&
                replica.state == replica_state::ready)
            {
                found = replica.id;
            }
        });
    return found;
}

std::optional<proposer::place> proposer::choose_engine(
    const control_context& context,
    const servable_view& servable,
    const placement_progress& progress,
    bool needs_room) const
{
    std::map<std::string_view, std::size_t> in_data_centre;
    std::map<engine_id, std::size_t> on_engine;
    const auto note = [&](engine_id id)
    {
        ++on_engine[id];
        const std::optional<engine_view> engine = context.state.engine(id);
        if (engine && engine->spec != nullptr)
        {
            ++in_data_centre[engine->spec->data_centre];
        }
    };
    context.state.for_each_replica_of(
        servable.id,
        [&](const replica_view& item)
        {
            note(item.engine);
        });
    for (const auto& [sequence, item] : progress.pending)
    {
        note(item.engine);
    }

    std::optional<engine_score> best;
    std::optional<place> chosen;
    context.state.for_each_engine(
        [&](const engine_view& engine)
        {
            if (!this->usable(engine) ||
                engine.spec->accelerators < servable.accelerators)
            {
                return;
            }
            const std::uint64_t reserved = std::uint64_t(engine.reserved_mib) +
                                           this->pending_mib(engine.id);
            const std::uint64_t needed =
                servable.memory_mib + (needs_room ? reserved : 0);
            if (needed > engine.spec->memory_mib)
            {
                return;
            }
            const std::optional<replica_id> base =
                servable.is_adapter
                    ? this->ready_base(context, servable, engine)
                    : replica_id{};
            if (!base)
            {
                return;
            }
            const bool avoided = progress.failed_loads.contains(engine.id) ||
                                 this->unreachable(engine.id);
            const engine_score rank{
                avoided,
                on_engine[engine.id],
                this->cache_tier(engine.id, servable.name),
                in_data_centre[engine.spec->data_centre],
                reserved,
                engine.id.value};
            if (!best || rank < *best)
            {
                best = rank;
                chosen = place{engine.id, *base};
            }
        });
    return chosen;
}

} // namespace roseworks::detail

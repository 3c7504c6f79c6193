#include "core/placement/order_keeper.hpp"

#include <optional>
#include <set>
#include <utility>

namespace roseworks::detail
{

/// Until the proof a former holder's order may have arrived: what was seen to
/// be absent before is looked for again.
void order_keeper::note_proof(
    const control_context& context,
    const engine_view& engine,
    engine_track& track)
{
    const bool before = std::exchange(
        track.unproven, context.state.order_may_be_in_flight(engine.id));
    if (!before || track.unproven)
    {
        return;
    }
    for (auto& [id, item] : track.replicas)
    {
        item.baseline = context.now;
        item.absent = {};
    }
}

void order_keeper::note_effects(
    const control_context& context,
    engine_id engine,
    const engine_sighting& sighting)
{
    const std::optional<engine_view> view = context.state.engine(engine);
    if (!view || view->holder == context.self || !sighting.report.reachable)
    {
        return;
    }
    std::erase_if(
        this->uncertain,
        [&](const auto& item)
        {
            const auto& [where, lost] = item;
            return where.first == engine && sighting.asked >= lost &&
                   sighting.find(where.second) != nullptr;
        });
}

void order_keeper::reported(const control_context& context, engine_id engine)
{
    const auto place = this->engines.find(engine);
    const engine_sighting* sighting = this->reports.find(engine);
    if (sighting != nullptr)
    {
        this->note_effects(context, engine, *sighting);
    }
    if (place == this->engines.end() || sighting == nullptr ||
        !sighting->report.reachable)
    {
        return;
    }
    engine_track& track = place->second;
    if (sighting->asked < track.taken)
    {
        return;
    }
    if (!track.read_since_taken)
    {
        track.read_since_taken = true;
        // What the engine has already is known before anything is ordered.
        context.state.for_each_replica_on(
            engine,
            [&](const replica_view& replica)
            {
                replica_track& item = track.replicas[replica.id];
                item.last_state = replica.state;
                item.baseline = track.taken;
            });
    }
    for (auto& [id, item] : track.replicas)
    {
        this->note_sighting(id, item, *sighting);
    }
    this->note_strays(context, engine, track, *sighting);
}

void order_keeper::note_sighting(
    replica_id id, replica_track& item, const engine_sighting& sighting)
{
    if (item.order || sighting.asked < item.baseline)
    {
        return;
    }
    const resident* found = sighting.find(id);
    item.present = found != nullptr;
    if (found != nullptr)
    {
        item.seen = *found;
        item.absent = {};
        return;
    }
    const bool spaced =
        item.absent.reads == 0 ||
        sighting.asked >= item.absent.last + this->settings.engine_poll;
    if (spaced)
    {
        ++item.absent.reads;
        item.absent.last = sighting.asked;
    }
}

void order_keeper::note_strays(
    const control_context& context,
    engine_id engine,
    engine_track& track,
    const engine_sighting& sighting)
{
    std::set<replica_id> seen;
    for (const resident& item : sighting.report.residents)
    {
        const std::optional<replica_view> known =
            context.state.replica(item.replica);
        const std::optional<granted_model_view> granted =
            context.state.granted_model(item.replica);
        const bool explained = (known && known->engine == engine) ||
                               (granted && granted->engine == engine);
        // A replica decided beyond what is folded here isn't a stray.
        const bool newer = item.replica.value > context.state.folded().value;
        if (explained || newer || item.state == replica_state::unloading)
        {
            continue;
        }
        seen.insert(item.replica);
        ++track.strays[item.replica].reads;
    }
    std::erase_if(
        track.strays,
        [&](const auto& item)
        {
            return !seen.contains(item.first) && !item.second.order;
        });
}

bool order_keeper::absence_proven(const replica_track& item) const
{
    return item.absent.reads >= agreeing_reads &&
           item.absent.last >= item.baseline + this->settings.report_lag;
}

} // namespace roseworks::detail

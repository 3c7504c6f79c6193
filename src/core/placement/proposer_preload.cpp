// Loads ahead of expected uses; see `preloader`.
#include "core/placement/proposer.hpp"

#include <algorithm>
#include <cstddef>

namespace roseworks::detail
{

namespace
{

/// Interval between checks of the expected uses.
constexpr duration preload_interval = std::chrono::seconds(1);

} // namespace

/// @return Whether a preload may use a slot of the weight store: no replica and
///         no request without a replica waits for one, and another stays free.
bool proposer::may_preload_from_store(const control_context& context) const
{
    const bool awaited = std::any_of(
        this->progress_by_servable.begin(),
        this->progress_by_servable.end(),
        [&](const auto& item)
        {
            const placement_progress& progress = item.second;
            return !progress.pending.empty() ||
                   (this->is_demanded(item.first) &&
                    !this->has_ready(context, item.first));
        });
    if (awaited)
    {
        return false;
    }
    std::size_t held = 0;
    bool waited_for = false;
    context.state.for_each_replica(
        [&](const replica_view& replica)
        {
            held += replica.holds_slot ? 1 : 0;
            waited_for = waited_for || replica.state == replica_state::decided;
        });
    return !waited_for && held + 1 < context.state.policy().store_slots;
}

bool proposer::has_ready(const control_context& context, servable_id id)
{
    bool found = false;
    context.state.for_each_replica_of(
        id,
        [&](const replica_view& replica)
        {
            found = found || replica.state == replica_state::ready;
        });
    return found;
}

void proposer::step_preloads(const control_context& context)
{
    if (context.now < this->next_preloads)
    {
        return;
    }
    this->next_preloads = context.now + preload_interval;
    for (const expected_use& use :
         this->preloads.due(context.state, context.now))
    {
        const std::optional<servable_view> servable =
            context.state.servable(use.servable);
        if (!servable || !this->may_preload_from_store(context))
        {
            continue;
        }
        if (servable->is_adapter && !this->has_ready(context, servable->base))
        {
            const std::optional<servable_view> base =
                context.state.servable(servable->base);
            if (base)
            {
                this->preload(context, *base, use);
            }
            continue;
        }
        this->preload(context, *servable, use);
    }
}

void proposer::preload(
    const control_context& context,
    const servable_view& servable,
    const expected_use& use)
{
    std::size_t held = 0;
    context.state.for_each_replica_of(
        servable.id,
        [&](const replica_view&)
        {
            ++held;
        });
    if (held != 0)
    {
        this->preloads.settle(context.state, servable.id, context.now);
        return;
    }
    const placement_progress& progress =
        this->progress_by_servable[servable.id];
    const std::size_t rank =
        context.rank(rendezvous_domain::proposer, servable.id.value);
    const instant turn =
        preloader::due_since(context.state, use) +
        this->settings.proposer_timeout * static_cast<duration::rep>(rank);
    if (!servable.readable || servable.max_replicas == 0 ||
        context.now < std::max(turn, progress.next_attempt) ||
        context.now < this->load_streaks.not_before(servable.id))
    {
        return;
    }
    const std::optional<place> found =
        this->choose_engine(context, servable, progress, true);
    if (!found)
    {
        return;
    }
    const std::optional<engine_view> engine =
        context.state.engine(found->engine);
    this->decide(context, servable, *engine, found->base, priority::batch);
}

} // namespace roseworks::detail

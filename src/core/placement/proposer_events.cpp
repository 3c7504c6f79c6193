// Applies folded records to the proposer.
#include "core/placement/proposer.hpp"

#include <algorithm>
#include <variant>

namespace roseworks::detail
{

namespace
{

/// Intervals between attempts after rejected decisions.
constexpr duration first_retry_interval = std::chrono::milliseconds(100);
constexpr duration max_retry_interval = std::chrono::seconds(5);

} // namespace

void proposer::folded(const control_context& context, const fold_event& event)
{
    for (const state_change& change : event.changes)
    {
        this->apply_change(context, change);
    }
    this->retry_after_unused_grant(context, event);
    if (!event.handed_out)
    {
        return;
    }
    if (event.result.status != fold_status::accepted)
    {
        std::erase_if(
            this->evictions,
            [&](const auto& item)
            {
                return item.second == event.value.id.sequence;
            });
    }
    const auto* decision = std::get_if<replica_decide>(&event.value.payload);
    if (decision != nullptr)
    {
        this->apply_decision(context, *decision, event);
    }
}

void proposer::apply_change(
    const control_context& context, const state_change& one)
{
    if (one.what == state_change::kind::entity_put ||
        one.what == state_change::kind::entity_removed)
    {
        this->catalogue_changed = true;
    }
    if (one.what != state_change::kind::replica_moved)
    {
        return;
    }
    const std::optional<replica_view> replica =
        context.state.replica(one.replica);
    if (!replica)
    {
        this->evictions.erase(one.replica);
        return;
    }
    placement_progress& progress =
        this->progress_by_servable[replica->servable];
    progress.last_change = context.now;
    if (one.to == replica_state::failed)
    {
        progress.failed_loads[replica->engine] = context.now;
    }
}

void proposer::apply_decision(
    const control_context& context,
    const replica_decide& decision,
    const fold_event& event)
{
    placement_progress& progress =
        this->progress_by_servable[decision.servable];
    progress.pending.erase(event.value.id.sequence);
    if (event.result.status == fold_status::accepted)
    {
        progress.retry_interval = {};
        return;
    }
    progress.retry_interval = std::clamp(
        progress.retry_interval * 2, first_retry_interval, max_retry_interval);
    progress.next_attempt = context.now + progress.retry_interval;
}

void proposer::retry_after_unused_grant(
    const control_context& context, const fold_event& event)
{
    const auto* settled = std::get_if<grant_settle>(&event.value.payload);
    const bool is_returned = settled != nullptr && !settled->used &&
                             event.result.status == fold_status::accepted;
    if (!is_returned)
    {
        return;
    }
    for (auto& [id, progress] : this->progress_by_servable)
    {
        if (this->is_demanded(id) &&
            progress.retry_interval <= first_retry_interval)
        {
            progress.next_attempt =
                std::min(progress.next_attempt, context.now);
        }
    }
}

} // namespace roseworks::detail

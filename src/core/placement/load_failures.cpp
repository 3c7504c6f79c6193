#include "core/placement/load_failures.hpp"

#include <algorithm>
#include <optional>

namespace roseworks::detail
{

namespace
{

constexpr duration first_wait = std::chrono::seconds(5);
constexpr duration longest_wait = std::chrono::minutes(5);
/// Doublings of what a load is given.
constexpr unsigned most_doublings = 4;
/// More failures in a row than this change nothing.
constexpr unsigned longest_streak = 16;

bool is_servable(const state_change& change)
{
    return change.entity == entity_kind::model ||
           change.entity == entity_kind::adapter;
}

} // namespace

void load_failures::folded(
    const control_context& context, const fold_event& event)
{
    for (const state_change& change : event.changes)
    {
        switch (change.what)
        {
        case state_change::kind::replica_moved:
            this->moved(context, change);
            break;
        case state_change::kind::entity_put:
        case state_change::kind::entity_removed:
            if (is_servable(change))
            {
                this->streaks.erase(servable_id(change.entity_id));
            }
            break;
        default:
            break;
        }
    }
}

void load_failures::moved(
    const control_context& context, const state_change& change)
{
    const servable_id servable(change.entity_id);
    if (change.to == replica_state::ready)
    {
        this->streaks.erase(servable);
    }
    else if (change.to == replica_state::failed)
    {
        streak& run = this->streaks[servable];
        run.length = std::min(run.length + 1, longest_streak);
        run.last = context.now;
    }
}

instant load_failures::not_before(servable_id servable) const
{
    const auto run = this->streaks.find(servable);
    if (run == this->streaks.end() || run->second.length < 2)
    {
        return instant{};
    }
    const duration wait = first_wait * (1 << (run->second.length - 2));
    return run->second.last + std::min(wait, longest_wait);
}

int load_failures::patience(servable_id servable) const
{
    const auto run = this->streaks.find(servable);
    return run == this->streaks.end()
               ? 1
               : 1 << std::min(run->second.length, most_doublings);
}

} // namespace roseworks::detail

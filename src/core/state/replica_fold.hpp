#pragma once

#include "core/state/fleet_data.hpp"

#include <roseworks/record.hpp>

/// Folds of the replicas' life cycle and the weight store's slots.
namespace roseworks::detail
{

fold_result fold(fold_context& context, const replica_decide& value);
fold_result fold(fold_context& context, const replica_report& value);

/// Note a replica's move, or with equal states its decision.
void note_move(
    fold_context& context,
    const replica_view& row,
    replica_state from,
    replica_state to,
    session_id session);

/** Move waiting replicas to `loading` while weight-store slots are free.

    Slots that standing grants keep aren't free.

    Slots start at least a load's share of a second apart, in log time.
*/
void grant_slots(fold_context& context);

} // namespace roseworks::detail

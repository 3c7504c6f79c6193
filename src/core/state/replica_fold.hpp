#pragma once

#include "core/state/fleet_data.hpp"

#include <roseworks/record.hpp>

/// Folds of the replicas' life cycle and the weight store's slots.
namespace roseworks::detail
{

fold_result fold(fold_context& context, const replica_decide& value);
fold_result fold(fold_context& context, const replica_report& value);

/** Move waiting replicas to `loading` while weight-store slots are free.

    Slots start at least a load's share of a second apart, in log time.
*/
void grant_slots(fold_context& context);

} // namespace roseworks::detail

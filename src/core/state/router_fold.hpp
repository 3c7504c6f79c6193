#pragma once

#include "core/state/fleet_data.hpp"

#include <roseworks/record.hpp>

/// Folds of sessions and engine leases.
namespace roseworks::detail
{

fold_result
fold(fold_context& context, const router_join& value, const record_id& id);
fold_result fold(fold_context& context, const router_leave& value);
fold_result fold(fold_context& context, const router_gone& value);
fold_result fold(fold_context& context, const session_renew& value);
fold_result fold(fold_context& context, const lease_acquire& value);
fold_result fold(fold_context& context, const lease_release& value);

/// Note that a live session's term begins anew with this record.
void renew(fold_context& context, session_id session);

} // namespace roseworks::detail

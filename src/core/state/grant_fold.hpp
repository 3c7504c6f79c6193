#pragma once

#include "core/state/fleet_data.hpp"

#include <roseworks/record.hpp>

/// Folds of the standing grants.
namespace roseworks::detail
{

fold_result fold(fold_context& context, const grant_open& value);
fold_result fold(fold_context& context, const grant_model& value);
fold_result fold(fold_context& context, const grant_settle& value);

} // namespace roseworks::detail

#pragma once

#include <roseworks/plan.hpp>

namespace roseworks::detail
{

/** Fill in what a plan leads to.

    @param made  The plan; its changes are complete.
    @param state The state it was made against.
    @param after Everything declared once the plan is in force.
*/
void fill_effects(
    plan& made, const fleet_state& state, const desired_fleet& after);

} // namespace roseworks::detail

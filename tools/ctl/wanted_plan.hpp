#pragma once

#include "tools/ctl/command.hpp"

#include <roseworks/plan.hpp>

namespace roseworks::tools
{

/** Read the text of records that the command names.

    @param context The command's.
    @return        Its content; or `input_error` or `text_problems`.
*/
boost::leaf::result<desired_fleet> read_wanted(const command_context& context);

/** Plan from a state to what a text says.

    @param state  The folded state.
    @param wanted The text's content.
    @param prune  Whether what the text doesn't name goes.
    @return       The plan; or an `input_error` when the fold would reject it.
*/
boost::leaf::result<plan>
plan_for(const fleet_state& state, const desired_fleet& wanted, bool prune);

} // namespace roseworks::tools

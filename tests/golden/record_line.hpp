#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/fleet_state.hpp>
#include <roseworks/names.hpp>
#include <roseworks/record.hpp>

#include <string>
#include <string_view>

namespace roseworks::golden
{

/// @return One line that tells a record's content; names come from the state.
std::string to_line(const record& value, const fleet_state& names);

/// @return `accepted`, or `rejected: claim_held, winner #7`, and so on.
std::string to_line(const fold_result& result);

/// @return `load replica 9 of m on e1, fence 7`.
std::string to_line(const engine_order& order, const fleet_state& names);

std::string servable_name(servable_id id, const fleet_state& names);
std::string engine_name(engine_id id, const fleet_state& names);
/// @return The router's name with the session's number, as `r0/5`.
std::string session_name(session_id id, const fleet_state& names);

} // namespace roseworks::golden

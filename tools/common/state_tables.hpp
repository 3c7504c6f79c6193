#pragma once

#include "tools/common/log_history.hpp"

#include <boost/json/value.hpp>

#include <iosfwd>
#include <span>
#include <string_view>
#include <vector>

namespace roseworks::tools
{

/// Rows under column names, for people and for programs.
struct text_table
{
    std::vector<std::string_view> columns;
    std::vector<std::vector<boost::json::value>> rows;
};

/// Writes aligned columns.
std::ostream& operator<<(std::ostream& out, const text_table& table);

/// @return An array with one object a row.
boost::json::value to_json(const text_table& table);

/// One view of the folded state.
struct state_view
{
    std::string_view name;
    text_table (*build)(const log_history& history);
};

/// The views: fleet, models, adapters, replicas, engines, leases, claims,
/// blocks. Claims and blocks are those named by the entries still kept.
std::span<const state_view> state_views();

/// @return The view, null when there is none of that name.
const state_view* find_state_view(std::string_view name);

} // namespace roseworks::tools

#pragma once

#include "adapters/settings/settings_table.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace roseworks::settings
{

/// A value, or the reason why there is none.
struct parsed_value
{
    std::optional<setting_value> value;
    std::string reason;
};

/// Reads a value as its row says and checks its range.
parsed_value parse_value(const setting_row& row, std::string_view text);

/// @return what the row allows, in words: `1 to 64 threads`.
std::string describe_allowed(const setting_row& row);

} // namespace roseworks::settings

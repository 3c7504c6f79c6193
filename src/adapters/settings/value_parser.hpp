#pragma once

#include "adapters/settings/settings_table.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace roseworks::settings
{

/// A parsed value, or the reason why the text was rejected.
struct parsed_value
{
    std::optional<setting_value> value;
    std::string reason;
};

/// Parses a value as the kind of its row and checks its range.
parsed_value parse_value(const setting_row& row, std::string_view text);

/// @return a description of the allowed values, such as `1 to 64 threads`.
std::string describe_allowed(const setting_row& row);

} // namespace roseworks::settings

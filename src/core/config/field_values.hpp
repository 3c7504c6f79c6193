#pragma once

#include "core/config/field_table.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::detail
{

/// Reads and writes one value of each type that a field can have. `read_value`
/// returns empty, or why the text is wrong.

std::string
read_value(std::uint16_t& value, std::string_view text, const field_rule& rule);
std::string
read_value(std::uint32_t& value, std::string_view text, const field_rule& rule);
std::string
read_value(bool& value, std::string_view text, const field_rule& rule);
std::string
read_value(std::string& value, std::string_view text, const field_rule& rule);
std::string
read_value(fencing_kind& value, std::string_view text, const field_rule& rule);
std::string
read_value(priority& value, std::string_view text, const field_rule& rule);
std::string read_value(
    placement_kind& value, std::string_view text, const field_rule& rule);
std::string read_value(
    std::vector<service_backend>& value,
    std::string_view text,
    const field_rule& rule);

std::string write_value(std::uint16_t value);
std::string write_value(std::uint32_t value);
std::string write_value(bool value);
std::string write_value(const std::string& value);
std::string write_value(fencing_kind value);
std::string write_value(priority value);
std::string write_value(placement_kind value);
std::string write_value(const std::vector<service_backend>& value);

/// The value's form, told apart in `field_rule::allowed`.
inline constexpr std::string_view name_form =
    "1 to 64 letters, digits, `.`, `_` or `-`";
inline constexpr std::string_view address_form = "ip:port";
inline constexpr std::string_view yes_no_form = "`yes` or `no`";
inline constexpr std::string_view fencing_form = "`checks` or `ignores`";
inline constexpr std::string_view priority_form =
    "`urgent`, `normal` or `batch`";
inline constexpr std::string_view placement_form =
    "`unset`, `fixed_ttl`, `break_even`, `gap_cost` or `gap_cost_preload`";
inline constexpr std::string_view backends_form =
    "one or more of `ip:port vm data_centre`, separated by `;`";

/// @return The text without blanks around it.
std::string_view trim(std::string_view text);

} // namespace roseworks::detail

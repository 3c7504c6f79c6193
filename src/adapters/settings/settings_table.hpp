#pragma once

#include "adapters/settings/router_settings.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace roseworks::settings
{

/// The type of a value in the file.
enum class value_kind : std::uint8_t
{
    /// Up to 64 letters, digits, `.`, `_` and `-`.
    name,
    path,
    address,
    /// Addresses separated by commas.
    address_list,
    integer,
    /// One of the row's words; the value is the index of the word.
    word
};

/// A parsed value: a string for names and paths, a number for integers and
/// words.
using setting_value = std::variant<
    std::string,
    socket_address,
    std::vector<socket_address>,
    std::int64_t>;

/// The definition of one key of the settings file. The checks, the defaults and
/// docs/SETTINGS.md are all derived from these rows.
struct setting_row
{
    std::string_view section;
    std::string_view key;
    value_kind kind;
    /// The default value. No value: the key is required. Empty text: the key is
    /// unset by default.
    std::optional<std::string_view> default_value;
    /// Bounds of an integer or of the port of an address.
    std::int64_t min;
    std::int64_t max;
    std::string_view unit;
    std::span<const std::string_view> words;
    std::string_view text;
    /// Stores a value of the row's kind in its member of the settings.
    void (*store)(router_settings&, const setting_value&);

    /// @return whether the key may be left empty.
    bool may_be_empty() const
    {
        return this->default_value && this->default_value->empty();
    }
};

/// A condition between keys of one section.
struct setting_rule
{
    std::string_view section;
    /// The keys that the rule compares. A violation is reported at the first of
    /// them that the file contains. Unused elements are empty.
    std::string_view keys[3];
    std::string_view text;
    bool (*holds)(const router_settings&);
};

/// A section of the settings file and its description. The rows are in the
/// order of docs/SETTINGS.md.
struct section_row
{
    std::string_view name;
    std::string_view text;
};

std::span<const section_row> setting_sections();
std::span<const setting_row> setting_rows();
std::span<const setting_rule> setting_rules();

/// @return whether the settings file may contain the section.
bool is_section(std::string_view section);

/// @return the row of a key; null if the key is unknown.
const setting_row* find_row(std::string_view section, std::string_view key);

} // namespace roseworks::settings

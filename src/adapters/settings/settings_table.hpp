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

/// What a value looks like in the file.
enum class value_kind : std::uint8_t
{
    /// Up to 64 letters, digits, `.`, `_` and `-`.
    name,
    path,
    address,
    /// Addresses separated by commas.
    address_list,
    integer,
    /// One of the row's words; its value is the word's position.
    word
};

/// A value as read: text for names and paths, a number for integers and words.
using setting_value = std::variant<
    std::string,
    socket_address,
    std::vector<socket_address>,
    std::int64_t>;

/// One key of the settings file. Checking, defaults and docs/SETTINGS.md all
/// come from these rows.
struct setting_row
{
    std::string_view section;
    std::string_view key;
    value_kind kind;
    /// Empty optional: the key is required. Empty text: unset unless given.
    std::optional<std::string_view> fallback;
    /// Bounds of an integer, or of the ports of addresses.
    std::int64_t min;
    std::int64_t max;
    std::string_view unit;
    std::span<const std::string_view> words;
    std::string_view text;
    /// Puts a value of the row's kind in its place.
    void (*store)(router_settings&, const setting_value&);

    /// @return whether the key may be left empty.
    bool may_be_empty() const
    {
        return this->fallback && this->fallback->empty();
    }
};

/// A condition between keys of one section.
struct setting_rule
{
    std::string_view section;
    /// The keys it looks at; the first is blamed. Unused places are empty.
    std::string_view keys[3];
    std::string_view text;
    bool (*holds)(const router_settings&);
};

/// A section and what it is about, in the order of the reference.
struct section_row
{
    std::string_view name;
    std::string_view text;
};

std::span<const section_row> setting_sections();
std::span<const setting_row> setting_rows();
std::span<const setting_rule> setting_rules();

/// @return whether there is a section of that name.
bool is_section(std::string_view section);

/// @return the row of a key; null when there is none.
const setting_row* find_row(std::string_view section, std::string_view key);

} // namespace roseworks::settings

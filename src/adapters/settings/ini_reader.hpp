#pragma once

#include "adapters/settings/settings_problems.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace roseworks::settings
{

/// A `key = value` line.
struct ini_entry
{
    int line;
    std::string section;
    std::string key;
    std::string value;
};

/// A `[section]` line.
struct ini_section
{
    int line;
    std::string name;
};

/// The lines of an INI text, with those that could not be read as problems.
struct ini_text
{
    std::vector<ini_section> sections;
    std::vector<ini_entry> entries;
    std::vector<settings_problem> problems;
};

/// Reads an INI text line by line with Boost.PropertyTree's reader. That
/// reader forgets line numbers and stops at the first fault; given one line at
/// a time it keeps the grammar, and every fault is found with its line.
/// Duplicates are not looked for.
/// @param text the whole text.
/// @param file the name in problems.
ini_text read_ini(std::string_view text, std::string_view file);

} // namespace roseworks::settings

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

/// The parsed lines of an INI text, and a problem for each line that could not
/// be parsed.
struct ini_text
{
    std::vector<ini_section> sections;
    std::vector<ini_entry> entries;
    std::vector<settings_problem> problems;
};

/// Parses an INI text with Boost.PropertyTree, one line at a time. Its parser
/// does not keep line numbers and stops at the first error; parsing each line
/// separately reports every error with its line. Duplicates are not detected.
/// @param text the whole text.
/// @param file the file name to use in problems.
ini_text read_ini(std::string_view text, std::string_view file);

} // namespace roseworks::settings

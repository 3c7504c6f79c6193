#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace roseworks::settings
{

/// One thing wrong with a settings file.
struct settings_problem
{
    std::string file;
    /// Counted from 1; 0 when it belongs to no line (a missing key).
    int line = 0;
    /// Empty when it belongs to no section.
    std::string section;
    /// Empty when it belongs to no key.
    std::string key;
    /// What is wrong.
    std::string reason;
    /// What would be right: a range, the words, the known keys.
    std::string allowed;
};

/// Error object of `load_router_settings`: every problem of the file, by line;
/// those without a line come last.
struct settings_problems
{
    std::vector<settings_problem> all;
};

/// Writes `router.ini:12: [traffic] max_queued: out of range: 0; allowed: 1 to
/// 1000000 requests`.
std::ostream& operator<<(std::ostream& out, const settings_problem& problem);

/// Writes one problem a line.
std::ostream& operator<<(std::ostream& out, const settings_problems& problems);

} // namespace roseworks::settings

#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace roseworks::settings
{

/// One problem of a settings file.
struct settings_problem
{
    std::string file;
    /// The line number from 1; 0 if the problem has no line (a missing key).
    int line = 0;
    /// Empty if the problem concerns no section.
    std::string section;
    /// Empty if the problem concerns no key.
    std::string key;
    std::string reason;
    /// What is allowed instead: a range, a list of values, the known keys.
    std::string allowed;
};

/// LEAF error object of the functions that load settings: all problems of the
/// file. `load_router_settings` sorts them by line, those without a line last.
struct settings_problems
{
    std::vector<settings_problem> all;
};

/// Writes `router.ini:12: [traffic] max_queued: out of range: 0; allowed: 1 to
/// 1000000 requests`.
std::ostream& operator<<(std::ostream& out, const settings_problem& problem);

/// Writes one problem per line.
std::ostream& operator<<(std::ostream& out, const settings_problems& problems);

} // namespace roseworks::settings

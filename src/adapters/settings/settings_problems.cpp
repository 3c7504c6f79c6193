#include "adapters/settings/settings_problems.hpp"

#include <ostream>

namespace roseworks::settings
{

std::ostream& operator<<(std::ostream& out, const settings_problem& problem)
{
    out << problem.file << ':';
    if (problem.line > 0)
        out << problem.line << ':';
    if (!problem.section.empty())
        out << " [" << problem.section << ']';
    if (!problem.key.empty())
        out << ' ' << problem.key;
    if (!problem.section.empty() || !problem.key.empty())
        out << ':';
    out << ' ' << problem.reason;
    if (!problem.allowed.empty())
        out << "; allowed: " << problem.allowed;
    return out;
}

std::ostream& operator<<(std::ostream& out, const settings_problems& problems)
{
    for (const settings_problem& problem : problems.all)
        out << problem << '\n';
    return out;
}

} // namespace roseworks::settings

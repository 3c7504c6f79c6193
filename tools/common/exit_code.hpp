#pragma once

#include <string>

namespace roseworks::tools
{

/// Exit codes of the operators' programs; part of their interface.
enum class exit_code : int
{
    ok = 0,
    failed = 1,
    bad_input = 2,
    rejected = 3,        ///< lost a race, or the fold found it invalid
    not_in_force = 4,    ///< accepted, but not folded everywhere in time
    log_unavailable = 5, ///< the outcome may be unknown
};

/// Lines for `--help`.
inline constexpr const char* exit_code_help =
    "Exit codes: 0 ok, 1 failure, 2 bad input, 3 lost a race or rejected,\n"
    "4 not in force in time, 5 log unavailable.\n";

/// LEAF error object: what the operator gave is wrong.
struct input_error
{
    std::string what;
};

} // namespace roseworks::tools

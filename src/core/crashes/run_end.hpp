#pragma once

#include <cstdint>
#include <string_view>

namespace roseworks
{

/// How a run on a backend server ended that may have crashed it.
enum class run_end : std::uint8_t
{
    connection, ///< the connection broke
    silence,    ///< the time for an answer passed
    caller,     ///< the caller left
    /// The answer looks complete, but only its connection ended it, as a crash
    /// does.
    closed
};

constexpr std::string_view to_string(run_end end)
{
    switch (end)
    {
    case run_end::connection:
        break;
    case run_end::silence:
        return "silence";
    case run_end::caller:
        return "caller";
    case run_end::closed:
        return "closed";
    }
    return "connection";
}

} // namespace roseworks

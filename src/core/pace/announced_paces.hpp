#pragma once

#include <roseworks/instant.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// The pace of engines as the placement owner announced it. Each expires, so
/// that a router without an owner treats all engines alike in the end.
class announced_paces
{
public:
    static constexpr duration lifetime = std::chrono::seconds(30);

    /// @param percent 0: the owner has no estimate, and the last one is kept.
    void announced(
        std::string_view engine,
        std::int64_t born_ms,
        std::uint32_t percent,
        instant now);

    /// @return The pace of this run of an engine; 100 if none is known.
    std::uint32_t
    percent(std::string_view engine, std::int64_t born_ms, instant now) const;

    /// @return Time at which the pace of an engine expires; `now` if there is
    ///         none.
    instant until(std::string_view engine, instant now) const;

    /// Removes what has expired.
    /// @return Ids of the remaining engines.
    std::vector<std::string> engines(instant now);

private:
    struct entry
    {
        std::int64_t born_ms = 0;
        std::uint32_t percent = 0;
        instant until;
    };

    std::map<std::string, entry, std::less<>> entries;
};

} // namespace roseworks

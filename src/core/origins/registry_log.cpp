#include "core/origins/registry_log.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string_view>

namespace roseworks
{

namespace
{

/// Servers write a little more often than their interval says.
constexpr double shortest_interval_share = 0.9;

struct server_writes
{
    std::size_t first = 0; ///< position of its first write
    std::size_t last = 0;
    std::size_t count = 0;
};

} // namespace

duration time_covered(const registry_log& log, duration interval)
{
    std::map<std::string_view, server_writes> servers;
    for (std::size_t at = 0; at < log.writes.size(); ++at)
    {
        server_writes& one = servers[log.writes[at].server];
        one.first = one.count == 0 ? at : one.first;
        one.last = at;
        ++one.count;
    }
    // Within this many writes, nearly every live server makes one.
    const std::size_t round = 2 * servers.size();
    std::size_t fewest = 0;
    for (const auto& [id, one] : servers)
    {
        const bool wrote_throughout =
            one.first < round && one.last + round >= log.writes.size();
        if (wrote_throughout)
            fewest = fewest == 0 ? one.count : std::min(fewest, one.count);
    }
    if (fewest < 2)
        return duration::zero();
    return std::chrono::duration_cast<duration>(
        interval * (shortest_interval_share * static_cast<double>(fewest - 1)));
}

} // namespace roseworks

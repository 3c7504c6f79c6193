#include "core/trace/trace.hpp"

#include <algorithm>
#include <cstddef>
#include <set>
#include <tuple>
#include <utility>

namespace roseworks
{

std::string_view to_string(traffic_kind kind)
{
    switch (kind)
    {
    case traffic_kind::interactive:
        return "interactive";
    case traffic_kind::companion:
        return "companion";
    case traffic_kind::periodic:
        return "periodic";
    case traffic_kind::burst:
        return "burst";
    case traffic_kind::batch:
        return "batch";
    case traffic_kind::catalogue:
        return "catalogue";
    }
    return "unknown";
}

double wake_or_idle_share(const trace& source)
{
    constexpr duration hour = std::chrono::hours(1);
    std::vector<traced_session> ordered = source.sessions;
    std::sort(
        ordered.begin(),
        ordered.end(),
        [](const traced_session& one, const traced_session& other)
        {
            return std::tie(one.servable, one.begin, one.end) <
                   std::tie(other.servable, other.begin, other.end);
        });
    std::set<std::pair<std::uint32_t, std::int64_t>> restless;
    const auto note = [&](std::uint32_t servable, instant edge)
    {
        if (edge < instant(source.length))
        {
            restless.emplace(servable, edge.time_since_epoch() / hour);
        }
    };
    for (std::size_t i = 0; i < ordered.size();)
    {
        // Sessions that overlap are one waking time.
        const traced_session& first = ordered[i];
        instant end = first.end;
        std::size_t next = i + 1;
        while (next < ordered.size() &&
               ordered[next].servable == first.servable &&
               ordered[next].begin <= end)
        {
            end = std::max(end, ordered[next].end);
            ++next;
        }
        note(first.servable, first.begin);
        note(first.servable, end);
        i = next;
    }
    const double pairs = static_cast<double>(source.servables.size()) *
                         static_cast<double>(source.length / hour);
    return pairs == 0 ? 0 : static_cast<double>(restless.size()) / pairs;
}

} // namespace roseworks

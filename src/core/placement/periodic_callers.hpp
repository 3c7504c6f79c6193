#pragma once

#include "core/placement/preload_source.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace roseworks::detail
{

/** Recognises callers who come back at regular times, and expects them.

    A visit begins with a use after a pause of the same caller and servable.
    Two intervals between visits that agree make a period; for one that is close
    to a day, the first is enough. Memory is bounded: beyond `most_known` pairs
    of a caller and a servable, those not seen for over a day go, and no further
    ones are learned while that doesn't help.
*/
class periodic_callers final : public preload_source
{
public:
    /// Pairs of a caller and a servable that are remembered.
    static constexpr std::size_t most_known = 20'000;

    /// A use after a longer pause begins a visit.
    static constexpr duration visit_pause = std::chrono::minutes(10);

    void
    used(const servable_use& use, std::vector<expected_use>& expected) override;

private:
    struct visits
    {
        instant last_use{};
        instant last_visit{};
        std::optional<duration> interval;
    };

    static bool regular(const visits& known, duration interval);
    bool make_room(instant now);

    std::map<std::pair<std::uint32_t, servable_id>, visits> known_visits;
    instant next_sweep{};
};

} // namespace roseworks::detail

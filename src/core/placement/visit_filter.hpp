#pragma once

#include "core/placement/preload_source.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace roseworks::detail
{

/** Which uses a router tells the proposer of their servable, so that one router
    knows all visits of a caller, through whichever routers they come. A hint.

    A caller's use of a servable is told when none of theirs was for half of
    `visit_pause`: then a visit looks unbroken to the proposer, and a steady
    caller costs one message in that time. Memory is bounded: beyond
   `most_known` pairs of a caller and a servable nothing is told of further ones
   until older ones have run out.
*/
class visit_filter
{
public:
    /// Pairs that are remembered, each for half of `visit_pause`.
    static constexpr std::size_t most_known = 10'000;

    /// @return Whether the proposer should be told of the use.
    bool should_tell(const servable_use& use);

private:
    bool make_room(instant now);

    std::map<std::pair<std::uint32_t, servable_id>, instant> told;
    instant next_sweep{};
};

} // namespace roseworks::detail

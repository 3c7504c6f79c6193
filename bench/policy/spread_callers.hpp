#pragma once

#include "core/placement/periodic_callers.hpp"
#include "core/placement/preload_source.hpp"
#include "core/placement/visit_filter.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace roseworks::bench
{

/// How callers' requests come through several routers.
struct caller_spread
{
    std::uint32_t routers = 1;
    bool each_request = false; ///< a request, not a visit, picks its router
    bool told = false;         ///< routers tell the servable's proposer
};

/** The recognisers of periodic callers on several routers, behind a balancer
    that picks a router at random for each visit or each request.

    Each router learns from the uses that it sees. If they are told, one more
    recogniser, which stands for the servables' proposers, learns from what the
    routers' filters let through.
*/
class spread_callers final : public preload_source
{
public:
    explicit spread_callers(caller_spread spread);

    void
    used(const servable_use& use, std::vector<expected_use>& expected) override;

private:
    struct router
    {
        detail::periodic_callers callers;
        detail::visit_filter filter;
    };

    struct visit
    {
        instant last_use{};
        std::size_t router = 0;
    };

    std::size_t pick(const servable_use& use);

    caller_spread spread;
    std::mt19937_64 random;
    std::vector<router> routers;
    detail::periodic_callers proposers;
    std::map<std::pair<std::uint32_t, servable_id>, visit> visits;
};

} // namespace roseworks::bench

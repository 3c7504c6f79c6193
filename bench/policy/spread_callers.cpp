#include "spread_callers.hpp"

#include <boost/random/uniform_int_distribution.hpp>

namespace roseworks::bench
{

spread_callers::spread_callers(caller_spread wanted)
    : spread(wanted)
    , routers(wanted.routers)
{
}

void spread_callers::used(
    const servable_use& use, std::vector<expected_use>& expected)
{
    router& entry = this->routers[this->pick(use)];
    entry.callers.used(use, expected);
    if (this->spread.told && entry.filter.should_tell(use))
    {
        this->proposers.used(use, expected);
    }
}

/// The router that a use comes through; a new one for each visit or use.
std::size_t spread_callers::pick(const servable_use& use)
{
    const auto [place, is_new] =
        this->visits.try_emplace({use.caller, use.servable});
    visit& known = place->second;
    const bool begins = is_new || use.at - known.last_use >
                                      detail::periodic_callers::visit_pause;
    known.last_use = use.at;
    if (begins || this->spread.each_request)
    {
        boost::random::uniform_int_distribution<std::size_t> any(
            0, this->routers.size() - 1);
        known.router = any(this->random);
    }
    return known.router;
}

} // namespace roseworks::bench

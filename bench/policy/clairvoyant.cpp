#include "clairvoyant.hpp"

#include <algorithm>

namespace roseworks::bench
{

namespace
{

/// A load may be late by so much and is still wanted.
constexpr duration patience = std::chrono::seconds(5);
/// Longest time that a request runs after its arrival, queueing aside.
constexpr duration longest_run = std::chrono::seconds(12);

} // namespace

future_uses::future_uses(const trace& source)
    : by_servable(source.servables.size())
{
    for (const traced_request& request : source.requests)
    {
        this->by_servable[request.servable].push_back(request.at);
        const auto base = source.servables[request.servable].base;
        if (base)
        {
            this->by_servable[*base].push_back(request.at);
        }
    }
}

instant future_uses::next(servable_id servable, instant after) const
{
    const std::vector<instant>& uses = this->by_servable[servable.value - 1];
    const auto found = std::upper_bound(uses.begin(), uses.end(), after);
    return found == uses.end() ? instant::max() : *found;
}

clairvoyant_hold::clairvoyant_hold(
    const future_uses& known, duration wanted_bridge)
    : future(known)
    , bridged(wanted_bridge)
{
}

void clairvoyant_hold::used(servable_id, instant at)
{
    this->now = at;
}

duration
clairvoyant_hold::hold(const servable_view& what, const policy_spec&) const
{
    const instant next = this->future.next(what.id, this->now);
    if (next == instant::max() || next - this->now > this->bridged)
    {
        return duration::zero();
    }
    return next - this->now + longest_run;
}

double clairvoyant_hold::eviction_value(
    const servable_view& what, duration, const policy_spec&) const
{
    const instant next = this->future.next(what.id, this->now);
    return static_cast<double>(
        (std::min(next, this->now + std::chrono::hours(1000)) - this->now)
            .count());
}

clairvoyant_preload::clairvoyant_preload(const future_uses& known)
    : future(known)
{
}

void clairvoyant_preload::used(
    const servable_use& use, std::vector<expected_use>& expected)
{
    const instant next = this->future.next(use.servable, use.at);
    if (next != instant::max())
    {
        expected.push_back({use.servable, next, next + patience});
    }
}

} // namespace roseworks::bench

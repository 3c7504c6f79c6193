#include "core/placement/gap_cost.hpp"

#include <algorithm>
#include <cstddef>
#include <limits>

namespace roseworks::detail
{

namespace
{

constexpr double reference_load_ms = 10'000;
constexpr double full_weight = 100;
constexpr double least_ratio = 0.05;
constexpr double greatest_ratio = 20;
/// Gaps of all servables count as so many of the servable's own.
constexpr double prior_gaps = 5;
constexpr duration shortest_hold = std::chrono::seconds(1);

double idle_ratio(const policy_spec& policy)
{
    const double idle = policy.idle_weight;
    return idle <= 0
               ? greatest_ratio
               : std::clamp(
                     (full_weight - idle) / idle, least_ratio, greatest_ratio);
}

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

gap_cost::gap_cost(duration wanted)
    : reference(wanted)
{
}

void gap_cost::used(servable_id id, instant now)
{
    auto& known = this->past.use(id);
    if (known.last_use != instant{})
    {
        const duration gap = now - known.last_use;
        known.value.add(gap);
        this->all.add(gap);
    }
    known.last_use = now;
}

duration
gap_cost::hold(const servable_view& what, const policy_spec& policy) const
{
    const double load =
        std::max(1.0, static_cast<double>(what.load_estimate_ms));
    const double even = seconds(this->reference) * idle_ratio(policy) * load /
                        reference_load_ms;
    if (this->all.total() == 0)
    {
        return duration(static_cast<duration::rep>(even * 1e6));
    }
    static const small_gap_histogram no_gaps;
    const auto* known = this->past.find(what.id);
    const small_gap_histogram& own = known == nullptr ? no_gaps : known->value;
    const double share = prior_gaps / this->all.total();

    // The candidates are the bins' edges and not to hold at all; `within` and
    // `beyond` are the gaps that a candidate spans and those that it doesn't.
    double beyond = prior_gaps + own.total();
    double within_cost = 0;
    double best_hold = seconds(shortest_hold);
    double best_cost = beyond * (best_hold + even);
    for (std::size_t bin = 0; bin + 1 < gap_histogram::bins; ++bin)
    {
        const double count = own.count(bin) + share * this->all.count(bin);
        const double edge = seconds(gap_histogram::upper_edge(bin));
        beyond -= count;
        within_cost += count * edge;
        const double cost = within_cost + beyond * (edge + even);
        if (cost < best_cost)
        {
            best_cost = cost;
            best_hold = edge;
        }
    }
    return duration(static_cast<duration::rep>(best_hold * 1e6));
}

double gap_cost::eviction_value(
    const servable_view& what, duration idle, const policy_spec& policy) const
{
    return seconds(idle) / std::max(1e-3, seconds(this->hold(what, policy)));
}

} // namespace roseworks::detail

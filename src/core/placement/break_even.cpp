#include "core/placement/break_even.hpp"

#include <algorithm>

namespace roseworks::detail
{

namespace
{

/// Load time for which the hold at equal weights is the reference.
constexpr double reference_load_ms = 10'000.0;
/// Uses closer together than this belong to one burst.
constexpr duration burst_gap = std::chrono::seconds(1);
/// Share of the newest gap in the moving average.
constexpr double newest_share = 0.25;
/// A return expected within this many break-evens is waited for.
constexpr double worth_waiting = 2.0;
/// Margin over the mean gap when waiting for a return.
constexpr double gap_margin = 1.5;
/// Share of the break-even kept when no return is expected in time.
constexpr double hopeless_share = 0.25;
/// Bounds of the weights' ratio, so that neither cost is ignored.
constexpr double least_ratio = 0.05;
constexpr double greatest_ratio = 20.0;
constexpr double full_weight = 100.0;

} // namespace

break_even::break_even(duration ttl)
    : reference_ttl(ttl)
{
}

void break_even::used(servable_id id, instant now)
{
    auto& known = this->past.use(id);
    const duration gap = now - known.last_use;
    const bool first = known.last_use == instant{};
    known.last_use = now;
    if (first || gap < burst_gap)
    {
        return;
    }
    const auto length = static_cast<double>(gap.count());
    known.value = known.value
                      ? *known.value + newest_share * (length - *known.value)
                      : length;
}

double break_even::break_even_us(
    const servable_view& what, const policy_spec& policy) const
{
    const double idle = policy.idle_weight;
    const double ratio =
        idle <= 0.0
            ? greatest_ratio
            : std::clamp(
                  (full_weight - idle) / idle, least_ratio, greatest_ratio);
    const double load =
        std::max(1.0, static_cast<double>(what.load_estimate_ms));
    return static_cast<double>(this->reference_ttl.count()) * ratio * load /
           reference_load_ms;
}

duration
break_even::hold(const servable_view& what, const policy_spec& policy) const
{
    const double even = this->break_even_us(what, policy);
    const auto* known = this->past.find(what.id);
    double length = even;
    if (known != nullptr && known->value)
    {
        const double gap = *known->value;
        length = gap <= worth_waiting * even ? std::max(even, gap_margin * gap)
                                             : hopeless_share * even;
    }
    return duration(static_cast<duration::rep>(length));
}

double break_even::eviction_value(
    const servable_view& what, duration idle, const policy_spec& policy) const
{
    const auto kept = static_cast<double>(this->hold(what, policy).count());
    return static_cast<double>(idle.count()) / std::max(1.0, kept);
}

} // namespace roseworks::detail

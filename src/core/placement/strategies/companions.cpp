#include "core/placement/strategies/companions.hpp"

namespace roseworks::detail
{

namespace
{

constexpr duration visit_pause = std::chrono::minutes(10);
/// The second follows the first within this time, or it isn't its companion.
constexpr duration follow_time = std::chrono::minutes(6);
/// Visits to the first before anything is concluded.
constexpr std::uint32_t least_visits = 2;

} // namespace

companions::companions(double wanted_share)
    : least_share(wanted_share)
{
}

void companions::used(
    const servable_use& use, std::vector<expected_use>& expected)
{
    const auto [last, is_new] =
        this->last_use.try_emplace({use.caller, use.servable}, use.at);
    const bool begins = is_new || use.at - last->second > visit_pause;
    last->second = use.at;
    if (!begins)
    {
        return;
    }
    const auto before = this->last_visit.find(use.caller);
    if (before != this->last_visit.end() &&
        before->second.servable != use.servable &&
        use.at - before->second.at <= follow_time)
    {
        ++this->follows[{use.caller, before->second.servable}]
              .next[use.servable];
    }
    this->last_visit[use.caller] = {use.servable, use.at};

    follow_count& known = this->follows[{use.caller, use.servable}];
    for (const auto& [next, count] : known.next)
    {
        const bool usual = known.visits >= least_visits &&
                           count >= this->least_share * known.visits;
        if (usual)
        {
            expected.push_back({next, use.at, use.at + follow_time});
        }
    }
    ++known.visits;
}

} // namespace roseworks::detail

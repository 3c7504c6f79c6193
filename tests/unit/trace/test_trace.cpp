#include "core/trace/trace.hpp"
#include "core/trace/trace_generator.hpp"
#include "core/trace/trace_profile.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <tuple>

#include <criterion/criterion.h>

using namespace roseworks;

namespace
{

trace make(std::string_view name, std::uint64_t seed)
{
    const auto profile = find_trace_profile(name, 400);
    cr_assert(profile.has_value());
    return generate_trace(*profile, seed);
}

auto fields(const traced_request& item)
{
    return std::tie(
        item.at,
        item.servable,
        item.caller,
        item.urgency,
        item.kind,
        item.prompt_chars,
        item.output_tokens);
}

bool same(const trace& one, const trace& other)
{
    return std::equal(
        one.requests.begin(),
        one.requests.end(),
        other.requests.begin(),
        other.requests.end(),
        [](const traced_request& a, const traced_request& b)
        {
            return fields(a) == fields(b);
        });
}

} // namespace

Test(trace, same_for_a_seed_and_another_for_another)
{
    const trace first = make("cooperative", 7);
    cr_assert(same(first, make("cooperative", 7)));
    cr_assert(!same(first, make("cooperative", 8)));
}

Test(trace, sizes_of_today)
{
    const trace consortium = make("consortium", 1);
    cr_assert_eq(consortium.servables.size(), 220);
    cr_assert_eq(consortium.store_loads_per_second, 15);
    cr_assert_eq(consortium.store_slots, 4);
    const trace cooperative = make("cooperative", 1);
    cr_assert_eq(cooperative.servables.size(), 105);
    cr_assert_eq(cooperative.store_loads_per_second, 8);
    cr_assert_eq(cooperative.store_slots, 4);
    cr_assert(!find_trace_profile("nobody"));
    cr_assert(!find_trace_profile("scaled", 0));
}

Test(trace, wakes_and_falls_idle_at_the_users_rate)
{
    for (const char* name : {"consortium", "cooperative", "scaled"})
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
        {
            const double share = wake_or_idle_share(make(name, seed));
            cr_expect_float_eq(share, 0.29, 0.01, "%s %f", name, share);
        }
    }
}

Test(trace, requests_are_in_order_and_in_range)
{
    const trace item = make("consortium", 3);
    instant last{};
    for (const traced_request& request : item.requests)
    {
        cr_assert(request.at >= last);
        cr_assert(request.at < instant(item.length));
        cr_assert_lt(request.servable, item.servables.size());
        last = request.at;
    }
    for (const traced_servable& servable : item.servables)
    {
        cr_assert_gt(servable.load_ms, 0);
        cr_assert(
            !servable.base || !item.servables[*servable.base].base.has_value());
    }
}

Test(trace, holds_every_kind_of_traffic)
{
    std::set<traffic_kind> kinds;
    for (const traced_request& request : make("cooperative", 2).requests)
    {
        kinds.insert(request.kind);
        const bool overnight = request.kind == traffic_kind::batch;
        cr_assert(!overnight || request.urgency == priority::batch);
    }
    cr_assert_eq(kinds.size(), 6);
}

Test(trace, popularity_is_uneven)
{
    std::map<std::uint32_t, std::size_t> counts;
    const trace item = make("consortium", 4);
    for (const traced_request& request : item.requests)
    {
        ++counts[request.servable];
    }
    std::vector<std::size_t> sorted;
    for (const auto& [servable, count] : counts)
    {
        sorted.push_back(count);
    }
    std::sort(sorted.rbegin(), sorted.rend());
    std::size_t top = 0;
    for (std::size_t i = 0; i < sorted.size() / 10; ++i)
    {
        top += sorted[i];
    }
    cr_assert_gt(top * 4, item.requests.size(), "a tenth has a quarter");
}

#include "core/state/closed_claims.hpp"

#include <map>
#include <random>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::detail;

// A claim that is kept and not found would run its call twice.
Test(closed_claims, each_is_found_until_it_is_forgotten)
{
    constexpr stamp_ms day = 24 * 3600 * 1000;
    constexpr stamp_ms step = 20'000;
    std::mt19937_64 random(7);
    closed_claims claims;
    std::map<claim_key, stamp_ms> kept;
    for (stamp_ms now = day; now < 3 * day; now += step)
    {
        // Some calls were long: they count from up to half a day before.
        const bool was_long = random() % 4 == 0;
        const stamp_ms from =
            was_long ? now - static_cast<stamp_ms>(random() % (day / 2)) : now;
        const claim_key key{random(), random()};
        claims.insert({key}, from);
        kept.emplace(key, from);
        claims.forget_until(
            now - day,
            [&](const claim_key& gone)
            {
                cr_assert_leq(kept.at(gone), now - day);
                kept.erase(gone);
            });
    }
    cr_assert_eq(claims.size(), kept.size());
    for (const auto& [key, from] : kept)
    {
        const closed_claim* found = claims.find(key);
        cr_assert(found != nullptr && found->key == key);
        cr_assert(claims.find({key.high, key.low + 1}) == nullptr);
    }
}

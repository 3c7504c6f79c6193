#include <roseworks/rendezvous.hpp>

#include <map>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;

namespace
{

std::vector<session_id> sessions(std::uint64_t count)
{
    std::vector<session_id> all;
    for (std::uint64_t id = 1; id <= count; ++id)
    {
        all.emplace_back(id * 17);
    }
    return all;
}

rendezvous_key engine_key(std::uint64_t value)
{
    return {rendezvous_domain::engine_lease, value};
}

} // namespace

Test(rendezvous, spreads_keys_evenly)
{
    const auto alive = sessions(9);
    std::map<session_id, int> chosen;
    for (std::uint64_t key = 1; key <= 9'000; ++key)
    {
        ++chosen[rendezvous_choice(engine_key(key), alive)];
    }
    cr_expect_eq(chosen.size(), 9);
    for (const auto& [session, count] : chosen)
    {
        cr_expect(count > 800 && count < 1'200, "%d keys", count);
    }
}

Test(rendezvous, only_keys_of_a_lost_session_move)
{
    const auto before = sessions(9);
    auto after = before;
    const session_id lost = after[4];
    after.erase(after.begin() + 4);
    for (std::uint64_t key = 1; key <= 1'000; ++key)
    {
        const session_id old = rendezvous_choice(engine_key(key), before);
        const session_id now = rendezvous_choice(engine_key(key), after);
        cr_expect(old == lost || old == now);
    }
}

Test(rendezvous, ranks_agree_with_the_choice_and_name_each_place_once)
{
    const auto alive = sessions(5);
    for (std::uint64_t key = 1; key <= 50; ++key)
    {
        std::vector<bool> taken(alive.size());
        for (const session_id session : alive)
        {
            const std::size_t rank =
                rendezvous_rank(engine_key(key), alive, session);
            cr_assert_lt(rank, alive.size());
            cr_expect_not(taken[rank]);
            taken[rank] = true;
            cr_expect_eq(
                rank == 0,
                rendezvous_choice(engine_key(key), alive) == session);
        }
    }
}

Test(rendezvous, nobody_alive_names_nobody)
{
    cr_expect_not(static_cast<bool>(rendezvous_choice(engine_key(1), {})));
}

Test(rendezvous, authors_are_stable)
{
    cr_expect(author_of("r1") == author_of("r1"));
    cr_expect(author_of("r1") != author_of("r2"));
}

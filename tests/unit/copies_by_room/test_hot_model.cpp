#include "hot_model_replay.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

// Guards against a model with 60 requests per second that gets too few copies.
Test(hot_model, gets_the_copies_for_60_requests_per_second_7_routers)
{
    play_hot_model(7, 60);
}

Test(hot_model, gets_the_copies_for_60_requests_per_second_84_routers)
{
    play_hot_model(84, 60);
}

Test(hot_model, gets_the_copies_for_60_requests_per_second_300_routers)
{
    play_hot_model(300, 60);
}

// Guards against a model that stays on few engines although its requests need
// more than all engines with its weights.
Test(hot_model, gets_the_copies_for_256_requests_per_second_7_routers)
{
    play_hot_model(7, 256);
}

Test(hot_model, gets_the_copies_for_256_requests_per_second_84_routers)
{
    play_hot_model(84, 256);
}

// Guards against copies of silent models that keep the memory from rising ones.
Test(shifting_demand, copies_follow_three_shifts_in_30_s_7_routers)
{
    expect_nearly_full_knowledge(shifting_load(7));
}

Test(shifting_demand, copies_follow_three_shifts_in_30_s_84_routers)
{
    expect_nearly_full_knowledge(shifting_load(84));
}

Test(shifting_demand, copies_follow_three_shifts_in_30_s_300_routers)
{
    expect_nearly_full_knowledge(shifting_load(300));
}

#include "hot_model_replay.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

Test(hot_model, gets_the_copies_for_256_requests_per_second_300_routers)
{
    play_hot_model(300, 256);
}

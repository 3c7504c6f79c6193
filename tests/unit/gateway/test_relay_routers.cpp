#include "app/gateway/relay_routers.hpp"

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;

namespace
{

const std::vector<router_address> all{
    {"self", "10.0.0.1:7380", 1, "a"},
    {"near", "10.0.0.2:7380", 1, "a"},
    {"far", "[fd00::3]:7380", 1, "b"},
    {"broken", "nowhere", 1, "b"}};

} // namespace

Test(relay_routers, are_the_other_routers_at_the_port_of_this_one)
{
    const relay_routers found = find_relay_routers(all, "self", 7381);
    cr_assert_eq(found.routers.size(), 2);
    cr_assert_eq(found.routers[0].name, "near");
    cr_assert_eq(found.routers[0].address, "10.0.0.2:7381");
    cr_assert_eq(found.routers[0].data_centre, "a");
    cr_assert_eq(found.routers[1].address, "[fd00::3]:7381");
    cr_assert_eq(found.addresses.size(), 2);
}

Test(relay_routers, are_none_if_connections_are_not_relayed)
{
    const relay_routers found = find_relay_routers(all, "self", 0);
    cr_assert(found.routers.empty());
    cr_assert(found.addresses.empty());
}

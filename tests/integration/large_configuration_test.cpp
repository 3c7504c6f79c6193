// Gateways as real processes before a stand-in of the platform's store.

#include "tests/support/gateway_process.hpp"
#include "tests/support/platform_store.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks::test;
using namespace std::chrono_literals;

namespace
{

constexpr const char* config_topic = "keyed.op";
constexpr const char* router_topic = "keyed.routers";
constexpr int data_centres = 5;
constexpr int routers = 15;
constexpr int routes = 4'250; ///< of some 200 bytes each
constexpr int max_store_reads = 8;

/// @param last Path of the last route, the only one that versions change.
std::string configuration(int version, const std::string& last)
{
    std::string text =
        R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (int i = 0; i < routes; ++i)
    {
        const std::string number = std::to_string(i);
        const std::string path =
            i + 1 == routes ? last : "/path" + number + "/";
        text += (i == 0 ? "" : ",") + (R"({"name":"route-)" + number) +
                R"(","host":"a.example","path_prefix":")" + path +
                R"(","kind":"idempotent","timeout_ms":1000,"goal_ms":150,)" +
                R"("max_attempts":3,"priority":1,"service":"service-of-)" +
                R"(many-routes-)" + std::to_string(i % 3) + R"("})";
    }
    return text + R"(],"services":[{"name":"service-of-many-routes-0"},)" +
           R"({"name":"service-of-many-routes-1"},)" +
           R"({"name":"service-of-many-routes-2"}]})";
}

using fleet = std::vector<std::unique_ptr<gateway_process>>;

fleet start_routers(const platform_store& store)
{
    fleet all;
    for (int i = 0; i < routers; ++i)
        all.push_back(
            std::make_unique<gateway_process>(gateway_process::options{
                "large-" + std::to_string(i),
                store.address(0),
                "dc-" + std::to_string(i % data_centres)}));
    return all;
}

template <class Condition>
bool is_met_by_all(const fleet& all, Condition condition)
{
    constexpr int max_checks = 400;
    for (int i = 0; i < max_checks; ++i)
    {
        const bool is_met = std::ranges::all_of(
            all,
            [&](const auto& one)
            {
                return condition(*one);
            });
        if (is_met)
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

} // namespace

/// Each router read a version of 0.9 MB from the store for one changed route,
/// so that the last router had it seconds later.
Test(
    large_configuration,
    a_change_of_one_route_is_read_from_the_store_by_few_routers)
{
    platform_store store(1);
    store.write(config_topic, "config", configuration(1, "/old/"));
    const fleet all = start_routers(store);
    cr_assert(is_met_by_all(
        all,
        [&](const gateway_process& one)
        {
            return one.ask("/old/x") != 404 &&
                   store.keys(router_topic) == routers;
        }));
    // All routers know each other, and one of them owns placement.
    std::this_thread::sleep_for(3s);
    const int before = store.answers_with_records(config_topic);
    store.write(config_topic, "config", configuration(2, "/new/"));
    cr_assert(is_met_by_all(
        all,
        [](const gateway_process& one)
        {
            return one.ask("/new/x") != 404;
        }));
    const int reads = store.answers_with_records(config_topic) - before;
    cr_assert_leq(reads, max_store_reads, "%d reads of the store", reads);
}

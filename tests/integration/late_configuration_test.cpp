// Gateways as real processes before a stand-in of the platform's store.

#include "tests/support/gateway_process.hpp"
#include "tests/support/platform_store.hpp"

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
constexpr const char* registry_topic = "keyed.servers";
constexpr const char* router_topic = "keyed.routers";

std::string configuration(int version, const std::vector<std::string>& paths)
{
    std::string routes;
    for (const std::string& path : paths)
    {
        routes += routes.empty() ? "" : ",";
        routes += R"({"name":"r)" + std::to_string(routes.size()) +
                  R"(","host":"a.example","path_prefix":")" + path +
                  R"(","kind":"idempotent","timeout_ms":1000,"service":"s"})";
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           routes + R"(],"services":[{"name":"s"}]})";
}

std::string server_entry(int number)
{
    return R"({"service":"s","address":"127.0.0.1:)" + std::to_string(number) +
           R"(","zone":"dc","version":"1","slots":4,"state":"ready","seq":1})";
}

template <class Reached>
bool reached(Reached is_reached)
{
    constexpr int most_looks = 400;
    for (int i = 0; i < most_looks; ++i)
    {
        if (is_reached())
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

} // namespace

/// A router that the store turned away kept the configuration before for as
/// long as that took, while all others had the next one.
Test(
    late_configuration,
    who_the_store_turns_away_gets_the_configuration_from_another_router)
{
    platform_store store(2);
    store.write(config_topic, "config", configuration(1, {"/a/"}));
    store.write(registry_topic, "i-1", server_entry(1));
    const gateway_process first({"late-a", store.address(0)});
    cr_assert(reached(
        [&]
        {
            return first.is_ready();
        }));
    const gateway_process second({"late-b", store.address(1)});
    cr_assert(reached(
        [&]
        {
            return second.is_ready() && store.keys(router_topic) == 2;
        }));
    cr_assert_eq(second.ask("/b/x"), 404);
    store.turn_away(1);
    store.write(config_topic, "config", configuration(2, {"/a/", "/b/"}));
    cr_assert(reached(
        [&]
        {
            return first.ask("/b/x") != 404;
        }));
    cr_assert(reached(
        [&]
        {
            return second.ask("/b/x") != 404;
        }));
}

/// Three hundred routers that each listed three thousand entries left the
/// store no time for a configuration.
Test(
    late_configuration,
    routers_that_start_beside_others_copy_the_registry_from_them)
{
    constexpr int servers = 700;
    constexpr int running = 4;
    constexpr int starting = 8;
    platform_store store(1);
    store.write(config_topic, "config", configuration(1, {"/a/"}));
    for (int i = 1; i <= servers; ++i)
        store.write(registry_topic, "i-" + std::to_string(i), server_entry(i));
    std::vector<std::unique_ptr<gateway_process>> all;
    const auto start = [&](const std::string& name)
    {
        all.push_back(std::make_unique<gateway_process>(
            gateway_process::options{name, store.address(0)}));
    };
    const auto all_ready = [&]
    {
        for (const auto& one : all)
        {
            if (!one->is_ready())
                return false;
        }
        return true;
    };
    for (int i = 0; i < running; ++i)
        start("copy-a" + std::to_string(i));
    cr_assert(reached(all_ready));
    const int before = store.listings(registry_topic);
    for (int i = 0; i < starting; ++i)
        start("copy-b" + std::to_string(i));
    cr_assert(reached(all_ready));
    const int listings = store.listings(registry_topic) - before;
    cr_assert_lt(listings, starting / 2, "%d listings", listings);
}

// Compares two ways to enforce the rate limit of one server across many
// routers. Prints the most requests in a window, the used fraction of the
// limit, the number of refused requests and the message rate.

#include "limited_fleet.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <string>

namespace
{

using namespace roseworks;
using namespace roseworks::testing;

constexpr double per_second = 1.9;
constexpr double load_per_engine = 7; ///< requests per second to each engine
constexpr duration warm_up = 3s;
constexpr duration length = 20s;

struct load_case
{
    const char* name;
    std::size_t engines;
    double per_second;   ///< rate of callers' requests
    std::size_t at_last; ///< number of routers with callers; 0: all
};

void measure(quota_mode mode, const load_case& load, std::size_t routers)
{
    limited_fleet::options config;
    config.routers = routers;
    config.engines = load.engines;
    config.per_second = per_second;
    config.mode = mode;
    limited_fleet fleet(config);
    fleet.send(warm_up, load.per_second, load.at_last);
    fleet.announce_limit(true);
    const std::size_t messages_before = fleet.message_count();
    fleet.send(length, load.per_second, load.at_last);
    const double seconds = std::chrono::duration<double>(length).count();
    const std::string name =
        std::string(load.name) +
        (mode == quota_mode::accountant ? ".accountant." : ".own_share.") +
        std::to_string(routers);
    const auto message_count =
        static_cast<double>(fleet.message_count() - messages_before);
    std::cout << name << ".worst_window=" << fleet.worst_window()
              << " requests\n"
              << name << ".allowed=" << fleet.allowed() << " requests\n"
              << name << ".used="
              << static_cast<double>(fleet.arrived_within(length)) /
                     (per_second * seconds)
              << " share\n"
              << name << ".refused=" << fleet.refused() << " requests\n"
              << name << ".words="
              << message_count / static_cast<double>(routers) / seconds
              << " a VM and second\n";
}

} // namespace

int main()
{
    const load_case cases[] = {
        {"one_of_three", 3, 3 * load_per_engine, 0},
        {"only_engine", 1, 4, 0},
        {"only_engine_few_routers", 1, 4, 3}};
    for (const load_case& load : cases)
    {
        for (const std::size_t routers : {7, 65, 300})
        {
            measure(quota_mode::accountant, load, routers);
            measure(quota_mode::local_share, load, routers);
        }
    }
}

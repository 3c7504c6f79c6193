// How two ways keep the rate limit of one server over many routers: the most
// requests in a window, what of the limit is used, what is refused, and words.

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
constexpr double usual = 7; ///< requests a second to each engine
constexpr duration warm_up = 3s;
constexpr duration length = 20s;

struct load_case
{
    const char* name;
    std::size_t engines;
    double per_second;   ///< callers' requests
    std::size_t at_last; ///< at so many routers; 0: at all
};

void measure(quota_mode mode, const load_case& what, std::size_t routers)
{
    limited_fleet::options chosen;
    chosen.routers = routers;
    chosen.engines = what.engines;
    chosen.per_second = per_second;
    chosen.mode = mode;
    limited_fleet fleet(chosen);
    fleet.send(warm_up, what.per_second, what.at_last);
    fleet.name_limit(true);
    const std::size_t words_before = fleet.words();
    fleet.send(length, what.per_second, what.at_last);
    const double seconds = std::chrono::duration<double>(length).count();
    const std::string name =
        std::string(what.name) +
        (mode == quota_mode::accountant ? ".accountant." : ".own_share.") +
        std::to_string(routers);
    const auto words = static_cast<double>(fleet.words() - words_before);
    std::cout << name << ".worst_window=" << fleet.worst_window()
              << " requests\n"
              << name << ".allowed=" << fleet.allowed() << " requests\n"
              << name << ".used="
              << static_cast<double>(fleet.arrived_within(length)) /
                     (per_second * seconds)
              << " share\n"
              << name << ".refused=" << fleet.refused() << " requests\n"
              << name
              << ".words=" << words / static_cast<double>(routers) / seconds
              << " a VM and second\n";
}

} // namespace

int main()
{
    const load_case cases[] = {
        {"one_of_three", 3, 3 * usual, 0},
        {"only_engine", 1, 4, 0},
        {"only_engine_few_routers", 1, 4, 3}};
    for (const load_case& what : cases)
    {
        for (const std::size_t routers : {7, 65, 300})
        {
            measure(quota_mode::accountant, what, routers);
            measure(quota_mode::local_share, what, routers);
        }
    }
}

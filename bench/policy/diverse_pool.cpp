#include "diverse_pool.hpp"

#include <cstddef>
#include <string>
#include <utility>

namespace roseworks::bench
{

namespace
{

/// Two of five are replaced, each by two.
constexpr std::size_t group = 5;
constexpr std::size_t kept_of_group = 3;
constexpr std::uint32_t for_each_replaced = 2;
/// The paper's figure 4 bounds the price between 0.25 and 0.42.
constexpr double cheap_price = 1.0 / 3.0;
/// Relaxation of the latency target by which the paper picks cheaper types.
constexpr double cheap_slowdown = 1.3;

traced_engine make_cheaper(const traced_engine& replaced)
{
    traced_engine cheaper = replaced;
    cheaper.memory_mib /= for_each_replaced;
    cheaper.host_cache_mib /= for_each_replaced;
    cheaper.disk_cache_mib /= for_each_replaced;
    cheaper.price = cheap_price;
    cheaper.slowdown = cheap_slowdown;
    return cheaper;
}

} // namespace

trace make_diverse_pool(const trace& source)
{
    trace diverse = source;
    diverse.engines.clear();
    for (std::size_t i = 0; i < source.engines.size(); ++i)
    {
        if (i % group < kept_of_group)
        {
            diverse.engines.push_back(source.engines[i]);
            continue;
        }
        for (std::uint32_t one = 0; one < for_each_replaced; ++one)
        {
            traced_engine cheaper = make_cheaper(source.engines[i]);
            cheaper.name += "-" + std::to_string(one + 1);
            diverse.engines.push_back(std::move(cheaper));
        }
    }
    return diverse;
}

} // namespace roseworks::bench

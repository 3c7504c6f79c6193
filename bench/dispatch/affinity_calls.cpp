#include "affinity_calls.hpp"

namespace roseworks::bench
{

namespace
{

constexpr std::size_t prefix_count = 400;
constexpr double mean_decode_us = 500'000;

/// Hashes the number of a prefix; never 0, which stands for no prefix.
std::uint64_t prefix_hash(std::uint64_t prefix)
{
    std::uint64_t value = prefix + 0x9E3779B97F4A7C15ULL;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
    return (value ^ (value >> 31)) | 1;
}

} // namespace

std::vector<affinity_call> make_affinity_calls(
    double rate,
    instant from,
    instant until,
    std::size_t routers,
    std::mt19937_64& random)
{
    std::vector<double> weights;
    for (std::size_t i = 1; i <= prefix_count; ++i)
    {
        weights.push_back(1 / static_cast<double>(i));
    }
    std::discrete_distribution<std::uint64_t> prefix(
        weights.begin(), weights.end());
    std::exponential_distribution<double> gap(rate / 1e6);
    std::exponential_distribution<double> decode(1 / mean_decode_us);
    std::vector<affinity_call> calls;
    instant at = from;
    while (at < until)
    {
        at += duration(static_cast<duration::rep>(gap(random)) + 1);
        affinity_call one;
        one.at = at;
        one.router = random() % routers;
        one.prefix = prefix_hash(prefix(random));
        one.decode = duration(static_cast<duration::rep>(decode(random)));
        calls.push_back(one);
    }
    return calls;
}

} // namespace roseworks::bench

#include "adapters/edge/edge_context.hpp"

#include <array>
#include <cstdio>

namespace roseworks::edge
{

namespace
{

/// The bijective mixing function of splitmix64.
std::uint64_t splitmix64(std::uint64_t value)
{
    value += 0x9E3779B97F4A7C15ULL;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31);
}

} // namespace

std::string edge_context::next_request_id()
{
    const std::uint64_t number = ++this->last_request_number;
    std::array<char, 40> text{};
    const int size = std::snprintf(
        text.data(),
        text.size(),
        "%016llx%08llx",
        static_cast<unsigned long long>(
            splitmix64(this->options.request_id_seed)),
        static_cast<unsigned long long>(number));
    return {text.data(), static_cast<std::size_t>(size)};
}

} // namespace roseworks::edge

#include "adapters/platform/backoff.hpp"

#include <algorithm>

namespace roseworks::platform
{

backoff::backoff(
    std::chrono::milliseconds first_delay,
    std::chrono::milliseconds longest_delay,
    std::uint64_t seed)
    : first(first_delay)
    , longest(std::max(first_delay, longest_delay))
    , current(first_delay)
    , random(seed)
{
}

std::chrono::milliseconds backoff::next()
{
    const auto whole = this->current;
    this->current = std::min(whole * 2, this->longest);
    std::uniform_int_distribution<std::chrono::milliseconds::rep> cut(
        whole.count() / 2, whole.count());
    return std::chrono::milliseconds(cut(this->random));
}

void backoff::reset()
{
    this->current = this->first;
}

} // namespace roseworks::platform

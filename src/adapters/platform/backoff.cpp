#include "adapters/platform/backoff.hpp"

#include <algorithm>

namespace roseworks::platform
{

backoff::backoff(
    std::chrono::milliseconds first_delay,
    std::chrono::milliseconds maximum_delay,
    std::uint64_t seed)
    : first(first_delay)
    , maximum(std::max(first_delay, maximum_delay))
    , current(first_delay)
    , random(seed)
{
}

std::chrono::milliseconds backoff::next()
{
    const auto upper = this->current;
    this->current = std::min(upper * 2, this->maximum);
    std::uniform_int_distribution<std::chrono::milliseconds::rep> jittered(
        upper.count() / 2, upper.count());
    return std::chrono::milliseconds(jittered(this->random));
}

void backoff::reset()
{
    this->current = this->first;
}

} // namespace roseworks::platform

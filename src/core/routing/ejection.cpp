#include "core/routing/ejection.hpp"

#include <algorithm>

namespace roseworks::detail
{

namespace
{

constexpr double rate_smoothing = 0.1;

} // namespace

void server_health::succeeded(instant now)
{
    this->consecutive = 0;
    this->failure_rate -= rate_smoothing * this->failure_rate;
    ++this->samples;
    if (this->ejections != 0 && !this->ejected(now))
    {
        --this->ejections;
    }
}

void server_health::failed(instant now)
{
    ++this->consecutive;
    ++this->samples;
    this->failure_rate += rate_smoothing * (1 - this->failure_rate);

    const bool in_a_row = this->consecutive >= consecutive_limit;
    const bool mostly =
        this->samples >= rate_samples && this->failure_rate > rate_limit;
    if (!this->ejected(now) && (in_a_row || mostly))
    {
        this->eject(now);
    }
}

void server_health::eject(instant now)
{
    duration length = first_ejection;
    for (std::uint32_t i = 0; i < this->ejections; ++i)
    {
        length = std::min(longest_ejection, length * 2);
    }
    this->until = now + length;
    ++this->ejections;

    // One more failure after its return ejects it again; its rate starts anew.
    this->consecutive = consecutive_limit - 1;
    this->samples = 0;
    this->failure_rate = 0;
}

} // namespace roseworks::detail

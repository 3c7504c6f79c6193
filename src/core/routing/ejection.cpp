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
    this->consecutive_failures = 0;
    this->failure_rate -= rate_smoothing * this->failure_rate;
    ++this->samples;
    if (this->ejections != 0 && !this->ejected(now))
    {
        --this->ejections;
    }
}

void server_health::failed(instant now)
{
    ++this->consecutive_failures;
    ++this->samples;
    this->failure_rate += rate_smoothing * (1 - this->failure_rate);

    const bool too_many_in_row =
        this->consecutive_failures >= consecutive_limit;
    const bool rate_exceeded =
        this->samples >= rate_samples && this->failure_rate > rate_limit;
    if (!this->ejected(now) && (too_many_in_row || rate_exceeded))
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
    this->ejection_end = now + length;
    ++this->ejections;

    // After the ejection, a single failure ejects the server again. The failure
    // rate is measured from zero.
    this->consecutive_failures = consecutive_limit - 1;
    this->samples = 0;
    this->failure_rate = 0;
}

} // namespace roseworks::detail

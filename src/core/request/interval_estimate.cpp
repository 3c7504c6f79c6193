#include "core/request/interval_estimate.hpp"

namespace roseworks
{

void interval_estimate::add(duration sample)
{
    if (this->samples == 0)
    {
        this->mean = sample;
        this->deviation = sample / 2;
        this->samples = 1;
        return;
    }
    const duration error = sample - this->mean;
    const duration magnitude = error < duration::zero() ? -error : error;
    this->deviation += (magnitude - this->deviation) / 4;
    this->mean += error / 8;
    if (this->samples < min_samples)
        ++this->samples;
}

std::optional<duration> interval_estimate::upper_bound() const
{
    if (this->samples < min_samples)
        return std::nullopt;
    return 2 * this->mean + 4 * this->deviation;
}

} // namespace roseworks

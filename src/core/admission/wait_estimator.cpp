#include "core/admission/wait_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace roseworks::detail
{

namespace
{

constexpr double smoothing = 0.1;
constexpr double cold_smoothing = 0.3;
constexpr std::uint32_t wanted_samples = 4;

/// Number of mean deviations added to the mean time per token.
constexpr double deviations = 2;

/// Shorter prompts update the constant part of the prefill time, others its
/// slope.
constexpr std::uint32_t slope_bytes = 1024;

duration rounded(double microseconds)
{
    return duration(static_cast<duration::rep>(microseconds));
}

} // namespace

void fading_average::add(double sample, instant now)
{
    // Start as an arithmetic mean, so that the first sample doesn't dominate.
    ++this->samples;
    const double weight = std::max(smoothing, 1.0 / this->samples);
    this->average += weight * (sample - this->average);
    this->last = now;
}

double fading_average::value(std::uint32_t wanted, instant now) const
{
    if (this->samples < wanted)
    {
        return 0;
    }
    const double idle = static_cast<double>((now - this->last).count()) /
                        static_cast<double>(half_life.count());
    return idle <= 1 ? this->average : this->average * std::exp2(1 - idle);
}

void wait_estimator::served(
    duration total,
    duration first_byte,
    std::uint32_t bytes,
    std::uint32_t tokens,
    instant now)
{
    this->service.add(static_cast<double>(total.count()), now);
    if (tokens != 0)
    {
        const auto rest = static_cast<double>((total - first_byte).count());
        const double each = rest / tokens;
        this->per_token.add(each, now);
        this->deviation.add(
            std::abs(each - this->per_token.value(1, now)), now);
        this->length.add(tokens, now);
    }
    const auto first = static_cast<double>(first_byte.count());
    if (bytes < slope_bytes)
    {
        this->base.add(first, now);
        return;
    }
    const double above = std::max(0.0, first - this->base.value(1, now));
    this->per_byte.add(above / bytes, now);
}

void wait_estimator::cold_start(duration waited)
{
    const auto sample = static_cast<double>(waited.count());
    this->cold_wait =
        this->cold_wait
            ? *this->cold_wait + cold_smoothing * (sample - *this->cold_wait)
            : sample;
}

duration wait_estimator::queue_wait(
    std::size_t ahead, std::size_t slots, instant now) const
{
    const double each = this->service.value(wanted_samples, now);
    const auto rounds = static_cast<double>(ahead) /
                        static_cast<double>(std::max<std::size_t>(slots, 1));
    return rounded(each * rounds);
}

duration wait_estimator::prefill(std::uint32_t bytes, instant now) const
{
    const double constant = this->base.value(wanted_samples, now);
    const double slope = this->per_byte.value(wanted_samples, now);
    return rounded(constant + slope * bytes);
}

duration wait_estimator::rest(std::uint32_t max_tokens, instant now) const
{
    const double expected =
        std::min<double>(max_tokens, this->length.value(wanted_samples, now));
    const double each = this->per_token.value(wanted_samples, now) +
                        deviations * this->deviation.value(wanted_samples, now);
    return rounded(each * expected);
}

duration wait_estimator::cold(duration declared) const
{
    return this->cold_wait ? rounded(*this->cold_wait) : declared;
}

} // namespace roseworks::detail

#include "core/admission/wait_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace roseworks::detail
{

namespace
{

constexpr double smoothing = 0.1;
constexpr double cold_smoothing = 0.3;
constexpr std::uint32_t min_samples = 4;

/// Number of mean deviations added to the mean time per token.
constexpr double deviation_margin = 2;

/// Shorter prompts update the constant part of the prefill time, others its
/// slope.
constexpr std::uint32_t min_slope_bytes = 1024;

duration to_duration(double microseconds)
{
    return duration(static_cast<duration::rep>(microseconds));
}

} // namespace

void decaying_average::add(double sample, instant now)
{
    // Start as an arithmetic mean, so that the first sample doesn't dominate.
    ++this->samples;
    const double weight = std::max(smoothing, 1.0 / this->samples);
    this->average += weight * (sample - this->average);
    this->last = now;
}

double
decaying_average::value(std::uint32_t required_samples, instant now) const
{
    if (this->samples < required_samples)
    {
        return 0;
    }
    const double idle = static_cast<double>((now - this->last).count()) /
                        static_cast<double>(half_life.count());
    return idle <= 1 ? this->average : this->average * std::exp2(1 - idle);
}

void wait_estimator::record_answer(
    duration total,
    duration first_byte,
    std::uint32_t bytes,
    std::uint32_t tokens,
    instant now)
{
    this->slot_time.add(static_cast<double>(total.count()), now);
    if (tokens != 0)
    {
        const auto rest = static_cast<double>((total - first_byte).count());
        const double each = rest / tokens;
        this->time_per_token.add(each, now);
        this->time_per_token_deviation.add(
            std::abs(each - this->time_per_token.value(1, now)), now);
        this->answer_tokens.add(tokens, now);
    }
    const auto first = static_cast<double>(first_byte.count());
    if (bytes < min_slope_bytes)
    {
        this->short_first_byte.add(first, now);
        return;
    }
    const double above =
        std::max(0.0, first - this->short_first_byte.value(1, now));
    this->prefill_per_byte.add(above / bytes, now);
}

void wait_estimator::record_cold_start(duration waited)
{
    const auto sample = static_cast<double>(waited.count());
    this->average_cold_start =
        this->average_cold_start
            ? *this->average_cold_start +
                  cold_smoothing * (sample - *this->average_cold_start)
            : sample;
}

duration wait_estimator::queue_wait(
    std::size_t ahead, std::size_t slots, instant now) const
{
    const double each = this->slot_time.value(min_samples, now);
    const auto rounds = static_cast<double>(ahead) /
                        static_cast<double>(std::max<std::size_t>(slots, 1));
    return to_duration(each * rounds);
}

duration wait_estimator::prefill_time(std::uint32_t bytes, instant now) const
{
    const double constant = this->short_first_byte.value(min_samples, now);
    const double slope = this->prefill_per_byte.value(min_samples, now);
    return to_duration(constant + slope * bytes);
}

duration
wait_estimator::generation_time(std::uint32_t max_tokens, instant now) const
{
    const double expected = std::min<double>(
        max_tokens, this->answer_tokens.value(min_samples, now));
    const double each = this->time_per_token.value(min_samples, now) +
                        deviation_margin * this->time_per_token_deviation.value(
                                               min_samples, now);
    return to_duration(each * expected);
}

duration wait_estimator::cold_start_time(duration declared) const
{
    return this->average_cold_start ? to_duration(*this->average_cold_start)
                                    : declared;
}

} // namespace roseworks::detail

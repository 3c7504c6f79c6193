#include "core/quota/token_bucket.hpp"

#include <algorithm>

namespace roseworks
{

namespace
{

/// Stands for a bucket that never fills, or not before any request times out.
constexpr duration max_reported_wait = std::chrono::hours(1);

} // namespace

void token_bucket::refill(duration elapsed, const usage_limit& limit)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    this->tokens =
        std::min(this->tokens + limit.per_second * seconds, limit.burst);
}

duration token_bucket::time_until(double amount, const usage_limit& limit) const
{
    // No limit is assigned: not even a request above the capacity may pass.
    if (limit.per_second <= 0 && limit.burst <= 0)
        return max_reported_wait;
    const double missing = std::min(amount, limit.burst) - this->tokens;
    if (missing <= 0)
        return duration::zero();
    const double max_wait =
        std::chrono::duration<double>(max_reported_wait).count();
    if (missing >= limit.per_second * max_wait)
        return max_reported_wait;
    return std::chrono::ceil<duration>(
        std::chrono::duration<double>(missing / limit.per_second));
}

std::optional<duration>
token_bucket::take(double amount, duration max_wait, const usage_limit& limit)
{
    const duration wait = this->time_until(amount, limit);
    if (wait > max_wait)
        return std::nullopt;
    this->tokens -= amount;
    return wait;
}

void token_bucket::return_tokens(double amount, const usage_limit& limit)
{
    this->tokens = std::min(this->tokens + amount, limit.burst);
}

} // namespace roseworks

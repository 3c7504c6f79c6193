#include "core/quota/token_bucket.hpp"

#include <algorithm>

namespace roseworks
{

namespace
{

/// Stands for a bucket that never fills, or not before any request times out.
constexpr duration longest_wait = std::chrono::hours(1);

} // namespace

void token_bucket::fill(duration elapsed, const usage_limit& terms)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    this->held = std::min(this->held + terms.per_second * seconds, terms.burst);
}

duration token_bucket::until(double amount, const usage_limit& terms) const
{
    // No limit is assigned: not even a request above the capacity may pass.
    if (terms.per_second <= 0 && terms.burst <= 0)
        return longest_wait;
    const double missing = std::min(amount, terms.burst) - this->held;
    if (missing <= 0)
        return duration::zero();
    const double longest = std::chrono::duration<double>(longest_wait).count();
    if (missing >= terms.per_second * longest)
        return longest_wait;
    return std::chrono::ceil<duration>(
        std::chrono::duration<double>(missing / terms.per_second));
}

std::optional<duration>
token_bucket::take(double amount, duration longest, const usage_limit& terms)
{
    const duration wait = this->until(amount, terms);
    if (wait > longest)
        return std::nullopt;
    this->held -= amount;
    return wait;
}

void token_bucket::put_back(double amount, const usage_limit& terms)
{
    this->held = std::min(this->held + amount, terms.burst);
}

} // namespace roseworks

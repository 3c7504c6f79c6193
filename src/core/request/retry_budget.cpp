#include "core/request/retry_budget.hpp"

#include <algorithm>

namespace roseworks::detail
{

namespace
{

constexpr std::int64_t whole = 1'000'000;
constexpr std::int64_t floor_seconds = 10;

} // namespace

retry_budget::retry_budget(std::uint32_t percent_of_answers)
    : per_answer(whole / 100 * percent_of_answers)
    , limit(whole * (floor_per_second * floor_seconds + percent_of_answers))
    , tokens(whole * floor_per_second)
{
}

retry_budget retry_budget::make_full(std::uint32_t percent_of_answers)
{
    retry_budget budget(percent_of_answers);
    budget.tokens = budget.limit;
    return budget;
}

void retry_budget::deposit(instant now)
{
    this->refill(now);
    this->tokens = std::min(this->limit, this->tokens + this->per_answer);
}

bool retry_budget::withdraw(instant now, bool spare)
{
    this->refill(now);
    const std::int64_t kept = spare ? this->limit / 3 : 0;
    if (this->tokens - kept < whole)
    {
        return false;
    }
    this->tokens -= whole;
    return true;
}

void retry_budget::refill(instant now)
{
    if (this->started)
    {
        // `instant` counts microseconds and tokens are counted in millionths,
        // so one token per second is one unit per tick.
        constexpr std::int64_t longest = floor_seconds * whole;
        const std::int64_t passed =
            std::clamp<std::int64_t>((now - this->last).count(), 0, longest);
        this->tokens =
            std::min(this->limit, this->tokens + passed * floor_per_second);
    }
    this->started = true;
    this->last = now;
}

} // namespace roseworks::detail

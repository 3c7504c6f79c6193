#include "core/request/retry_budget.hpp"

#include <algorithm>

namespace roseworks::detail
{

namespace
{

constexpr std::int64_t token_unit = 1'000'000;
constexpr std::int64_t capacity_seconds = 10;

} // namespace

retry_budget::retry_budget(std::uint32_t percent_of_answers)
    : per_answer(token_unit / 100 * percent_of_answers)
    , capacity(
          token_unit *
          (tokens_per_second * capacity_seconds + percent_of_answers))
    , tokens(token_unit * tokens_per_second)
{
}

retry_budget retry_budget::make_full(std::uint32_t percent_of_answers)
{
    retry_budget budget(percent_of_answers);
    budget.tokens = budget.capacity;
    return budget;
}

void retry_budget::deposit(instant now)
{
    this->refill(now);
    this->tokens = std::min(this->capacity, this->tokens + this->per_answer);
}

bool retry_budget::withdraw(instant now, bool leave_reserve)
{
    this->refill(now);
    const std::int64_t reserve = leave_reserve ? this->capacity / 3 : 0;
    if (this->tokens - reserve < token_unit)
    {
        return false;
    }
    this->tokens -= token_unit;
    return true;
}

void retry_budget::refill(instant now)
{
    if (this->started)
    {
        // `instant` counts microseconds and tokens are counted in millionths,
        // so one token per second is one unit per tick.
        constexpr std::int64_t max_elapsed = capacity_seconds * token_unit;
        const std::int64_t elapsed = std::clamp<std::int64_t>(
            (now - this->last).count(), 0, max_elapsed);
        this->tokens = std::min(
            this->capacity, this->tokens + elapsed * tokens_per_second);
    }
    this->started = true;
    this->last = now;
}

} // namespace roseworks::detail

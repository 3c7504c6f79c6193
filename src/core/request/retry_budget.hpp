#pragma once

#include <roseworks/instant.hpp>

#include <cstdint>

namespace roseworks::detail
{

/** Limits the retries of one target so that they can't amplify a failure.

    A token bucket. Each answer adds `percent_of_answers` / 100 of a token, and
    each second adds `tokens_per_second` tokens. The capacity is ten seconds'
    worth of the latter plus `percent_of_answers` tokens. A retry takes one
    token. The tokens added per second allow a rarely used model to retry.

    Advisory: an error here cannot break a guarantee.
*/
class retry_budget
{
public:
    static constexpr std::int64_t tokens_per_second = 3;

    /// Starts with the tokens that one second adds.
    explicit retry_budget(std::uint32_t percent_of_answers);

    /// Starts full. Used for resumed streams: resuming costs a prefill, but the
    /// answer is not generated again.
    static retry_budget make_full(std::uint32_t percent_of_answers);

    /// Adds the tokens for one answered request.
    void deposit(instant now);

    /// Takes the token for a retry if there is one.
    /// @param leave_reserve Leave the last third of the capacity to more urgent
    ///                      retries.
    /// @return              Whether the retry may be sent.
    bool withdraw(instant now, bool leave_reserve = false);

private:
    void refill(instant now);

    // In millionths of a token, so that sums are exact.
    std::int64_t per_answer;
    std::int64_t capacity;
    std::int64_t tokens;
    bool started = false;
    instant last;
};

} // namespace roseworks::detail

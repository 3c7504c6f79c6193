#pragma once

#include "core/serving/organisation.hpp"

#include <roseworks/instant.hpp>

#include <optional>

namespace roseworks
{

/** A token bucket that lets requests reserve tokens in advance.

    A request that can wait takes its tokens at once, and the level may become
    negative. The request is sent after the returned wait. So it isn't starved
    by requests that can't wait: those are refused meanwhile.
*/
class token_bucket
{
public:
    /// @param limit Rate and capacity; may differ between calls.
    void refill(duration elapsed, const usage_limit& limit);

    /** Takes tokens.

        @param amount   May exceed the capacity: then a full bucket suffices,
                        and the level becomes negative.
        @param max_wait Longest time that the request can wait.
        @return         How long the request has to wait. Empty when that is
                        longer than it can wait; then no tokens are taken.
    */
    std::optional<duration>
    take(double amount, duration max_wait, const usage_limit& limit);

    /// @return Time until the bucket holds the amount, or is full.
    duration time_until(double amount, const usage_limit& limit) const;

    /// Returns tokens that were taken and not used.
    void return_tokens(double amount, const usage_limit& limit);

    double level() const
    {
        return this->tokens;
    }

private:
    double tokens = 0;
};

} // namespace roseworks

#pragma once

#include "core/serving/organisation.hpp"

#include <roseworks/instant.hpp>

#include <optional>

namespace roseworks
{

/** Tokens that fill up at a rate to a capacity, and are set aside by requests.

    A request may be allowed ahead of its tokens, to wait until the bucket holds
    them: they are set aside at once, and the level goes below zero. So a
    request that can wait gets its turn while ones that can't are refused.
*/
class token_bucket
{
public:
    /// @param terms Rate and capacity; may change from call to call.
    void fill(duration elapsed, const usage_limit& terms);

    /** Set tokens aside.

        @param amount  At most the capacity has to be there; the rest is owed.
        @param longest How long the request can wait for them.
        @return        How long it has to wait; empty when that is longer, and
                       then nothing is set aside.
    */
    std::optional<duration>
    take(double amount, duration longest, const usage_limit& terms);

    /// @return How long until the bucket holds so much.
    duration until(double amount, const usage_limit& terms) const;

    /// Tokens that were set aside and not used.
    void put_back(double amount, const usage_limit& terms);

    double level() const
    {
        return this->held;
    }

private:
    double held = 0;
};

} // namespace roseworks

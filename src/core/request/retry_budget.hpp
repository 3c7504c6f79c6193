#pragma once

#include <roseworks/instant.hpp>

#include <cstdint>

namespace roseworks::detail
{

/** Bounds the retries of one target, so that they can't multiply a failure.

    A token bucket: each answer adds `percent` / 100 of a token and each second
    three more, up to ten seconds' worth of the latter plus one for each per
    cent; a retry takes one. The floor lets a rarely used model retry at all.
    Hint.
*/
class retry_budget
{
public:
    static constexpr std::int64_t floor_per_second = 3;

    /// With one second's floor to begin with.
    explicit retry_budget(std::uint32_t percent_of_answers);

    /// Full to begin with: for streams that are continued, which costs a
    /// prefill and not the answer again.
    static retry_budget make_full(std::uint32_t percent_of_answers);

    /// A request was answered.
    void deposit(instant now);

    /// @param spare leave the last third to more urgent retries.
    /// @return      Whether a retry may be sent; takes its token.
    bool withdraw(instant now, bool spare = false);

private:
    void refill(instant now);

    // Counted in millionths of a token, so that sums are exact.
    std::int64_t per_answer;
    std::int64_t limit;
    std::int64_t tokens;
    bool started = false;
    instant last;
};

} // namespace roseworks::detail

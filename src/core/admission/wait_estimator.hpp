#pragma once

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace roseworks::detail
{

/** A moving average that fades when no sample comes.

    Halves for each `half_life` after the first without a sample, so that an
    estimate that made everything be refused doesn't stay for want of samples.
    Hint.
*/
class fading_average
{
public:
    static constexpr duration half_life = std::chrono::seconds(30);

    void add(double sample, instant now);

    /// @return The faded average, 0 when fewer than `wanted` samples came.
    double value(std::uint32_t wanted, instant now) const;

private:
    double average = 0;
    std::uint32_t samples = 0;
    instant last;
};

/** Predicts when a request of one target can start.

    Errs towards "it can be met": without knowledge every estimate is 0.
    Hint.
*/
class wait_estimator
{
public:
    /// A request was answered.
    /// @param bytes  Of its prompt.
    /// @param tokens Of its answer; 0: not counted.
    void served(
        duration total,
        duration first_byte,
        std::uint32_t bytes,
        std::uint32_t tokens,
        instant now);

    /// The target became ready this long after it was asked for.
    void cold_start(duration waited);

    /** Time until a slot is free for a request.

        @param ahead Requests that go before it.
        @param slots Requests that run at once.
    */
    duration queue_wait(std::size_t ahead, std::size_t slots, instant) const;

    /// Time from sending a prompt of this size to its first byte.
    duration prefill(std::uint32_t bytes, instant now) const;

    /// Time from the first byte of an answer to its last, with two mean
    /// deviations added: an answer cut at its deadline is work for nothing.
    /// @param max_tokens The most that the request asks for.
    duration rest(std::uint32_t max_tokens, instant now) const;

    /// Time from asking for the target to its being ready.
    /// @param declared The spec's estimate; used until one was observed.
    duration cold(duration declared) const;

private:
    fading_average service;   ///< microseconds a request holds a slot
    fading_average base;      ///< microseconds to the first byte, short ones
    fading_average per_byte;  ///< further microseconds per byte of prompt
    fading_average per_token; ///< microseconds after the first byte
    fading_average deviation; ///< from `per_token`, microseconds
    fading_average length;    ///< tokens of an answer
    std::optional<double> cold_wait;
};

} // namespace roseworks::detail

#pragma once

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace roseworks::detail
{

/** A moving average that decays while there are no samples.

    After the first `half_life` without a sample it halves once per `half_life`.
    Otherwise an estimate so high that every request is refused would never
    change, because refused requests give no samples.

    Advisory: an error here cannot break a guarantee.
*/
class decaying_average
{
public:
    static constexpr duration half_life = std::chrono::seconds(30);

    void add(double sample, instant now);

    /// @return The decayed average; 0 with fewer than `required_samples`
    /// samples.
    double value(std::uint32_t required_samples, instant now) const;

private:
    double average = 0;
    std::uint32_t samples = 0;
    instant last;
};

/** Predicts when a request of one target can start and how long it takes.

    Errs on the side of accepting requests: without samples, the estimates are
    0.

    Advisory: an error here cannot break a guarantee.
*/
class wait_estimator
{
public:
    /// Records an answered request.
    /// @param total  Time from sending the request to the end of its answer.
    /// @param bytes  Size of the prompt.
    /// @param tokens Length of the answer; 0: not counted.
    void record_answer(
        duration total,
        duration first_byte,
        std::uint32_t bytes,
        std::uint32_t tokens,
        instant now);

    /// Records the time from the first demand until the target was ready.
    void record_cold_start(duration waited);

    /** Estimates the time until a slot is free for a request.

        @param ahead Number of requests that go before it.
        @param slots Number of requests that run at once.
    */
    duration queue_wait(std::size_t ahead, std::size_t slots, instant) const;

    /// Estimates the time from sending a prompt of this size to the first byte.
    duration prefill_time(std::uint32_t bytes, instant now) const;

    /// Estimates the time from the first byte of an answer to the last.
    /// Includes a margin of two mean deviations, because an answer that is cut
    /// at its deadline is wasted work.
    /// @param max_tokens Upper bound of the answer's length.
    duration generation_time(std::uint32_t max_tokens, instant now) const;

    /// Estimates the time from the demand for the target until it is ready.
    /// @param declared The spec's estimate; used until a cold start was seen.
    duration cold_start_time(duration declared) const;

private:
    decaying_average slot_time; ///< time that a request occupies a slot, in us
    decaying_average
        short_first_byte; ///< time to first byte of short prompts, in us
    decaying_average
        prefill_per_byte; ///< additional time per prompt byte, in us
    decaying_average
        time_per_token; ///< time per token after the first byte, in us
    decaying_average
        time_per_token_deviation; ///< mean deviation of `time_per_token`, in us
    decaying_average answer_tokens; ///< answer length, in tokens
    std::optional<double> average_cold_start;
};

} // namespace roseworks::detail

#pragma once

#include "core/crashes/blocked_requests.hpp"
#include "core/crashes/recent_answers.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace roseworks
{

/** Decides before each send whether a request may be sent to a backend server.

    Blocked requests are refused. After the end of a block one request of each
    content is sent as a trial, and the others wait for its result. A content
    that this router has just seen run well is not blocked: a request that
    crashes servers crashes each that runs it, while a popular one runs on many
    that crash for other reasons.

    Used on one traffic thread.
*/
class request_gate
{
public:
    struct options
    {
        duration trial_length = std::chrono::seconds(10);
        /// Routers may begin a trial at different times within this time after
        /// the block. Callers return when the block ends, to all routers at
        /// once; the others have to learn of the first trial before.
        duration trial_spread = std::chrono::seconds(5);
        std::uint64_t seed = 1; ///< differs between the routers
        /// How long a run that ended well proves that its content is harmless.
        duration answer_memory = std::chrono::seconds(10);
        /// Number of contents remembered, each in the place that its hash
        /// selects.
        std::size_t answer_slots = 4096;
    };

    enum class outcome : std::uint8_t
    {
        allowed,
        harmless, ///< allowed, and the block has to be cleared at all routers
        trial,    ///< allowed, and all routers have to be told
        refused
    };

    struct decision
    {
        outcome result = outcome::allowed;
        duration retry_after{}; ///< if refused
    };

    explicit request_gate(options settings);

    /// @return Time for which the request is refused; zero: it isn't.
    duration refused_for(
        const blocked_requests& known, fingerprint request, instant now) const;

    /// Decides on a send, which has to follow at once if it is allowed.
    decision
    admit(const blocked_requests& known, fingerprint request, instant now);

    /// A run of the request ended well.
    void answered(fingerprint request, instant now);

private:
    /// @return Time from the end of the request's block to a trial.
    duration
    trial_delay(const blocked_requests& known, fingerprint request) const;
    duration drawn_delay(fingerprint request) const;

    options settings;
    recent_answers answers;
    /// Trials of this router, with their start.
    std::unordered_map<fingerprint, instant> trials;
};

} // namespace roseworks

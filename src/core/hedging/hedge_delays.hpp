#pragma once

#include "core/hedging/latency_window.hpp"
#include "core/hedging/request_class.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>

namespace roseworks
{

/** After which time a request's first attempt is unusually late.

    This is the 95th percentile of the time from the sending to the first event
    or to the response, for the requests of the same class at this router. Hint.
*/
class hedge_delays
{
public:
    /// Classes with samples; the one unused for longest makes room for another.
    /// A class takes 11 KB.
    static constexpr std::size_t max_classes = 128;

    /** Adds the time that the first attempt of a request took.

        Where a hedge won, this is the time until the first attempt was closed:
        without these samples, the percentile would fall with each hedge, and
        the next hedges would start earlier and earlier.
    */
    void add(const request_class& of, duration latency, instant now);

    /// @return The time to wait before a hedge is sent; empty: not known.
    std::optional<duration> delay(const request_class& of, instant now) const;

    std::size_t class_count() const
    {
        return this->classes.size();
    }

private:
    struct entry
    {
        latency_window latencies;
        instant last_sample;
        /// The percentile is computed again after a time, not for each request.
        mutable std::optional<duration> cached_delay;
        mutable instant cached_until;
    };

    void evict_oldest();

    std::map<request_class, std::unique_ptr<entry>> classes;
};

} // namespace roseworks

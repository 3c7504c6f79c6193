#pragma once

#include <roseworks/instant.hpp>

#include <optional>

namespace roseworks::detail
{

/** Holds back the requests of a target while none of its servers can be
    reached, so that they wait for its recovery instead of failing one after
    another.

    The breaker opens on a failure. While open, it lets one request through as a
    probe after each interval. The interval doubles with each probe that fails.
    A probe that has not failed when the next request is let through closes the
    breaker.

    Advisory: an error here cannot break a guarantee.
*/
class circuit_breaker
{
public:
    /** Records that a request could not be sent to any server.

        @return Whether requests may keep waiting, which is the case if the
                first failure since the breaker was closed is less than
                `recovery_window` ago.
    */
    bool record_failure(instant now);

    bool is_open() const
    {
        return this->open_since.has_value();
    }

    /// @return Whether a request may be granted.
    bool allows(instant now) const;

    /// Records that a request was granted.
    void record_grant(instant now);

    /// Closes the breaker. Called when a server answers or a new one is listed.
    void close();

    /// @return When the next request may be granted; empty while closed.
    std::optional<instant> next_probe_at() const;

private:
    std::optional<instant>
        open_since; ///< time of the first failure; empty: closed
    instant next_probe;
    duration probe_interval{};
    bool probing = false; ///< a probe was let through and hasn't failed yet
};

} // namespace roseworks::detail

#pragma once

#include <roseworks/instant.hpp>

#include <optional>

namespace roseworks::detail
{

/** The permits of this router for a server that has a rate limit.

    The limit holds for all routers together, so each request needs a permit
    from the router that counts the requests of this server. One permit is
    requested at a time. The waiting time for a permit is averaged to estimate
    the next one. Advisory: nothing is decided by it.
*/
class server_permits
{
public:
    /// @param per_second Requests a second of all routers; 0: no limit.
    void limit(double per_second);

    bool is_limited() const
    {
        return this->per_second > 0;
    }

    bool may_send(instant now) const
    {
        return !this->is_limited() ||
               (this->valid_from && *this->valid_from <= now);
    }

    /// @return Whether a permit has to be requested now.
    bool must_request(instant now) const
    {
        return this->is_limited() && !this->awaits_answer(now) &&
               !this->valid_from && this->retry_at <= now;
    }

    /// @return Whether a requested permit was neither granted nor refused yet.
    bool awaits_answer(instant now) const
    {
        return this->is_requested && now - this->requested_at < answer_timeout;
    }

    /// @return When the result of `must_request` or `may_send` may change next
    ///         without a call of this object.
    std::optional<instant> changes_at() const;

    /// @return The estimated time until a request may be sent.
    duration estimated_wait(instant now) const;

    /// @return The time between two permits of this router while requests wait.
    duration permit_interval(instant now) const;

    /// A permit was requested.
    /// @param waits Whether a request waits that no other server can take.
    void requested(bool waits, instant now);
    /// @param from When the permit becomes valid.
    void granted(instant from);

    /// @param retry When a permit may be requested again.
    void refused(instant retry);

    /// A request was sent and used the permit.
    void used()
    {
        this->valid_from.reset();
    }

    /// Revokes a permit that no request was sent under.
    /// @return Whether there was one.
    bool revoke();

private:
    /// A permit is requested again if no answer came within this time.
    static constexpr duration answer_timeout = std::chrono::seconds(1);

    double per_second = 0;
    bool is_requested = false;
    std::optional<instant> valid_from;    ///< start of the permit's validity
    instant retry_at = instant::min();    ///< earliest time of the next request
    duration average_interval{};          ///< between permits, while waiting
    std::optional<instant> waiting_since; ///< since when a request waits
    instant requested_at;
};

} // namespace roseworks::detail

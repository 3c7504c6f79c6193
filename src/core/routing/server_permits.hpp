#pragma once

#include <roseworks/instant.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace roseworks::detail
{

/** The permits of this router for a server that has a rate limit, or whose
    places are counted.

    The limit holds for all routers together, so each request needs a permit
    from the router that counts the requests of this server. One permit is
    requested at a time. The waiting time for a permit is averaged to estimate
    the next one. Advisory: nothing is decided by it.
*/
class server_permits
{
public:
    /// @param per_second    Requests a second of all routers; 0: no limit.
    /// @param counts_places Whether the requests at the server are counted.
    void limit(double per_second, bool counts_places);

    bool is_limited() const
    {
        return this->per_second > 0 || this->counted;
    }

    bool counts_places() const
    {
        return this->counted;
    }

    double rate() const
    {
        return this->per_second;
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

    /// @return The estimated time until a request of this rank may be sent.
    duration estimated_wait(std::uint8_t rank, instant now) const;

    /// @return The time between two permits of this router while requests of
    ///         this rank wait.
    duration permit_interval(std::uint8_t rank, instant now) const;

    /// A permit was requested.
    /// @param waits Whether a request waits that no other server can take.
    /// @param rank  Of that request, below `rank_count`.
    void requested(bool waits, std::uint8_t rank, instant now);
    /// @param from When the permit becomes valid.
    void granted(instant from);

    /// The request for a permit was withdrawn.
    void cancelled()
    {
        this->is_requested = false;
        this->waiting_since.reset();
    }

    /// The place of a request that has ended is used for another one.
    void reused(instant now)
    {
        this->valid_from = now;
        ++this->reuse_count;
    }

    /// @return How often places were used again since the last permit.
    std::uint32_t reuses() const
    {
        return this->reuse_count;
    }

    /// @return When the latest permit became valid.
    instant granted_since() const
    {
        return this->granted_at;
    }

    /// @return The rank for which the pending permit was requested.
    std::uint8_t requested_rank() const
    {
        return this->waiting_rank;
    }

    /// The pending permit is for a request of another rank.
    void reordered(std::uint8_t rank, instant now)
    {
        this->waiting_rank = rank;
        this->waiting_since = now;
    }

    /// @return When the latest permit was requested.
    instant requested_since() const
    {
        return this->requested_at;
    }

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

    static constexpr std::size_t rank_count = 10;

private:
    /// @return Since when a permit for this rank or an earlier one is awaited.
    std::optional<instant> awaited_since(std::uint8_t rank) const;

    /// A permit is requested again if no answer came within this time.
    static constexpr duration answer_timeout = std::chrono::seconds(1);

    double per_second = 0;
    bool counted = false; ///< whether the requests at the server are counted
    std::uint32_t reuse_count = 0;
    bool is_requested = false;
    std::optional<instant> valid_from; ///< start of the permit's validity
    instant retry_at = instant::min(); ///< earliest time of the next request
    /// Between permits, while requests of a rank wait.
    std::array<duration, rank_count> average_intervals{};
    std::uint8_t waiting_rank = 0;        ///< of the requested permit
    std::optional<instant> waiting_since; ///< since when a request waits
    instant requested_at;
    instant granted_at;
};

} // namespace roseworks::detail

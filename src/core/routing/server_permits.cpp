#include "core/routing/server_permits.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::detail
{

namespace
{

/// If no permit was requested for so long, no request has been waiting for the
/// server in between.
constexpr duration idle_after = std::chrono::seconds(2);

/// Estimated time until a place is free, before any was granted.
constexpr duration first_place_interval = std::chrono::milliseconds(10);

} // namespace

void server_permits::limit(double requests, bool counts_places)
{
    const bool becomes_limited = requests > 0 || counts_places;
    const bool toggled = becomes_limited != this->is_limited();
    if (toggled)
        *this = server_permits();
    this->per_second = requests;
    this->counted = counts_places;
    if (toggled && requests > 0)
        this->average_intervals.fill(std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1 / requests)));
    else if (toggled && counts_places)
        this->average_intervals.fill(first_place_interval);
}

std::optional<instant> server_permits::changes_at() const
{
    if (!this->is_limited())
        return std::nullopt;
    if (this->is_requested)
        return this->requested_at + answer_timeout;
    return this->valid_from ? *this->valid_from : this->retry_at;
}

std::optional<instant> server_permits::awaited_since(std::uint8_t rank) const
{
    // A permit for a later rank is granted after those of this rank.
    return this->waiting_rank <= rank ? this->waiting_since : std::nullopt;
}

duration server_permits::permit_interval(std::uint8_t rank, instant now) const
{
    const auto since = this->awaited_since(rank);
    const duration waited = since ? now - *since : duration::zero();
    return std::max(this->average_intervals.at(rank), waited);
}

duration server_permits::estimated_wait(std::uint8_t rank, instant now) const
{
    const auto until = [now](instant when)
    {
        return std::max<duration>(when - now, duration::zero());
    };
    if (this->valid_from)
        return until(*this->valid_from);
    const duration retry = this->is_requested || this->retry_at <= now
                               ? duration::zero()
                               : until(this->retry_at);
    const auto since = this->awaited_since(rank);
    if (!since)
        return retry;
    const duration average = this->average_intervals.at(rank);
    // An overdue permit is expected after half an average interval, not now.
    const duration left = std::max(until(*since + average), average / 2);
    return std::max(retry, left);
}

void server_permits::requested(bool waits, std::uint8_t rank, instant now)
{
    const bool restarted =
        !this->waiting_since || now - this->requested_at >= idle_after;
    if (waits && restarted)
        this->waiting_since = now;
    this->is_requested = true;
    this->requested_at = now;
    this->waiting_rank = std::min<std::uint8_t>(rank, rank_count - 1);
}

void server_permits::granted(instant from)
{
    this->is_requested = false;
    if (!this->is_limited())
        return;
    this->valid_from = from;
    this->granted_at = from;
    this->reuse_count = 0;
    duration& average = this->average_intervals.at(this->waiting_rank);
    if (this->waiting_since)
        average = (average + (from - *this->waiting_since)) / 2;
    this->waiting_since.reset();
}

void server_permits::refused(instant retry)
{
    this->is_requested = false;
    this->retry_at = retry;
}

bool server_permits::revoke()
{
    return std::exchange(this->valid_from, std::nullopt).has_value();
}

} // namespace roseworks::detail

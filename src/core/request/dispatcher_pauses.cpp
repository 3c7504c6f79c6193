// Servers that want no requests for a while.
#include "core/request/dispatcher_impl.hpp"

#include <algorithm>

namespace roseworks
{

namespace
{

/// Servers that reject many routers at once state the same end to all of them.
/// Each router sends its first request within this share of the pause after
/// the end.
constexpr int spread_divisor = 8;

} // namespace

void dispatcher::impl::server_paused(
    const server_place& server, duration length, instant now)
{
    const detail::server_key key = detail::key_of(server);
    detail::server_state& state = this->loads.at(key);
    if (length <= duration::zero())
    {
        state.pause.clear();
        this->shared_server_freed = true;
        this->grant_waiting_on_freed_servers(now);
        return;
    }
    const duration spread = length / spread_divisor;
    const auto random_part = static_cast<duration::rep>(this->random() >> 48);
    state.pause.begin(now + length + spread * random_part / (1 << 16));
    this->release_unused(server);
    this->schedule_tick_by(state.pause.ends_at());
    // What waited for this server may be too late now.
    for (detail::target* destination : this->targets_waiting_for(key))
    {
        this->update_waiting(*destination, now);
    }
}

void dispatcher::impl::server_took_request(
    const server_place& server, bool rejected, instant now)
{
    const detail::server_key key = detail::key_of(server);
    detail::server_state& state = this->loads.at(key);
    if (rejected)
    {
        state.pause.rejected();
        return;
    }
    if (!state.pause.accepted(now))
    {
        return;
    }
    for (detail::target* destination : this->targets_waiting_for(key))
    {
        this->grant_waiting(*destination, now);
    }
}

duration dispatcher::impl::until_a_server_takes_requests(
    const detail::target& destination,
    std::span<std::size_t const> usable,
    instant now) const
{
    duration wait = duration::max();
    for (const std::size_t i : usable)
    {
        const instant end =
            this->loads.pause_end(destination.backends[i].server);
        wait = std::min(wait, end <= now ? duration::zero() : end - now);
    }
    return usable.empty() ? duration::zero() : wait;
}

} // namespace roseworks

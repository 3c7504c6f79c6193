#include "core/routing/server_loads.hpp"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace roseworks::detail
{

server_key key_of_address(std::string_view address)
{
    constexpr server_key service_bit = server_key(1) << 63;
    return XXH3_64bits(address.data(), address.size()) | service_bit;
}

server_key key_of(const server_place& server)
{
    return server.engine ? key_of(server.engine)
                         : key_of_address(server.address);
}

void server_loads::reported(const load_report& report, instant now)
{
    server_state& state = this->at(key_of(report.engine));
    const std::uint64_t all = std::uint64_t(report.running) + report.waiting;
    state.foreign =
        all > state.own ? static_cast<std::uint32_t>(all - state.own) : 0;
    state.reported = now;
}

void server_loads::pace_estimated(
    engine_id engine, std::uint32_t percent, instant until)
{
    server_state& state = this->at(key_of(engine));
    state.pace = std::max(percent, 1U);
    state.pace_until = until;
}

std::uint32_t server_loads::pace(server_key server, instant now) const
{
    const auto found = this->states.find(server);
    const bool is_known =
        found != this->states.end() && now < found->second.pace_until;
    return is_known ? found->second.pace : mean_pace;
}

bool server_loads::has_report(server_key server, instant now) const
{
    const auto found = this->states.find(server);
    return found != this->states.end() &&
           found->second.reported != instant::min() &&
           now - found->second.reported <= report_lifetime;
}

std::uint32_t server_loads::foreign(server_key server, instant now) const
{
    return this->has_report(server, now)
               ? this->states.find(server)->second.foreign
               : 0;
}

std::uint32_t
server_loads::limit(server_key server, std::uint32_t streams, instant now) const
{
    // Without other known routers, foreign requests are not sent by routers,
    // and there is nobody to share the streams with.
    const std::uint32_t equal_share =
        this->routers > 1 ? streams / static_cast<std::uint32_t>(this->routers)
                          : 0;
    const std::uint32_t share =
        equal_share * mean_pace / std::max(this->pace(server, now), mean_pace);
    const std::uint32_t others = this->foreign(server, now);
    const std::uint32_t left = streams > others ? streams - others : 0;
    return std::max({left, share, std::uint32_t(1)});
}

std::uint32_t server_loads::load(server_key server, instant now) const
{
    const auto found = this->states.find(server);
    const std::uint32_t own =
        found == this->states.end() ? 0 : found->second.own;
    return own + this->foreign(server, now);
}

double
server_loads::paced_load(server_key server, instant now, double assumed) const
{
    const double after = 1.0 + this->load(server, now);
    const double known = after * this->pace(server, now) / mean_pace - 1;
    return this->has_report(server, now) ? known : std::max(known, assumed);
}

const server_permits* server_loads::permits_of(server_key server) const
{
    const auto found = this->states.find(server);
    return found == this->states.end() ? nullptr : &found->second.permits;
}

bool server_loads::may_send(server_key server, instant now) const
{
    const server_permits* permits = this->permits_of(server);
    return permits == nullptr || permits->may_send(now);
}

bool server_loads::is_limited(server_key server) const
{
    const server_permits* permits = this->permits_of(server);
    return permits != nullptr && permits->is_limited();
}

bool server_loads::counts_places(server_key server) const
{
    const server_permits* permits = this->permits_of(server);
    return permits != nullptr && permits->counts_places();
}

bool server_loads::is_paused(server_key server, instant now) const
{
    return now < this->pause_end(server);
}

instant server_loads::pause_end(server_key server) const
{
    const auto found = this->states.find(server);
    return found == this->states.end() ? instant::min()
                                       : found->second.pause.ends_at();
}

bool server_loads::pause_allows(server_key server, instant now) const
{
    const auto found = this->states.find(server);
    return found == this->states.end() ||
           found->second.pause.allows(found->second.own, now);
}

bool server_loads::reserved(server_key server) const
{
    const auto found = this->states.find(server);
    return found != this->states.end() &&
           (found->second.exclusive || found->second.reserved_by);
}

} // namespace roseworks::detail

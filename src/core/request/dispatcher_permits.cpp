#include "core/request/dispatcher_impl.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace roseworks
{

namespace
{

/// How long a request that could use another server waits for the answer to a
/// permit request. Covers a few round trips between two data centres.
constexpr duration permit_answer_timeout = std::chrono::milliseconds(30);

/// How long a request for a place may be unanswered before a place on another
/// server is requested, too: the first server has no room.
constexpr duration place_answer_timeout = std::chrono::milliseconds(20);

/// How often in a row a place is used again without being released. More would
/// keep the routers waiting that hold none.
constexpr std::uint32_t max_place_reuses = 8;

/// A place that was held for this long is released, so that another router's
/// requests are served in their order. A release costs a few milliseconds.
constexpr duration max_place_hold = std::chrono::milliseconds(200);

/// @return Sort key: the best waiting class, then the earliest deadline.
std::pair<priority, instant> urgency_of(const detail::target* destination)
{
    return {
        destination->queue.best_class().value_or(priority::batch),
        destination->queue.earliest_deadline().value_or(instant::max())};
}

} // namespace

void dispatcher::impl::server_limited(
    const server_place& server, double per_second, instant now)
{
    const detail::server_permits& pace =
        this->loads.at(detail::key_of(server)).permits;
    this->set_pace(server, per_second, pace.counts_places(), now);
}

void dispatcher::impl::server_counted(
    const server_place& server, bool counted, instant now)
{
    const detail::server_permits& pace =
        this->loads.at(detail::key_of(server)).permits;
    this->set_pace(server, pace.rate(), counted, now);
}

void dispatcher::impl::set_pace(
    const server_place& server, double per_second, bool counted, instant now)
{
    detail::server_permits& pace =
        this->loads.at(detail::key_of(server)).permits;
    this->limited_server_count -= pace.is_limited() ? 1 : 0;
    pace.limit(per_second, counted);
    this->limited_server_count += pace.is_limited() ? 1 : 0;
    this->shared_server_freed = true;
    this->grant_waiting_on_freed_servers(now);
}

void dispatcher::impl::pass_on_places(instant now)
{
    for (const place_released& freed : std::exchange(this->freed_places, {}))
    {
        const detail::server_key key = detail::key_of(freed.server);
        detail::server_permits& pace = this->loads.at(key).permits;
        const bool is_held_long = this->settings.objectives_first &&
                                  now - pace.granted_since() >= max_place_hold;
        const bool may_reuse = !freed.rejected && pace.counts_places() &&
                               !this->loads.is_paused(key, now) &&
                               !pace.may_send(now) && !is_held_long &&
                               pace.reuses() < max_place_reuses;
        if (!may_reuse)
        {
            this->commands.emplace_back(freed);
            continue;
        }
        pace.reused(now);
        for (detail::target* destination : this->targets_waiting_for(key))
        {
            this->grant_waiting_of(*destination, now);
        }
        this->release_unused(freed.server);
    }
}

void dispatcher::impl::release_unused(const server_place& server)
{
    detail::server_permits& pace =
        this->loads.at(detail::key_of(server)).permits;
    if (pace.counts_places() && pace.revoke())
    {
        this->commands.emplace_back(place_released{server, false});
    }
}

void dispatcher::impl::permit_given(
    const server_place& server, instant from, instant now)
{
    const detail::server_key key = detail::key_of(server);
    this->loads.at(key).permits.granted(from);
    if (this->loads.is_paused(key, now))
    {
        this->release_unused(server);
        return;
    }
    this->schedule_tick_by(from);
    if (from > now)
    {
        return;
    }
    for (detail::target* destination : this->targets_waiting_for(key))
    {
        this->grant_waiting(*destination, now);
    }
    this->release_unused(server);
}

std::vector<detail::target*>
dispatcher::impl::targets_waiting_for(detail::server_key server) const
{
    const auto uses_server = [server](const detail::target* destination)
    {
        return std::ranges::any_of(
            destination->backends,
            [server](const detail::backend& candidate)
            {
                return candidate.server == server && candidate.listed;
            });
    };
    std::vector<detail::target*> found;
    std::ranges::copy_if(this->waiting, std::back_inserter(found), uses_server);
    std::ranges::stable_sort(found, std::ranges::less(), urgency_of);
    return found;
}

std::size_t dispatcher::impl::competing_requests(
    const detail::target& destination,
    std::span<std::size_t const> usable) const
{
    std::set<const detail::target*, by_number> others;
    for (const std::size_t i : usable)
    {
        for (const detail::target* other :
             this->targets_waiting_for(destination.backends[i].server))
        {
            others.insert(other);
        }
    }
    others.erase(&destination);
    std::size_t count = 0;
    for (const detail::target* other : others)
    {
        count += other->waiting();
    }
    return count;
}

void dispatcher::impl::permit_refused(
    const server_place& server, duration retry_after, instant now)
{
    this->loads.at(detail::key_of(server)).permits.refused(now + retry_after);
    this->schedule_tick_by(now + retry_after);
    this->shared_server_freed = true;
    this->grant_waiting_on_freed_servers(now);
}

bool dispatcher::impl::permit_withdrawn(const server_place& server)
{
    return this->loads.at(detail::key_of(server)).permits.revoke();
}

void dispatcher::impl::request_permit(
    const detail::backend& candidate, permit_wanted wanted, instant now)
{
    wanted.server = {candidate.where.engine, candidate.where.address};
    this->loads.at(candidate.server)
        .permits.requested(wanted.waits, wanted.rank, now);
    this->commands.emplace_back(std::move(wanted));
}

std::vector<permit_wanted> dispatcher::impl::first_waiting(
    const detail::target& destination, std::size_t count, instant now) const
{
    permit_wanted unordered;
    unordered.waits = true;
    if (!this->settings.objectives_first)
    {
        return std::vector<permit_wanted>(count, unordered);
    }
    const instant reachable = now + destination.estimator.prefill_time(0, now);
    std::vector<permit_wanted> orders;
    for (const detail::queue_item& item :
         destination.queue.first_by_objective(count, reachable))
    {
        permit_wanted& one = orders.emplace_back(unordered);
        one.rank = this->permit_rank(item);
        one.objective =
            item.objective >= reachable ? item.objective : instant::max();
    }
    // Suspect requests wait too, in the order of the last one.
    const permit_wanted last = orders.empty() ? unordered : orders.back();
    orders.resize(count, last);
    return orders;
}

void dispatcher::impl::reorder_permits(
    std::span<const detail::backend* const> requested,
    std::span<const permit_wanted> orders,
    instant now)
{
    for (std::size_t i = 0; i < requested.size(); ++i)
    {
        const detail::backend& candidate = *requested[i];
        detail::server_permits& permits =
            this->loads.at(candidate.server).permits;
        if (permits.requested_rank() == orders[i].rank)
        {
            continue;
        }
        permits.reordered(orders[i].rank, now);
        permit_wanted changed = orders[i];
        changed.server = {candidate.where.engine, candidate.where.address};
        changed.reorders = true;
        this->commands.emplace_back(std::move(changed));
    }
}

void dispatcher::impl::request_permits(
    const detail::target& destination, instant now)
{
    if (this->limited_server_count == 0)
    {
        return;
    }
    if (destination.waiting() == 0)
    {
        this->cancel_places(destination, now);
        return;
    }
    const auto usable =
        detail::balancer::usable(destination.backends, this->loads, now);
    const auto free = detail::balancer::slots(
        destination.backends,
        usable,
        destination.max_streams,
        this->loads,
        now);
    if (free.any)
    {
        return; // the requests wait for something other than a permit
    }
    this->request_places(destination, now);
    for (const detail::backend& candidate : destination.backends)
    {
        const detail::server_permits* pace =
            this->loads.permits_of(candidate.server);
        if (pace == nullptr || !candidate.listed || candidate.leaving ||
            this->loads.is_paused(candidate.server, now))
        {
            continue;
        }
        if (!pace->counts_places() && pace->must_request(now))
        {
            this->request_permit(
                candidate,
                this->first_waiting(destination, 1, now).front(),
                now);
        }
        const auto next = pace->changes_at();
        if (next && *next > now)
        {
            this->schedule_tick_by(*next);
        }
    }
}

void dispatcher::impl::cancel_places(
    const detail::target& destination, instant now)
{
    for (const detail::backend& candidate : destination.backends)
    {
        const detail::server_permits* pace =
            this->loads.permits_of(candidate.server);
        const bool is_pending = pace != nullptr && pace->counts_places() &&
                                pace->awaits_answer(now);
        if (!is_pending || !this->targets_waiting_for(candidate.server).empty())
        {
            continue;
        }
        this->loads.at(candidate.server).permits.cancelled();
        this->commands.emplace_back(permit_cancelled{
            {candidate.where.engine, candidate.where.address}});
    }
}

void dispatcher::impl::request_places(
    const detail::target& destination, instant now)
{
    std::vector<const detail::backend*> free;
    std::vector<const detail::backend*> pending_servers;
    std::size_t requested = 0;
    for (const std::size_t i :
         detail::balancer::usable(destination.backends, this->loads, now))
    {
        const detail::backend& candidate = destination.backends[i];
        const detail::server_permits* pace =
            this->loads.permits_of(candidate.server);
        if (pace == nullptr || !pace->counts_places() ||
            this->loads.is_paused(candidate.server, now))
        {
            continue;
        }
        const bool is_recent =
            pace->awaits_answer(now) &&
            now - pace->requested_since() < place_answer_timeout;
        requested += is_recent ? 1 : 0;
        if (pace->awaits_answer(now))
        {
            pending_servers.push_back(&candidate);
        }
        if (is_recent)
        {
            this->schedule_tick_by(
                pace->requested_since() + place_answer_timeout);
        }
        if (pace->must_request(now))
        {
            free.push_back(&candidate);
        }
    }
    // Shuffled, because all routers would otherwise prefer the same servers.
    std::shuffle(free.begin(), free.end(), this->random);
    std::ranges::stable_sort(
        free,
        {},
        [this, now](const detail::backend* candidate)
        {
            return this->loads.paced_load(candidate->server, now);
        });
    // The permits that are pending are for the requests that go first. Each
    // is for another request: one urgent request must not make all of them
    // urgent.
    std::ranges::stable_sort(
        pending_servers,
        {},
        [this](const detail::backend* candidate)
        {
            return this->loads.at(candidate->server).permits.requested_rank();
        });
    const auto orders = this->first_waiting(
        destination, pending_servers.size() + free.size(), now);
    this->reorder_permits(pending_servers, orders, now);
    std::size_t next = pending_servers.size();
    for (const detail::backend* candidate : free)
    {
        if (requested >= destination.waiting())
        {
            return;
        }
        this->request_permit(*candidate, orders[next], now);
        ++next;
        ++requested;
    }
}

bool dispatcher::impl::awaits_permit(
    const detail::target& destination,
    pending& request,
    std::span<std::size_t const> usable,
    instant now)
{
    if (this->limited_server_count == 0)
    {
        return false;
    }
    const auto has_permit = [&](std::size_t i)
    {
        const detail::server_key server = destination.backends[i].server;
        return this->loads.is_limited(server) &&
               this->loads.may_send(server, now);
    };
    if (std::ranges::any_of(usable, has_permit))
    {
        return false;
    }
    const bool is_asked = request.permit_wait_until.has_value();
    for (const std::size_t i : usable)
    {
        const detail::backend& candidate = destination.backends[i];
        const detail::server_permits* pace =
            this->loads.permits_of(candidate.server);
        if (pace == nullptr || this->loads.is_paused(candidate.server, now))
        {
            continue;
        }
        if (is_asked && pace->awaits_answer(now) &&
            now < *request.permit_wait_until)
        {
            return true;
        }
        if (!is_asked && pace->must_request(now))
        {
            permit_wanted optional;
            optional.rank = this->permit_rank(request.item);
            optional.objective = request.info.objective;
            this->request_permit(candidate, std::move(optional), now);
            request.permit_wait_until = now + permit_answer_timeout;
            this->schedule_tick_by(*request.permit_wait_until);
            return true;
        }
    }
    return false;
}

dispatcher::impl::rate_limit_forecast dispatcher::impl::forecast_rate_limit(
    const detail::target& destination,
    std::span<std::size_t const> usable,
    std::uint8_t rank,
    instant now) const
{
    rate_limit_forecast forecast;
    if (this->limited_server_count == 0)
    {
        return forecast;
    }
    std::optional<duration> next;
    for (const std::size_t i : usable)
    {
        const detail::server_permits* pace =
            this->loads.permits_of(destination.backends[i].server);
        if (pace == nullptr || !pace->is_limited())
        {
            return {};
        }
        const std::chrono::duration<double> turn =
            pace->permit_interval(rank, now);
        forecast.permits_per_second += 1 / turn.count();
        const duration until_permit = pace->estimated_wait(rank, now);
        next = std::min(next.value_or(until_permit), until_permit);
    }
    forecast.until_first = next.value_or(duration::zero());
    // The order among the targets varies; on average half of the competing
    // requests start first.
    forecast.competing = this->competing_requests(destination, usable) / 2;
    return forecast;
}

duration dispatcher::impl::rate_limit_forecast::wait(std::size_t ahead) const
{
    if (this->permits_per_second == 0)
    {
        return duration::zero();
    }
    const std::chrono::duration<double> queue(
        static_cast<double>(ahead + this->competing) /
        this->permits_per_second);
    return this->until_first + std::chrono::duration_cast<duration>(queue);
}

} // namespace roseworks

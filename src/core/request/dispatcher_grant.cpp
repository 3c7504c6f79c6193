#include "core/request/dispatcher_impl.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

/// Number of requests that may be skipped in one pass because they must wait
/// for a permit or for a server that has no free slot.
constexpr std::size_t max_skipped_requests = 8;

constexpr duration blocked_retry_after = std::chrono::seconds(60);

/// A cold start is taken as a sample only if demand was sent within this time.
constexpr duration demand_timeout = std::chrono::seconds(60);

} // namespace

void dispatcher::impl::refresh(detail::target& destination, instant now)
{
    if (destination.generation == this->generation)
    {
        return;
    }
    destination.generation = this->generation;
    destination.refresh(*this->table, this->leaving);

    const bool ready =
        !detail::balancer::usable(destination.backends, this->loads, now)
             .empty();
    if (!ready || !destination.cold_since)
    {
        return;
    }
    if (destination.last_demand &&
        now - *destination.last_demand <= demand_timeout)
    {
        destination.estimator.record_cold_start(now - *destination.cold_since);
    }
    destination.cold_since.reset();
}

void dispatcher::impl::grant_waiting(detail::target& destination, instant now)
{
    this->grant_waiting_of(destination, now);
    this->grant_waiting_on_freed_servers(now);
}

void dispatcher::impl::grant_waiting_of(
    detail::target& destination, instant now)
{
    this->refresh(destination, now);
    std::vector<detail::queue_item> skipped;
    while (skipped.size() < max_skipped_requests &&
           this->grant_next(destination, skipped, now))
    {
    }
    for (const detail::queue_item& item : skipped)
    {
        destination.queue.push(item);
    }
    this->grant_suspects(destination, now);
    this->update_waiting_set(destination);
    this->request_permits(destination, now);
}

bool dispatcher::impl::grant_next(
    detail::target& destination,
    std::vector<detail::queue_item>& skipped,
    instant now)
{
    if (destination.queue.empty())
    {
        return false;
    }
    if (!destination.breaker.allows(now))
    {
        this->schedule_tick_by(*destination.breaker.next_probe_at());
        return false;
    }
    const auto usable =
        detail::balancer::usable(destination.backends, this->loads, now);
    const auto free = detail::balancer::slots(
        destination.backends,
        usable,
        destination.max_streams,
        this->loads,
        now);
    if (!free.any)
    {
        return false;
    }

    const std::size_t half =
        destination.slots(usable, false, this->loads, now) / 2;
    const bool long_may_start =
        destination.long_in_flight < std::max<std::size_t>(half, 1) ||
        destination.queue.short_prompt_count(free.batch) == 0;
    detail::admission_queue::filter allowed{free.batch, long_may_start};
    allowed.objective_from = this->objective_from(destination, usable, now);
    const auto chosen = destination.queue.next(allowed, now);
    if (!chosen)
    {
        return false;
    }

    pending& request = this->requests.at(chosen->item.id);
    if (request.info.content && this->table->is_blocked(request.info.content))
    {
        this->refuse(
            chosen->item.id, refusal_reason::blocked, blocked_retry_after);
        return true;
    }
    if (request.info.content && this->table->is_suspect(request.info.content))
    {
        this->dequeue(request);
        request.suspect = true;
        this->enqueue(request);
        return true;
    }
    if (!this->can_meet_deadline(
            destination, chosen->item, duration::zero(), now))
    {
        this->refuse(
            chosen->item.id,
            refusal_reason::deadline,
            this->add_jitter(destination.estimator.prefill_time(
                request.info.prompt_bytes, now)));
        return true;
    }

    if (this->awaits_permit(destination, request, usable, now))
    {
        destination.queue.erase(chosen->item.id);
        skipped.push_back(chosen->item);
        return true;
    }

    detail::choice_query query;
    if (this->settings.affinity != prefix_affinity::none)
    {
        query.prefix = request.info.prefix;
        query.cached = &this->prefix_caches;
    }
    query.max_streams = destination.max_streams;
    query.tried = request.tried;
    const auto index = this->replica_balancer.choose(
        destination.backends, usable, query, this->loads, now);
    if (!index)
    {
        destination.queue.erase(chosen->item.id);
        skipped.push_back(chosen->item);
        return true;
    }
    destination.queue.take(*chosen);
    this->grant_to(request, destination.backends[*index], false);
    destination.breaker.record_grant(now);
    return true;
}

std::optional<instant> dispatcher::impl::objective_from(
    const detail::target& destination,
    std::span<std::size_t const> usable,
    instant now) const
{
    const auto is_counted = [&](std::size_t i)
    {
        return this->loads.counts_places(destination.backends[i].server);
    };
    if (!this->settings.objectives_first ||
        std::ranges::none_of(usable, is_counted))
    {
        return std::nullopt;
    }
    return now + destination.estimator.prefill_time(0, now);
}

void dispatcher::impl::grant_to(
    pending& request, detail::backend& chosen, bool alone)
{
    detail::target& destination = *request.destination;
    request.current_stage = stage::granted;
    request.replica = chosen.where.replica;
    request.address = chosen.where.address;
    request.server = chosen.server;
    request.engine = chosen.where.engine;
    --this->queued_count;
    this->queued_bytes[static_cast<std::size_t>(request.item.level)] -=
        request.info.held_bytes;

    ++chosen.in_flight;
    ++destination.in_flight;
    destination.long_in_flight += request.item.long_prompt ? 1 : 0;
    detail::server_state& server = this->loads.at(chosen.server);
    ++server.own;
    request.holds_place = server.permits.counts_places();
    server.permits.used();
    if (alone)
    {
        server.exclusive = request.item.id;
        ++destination.suspects_running;
    }

    grant command;
    command.request = request.item.id;
    command.engine = chosen.where.engine;
    command.replica = chosen.where.replica;
    command.address = chosen.where.address;
    command.attempt = request.attempts++;
    ++request.attempts_without_progress;
    this->commands.emplace_back(std::move(command));
}

void dispatcher::impl::grant_waiting_on_freed_servers(instant now)
{
    while (std::exchange(this->shared_server_freed, false))
    {
        const std::vector<detail::target*> all(
            this->waiting.begin(), this->waiting.end());
        for (detail::target* destination : all)
        {
            this->grant_waiting_of(*destination, now);
        }
    }
}

void dispatcher::impl::grant_suspects(detail::target& destination, instant now)
{
    while (destination.suspects_running == 0)
    {
        const auto first = std::ranges::find_if(
            destination.suspects,
            [this](ticket candidate)
            {
                return !this->requests.at(candidate).awaits_crash_findings;
            });
        if (first == destination.suspects.end())
        {
            return;
        }
        const ticket id = *first;
        pending& request = this->requests.at(id);
        if (request.info.content &&
            this->table->is_blocked(request.info.content))
        {
            this->refuse(id, refusal_reason::blocked, blocked_retry_after);
            continue;
        }

        detail::backend* chosen =
            this->choose_suspect_backend(destination, request, now);
        if (chosen == nullptr)
        {
            this->shared_server_freed = this->shared_server_freed ||
                                        request.reserved_server.has_value();
            this->release_reservation(id);
            return;
        }
        if (request.reserved_server &&
            *request.reserved_server != chosen->server)
        {
            this->release_reservation(id);
        }
        detail::server_state& server = this->loads.at(chosen->server);
        if (server.own != 0)
        {
            // Reserve the server until its running requests have ended. Don't
            // start a reservation while higher-priority requests wait, unless
            // the suspect request has aged.
            const auto best = destination.queue.best_class();
            const bool must_yield =
                best && *best < request.item.level &&
                now - request.item.enqueued < this->settings.ageing;
            if (!must_yield || request.reserved_server)
            {
                server.reserved_by = id;
                request.reserved_server = chosen->server;
            }
            return;
        }
        this->release_reservation(id);
        std::erase(destination.suspects, id);
        this->grant_to(request, *chosen, true);
    }
}

detail::backend* dispatcher::impl::choose_suspect_backend(
    detail::target& destination, const pending& request, instant now)
{
    std::vector<std::size_t> candidates =
        detail::balancer::usable(destination.backends, this->loads, now);
    if (candidates.size() == 1)
    {
        // Prefer an ejected replica over the last one that still answers.
        for (std::size_t i = 0; i < destination.backends.size(); ++i)
        {
            const detail::backend& candidate = destination.backends[i];
            if (candidate.listed && !candidate.leaving &&
                !this->loads.is_paused(candidate.server, now) &&
                i != candidates.front())
            {
                candidates.front() = i;
                break;
            }
        }
    }

    const auto is_untried = [&](std::size_t i)
    {
        return std::find(
                   request.tried.begin(),
                   request.tried.end(),
                   destination.backends[i].server) == request.tried.end();
    };
    const bool has_untried =
        std::any_of(candidates.begin(), candidates.end(), is_untried);

    detail::backend* best = nullptr;
    std::uint32_t best_load = 0;
    for (const std::size_t i : candidates)
    {
        detail::backend& candidate = destination.backends[i];
        const detail::server_state& server = this->loads.at(candidate.server);
        const bool is_unavailable =
            server.exclusive ||
            (server.reserved_by && server.reserved_by != request.item.id) ||
            !server.permits.may_send(now) ||
            !server.pause.allows(server.own, now);
        if (is_unavailable || (has_untried && !is_untried(i)))
        {
            continue;
        }
        if (server.reserved_by == request.item.id)
        {
            return &candidate;
        }
        const std::uint32_t load = this->loads.load(candidate.server, now);
        if (best == nullptr || load < best_load)
        {
            best = &candidate;
            best_load = load;
        }
    }
    return best;
}

void dispatcher::impl::release_reservation(ticket id)
{
    pending& request = this->requests.at(id);
    if (!request.reserved_server)
    {
        return;
    }
    detail::server_state& server = this->loads.at(*request.reserved_server);
    if (server.reserved_by == id)
    {
        server.reserved_by = ticket{};
    }
    request.reserved_server.reset();
}

void dispatcher::impl::update_waiting_set(detail::target& destination)
{
    if (destination.waiting() == 0)
    {
        this->waiting.erase(&destination);
    }
    else
    {
        this->waiting.insert(&destination);
    }
}

} // namespace roseworks

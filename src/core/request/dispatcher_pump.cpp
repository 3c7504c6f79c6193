#include "core/request/dispatcher_impl.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

/// Requests that must wait for a certain server are passed over, up to this.
constexpr std::size_t passed_over_limit = 8;

constexpr duration block_retry = std::chrono::seconds(60);

/// A cold wait counts as observed when demand was renewed this lately.
constexpr duration demand_lapse = std::chrono::seconds(60);

} // namespace

void dispatcher::impl::refresh(detail::target& where, instant now)
{
    if (where.generation == this->generation)
    {
        return;
    }
    where.generation = this->generation;
    where.refresh(*this->table, this->leaving);

    const bool ready = !detail::balancer::usable(where.backends, now).empty();
    if (!ready || !where.cold_since)
    {
        return;
    }
    if (where.last_demand && now - *where.last_demand <= demand_lapse)
    {
        where.estimator.cold_start(now - *where.cold_since);
    }
    where.cold_since.reset();
}

void dispatcher::impl::pump(detail::target& where, instant now)
{
    this->pump_one(where, now);
    this->pump_if_freed(now);
}

void dispatcher::impl::pump_one(detail::target& where, instant now)
{
    this->refresh(where, now);
    std::vector<detail::queue_item> aside;
    while (aside.size() < passed_over_limit &&
           this->grant_next(where, aside, now))
    {
    }
    for (const detail::queue_item& item : aside)
    {
        where.queue.push(item);
    }
    this->place_suspect(where, now);
    this->ask_for_permits(where, now);
    this->note_waiting(where);
}

bool dispatcher::impl::grant_next(
    detail::target& where, std::vector<detail::queue_item>& aside, instant now)
{
    if (where.queue.empty())
    {
        return false;
    }
    if (!where.breaker.allows(now))
    {
        this->due_no_later(*where.breaker.opens_at());
        return false;
    }
    const auto usable = detail::balancer::usable(where.backends, now);
    const auto free = detail::balancer::slots(
        where.backends, usable, where.max_streams, this->loads, now);
    if (!free.any)
    {
        return false;
    }

    const std::size_t half = where.slots(usable, false, this->loads, now) / 2;
    const bool long_may_start =
        where.long_in_flight < std::max<std::size_t>(half, 1) ||
        where.queue.short_size(free.batch) == 0;
    const auto chosen = where.queue.next({free.batch, long_may_start}, now);
    if (!chosen)
    {
        return false;
    }

    pending& request = this->requests.at(chosen->item.id);
    if (request.info.content && this->table->is_blocked(request.info.content))
    {
        this->refuse(chosen->item.id, refusal_reason::blocked, block_retry);
        return true;
    }
    if (request.info.content && this->table->is_suspect(request.info.content))
    {
        this->dequeue(request);
        request.suspect = true;
        this->enqueue(request);
        return true;
    }
    if (!this->can_start(where, chosen->item, duration::zero(), now))
    {
        this->refuse(
            chosen->item.id,
            refusal_reason::deadline,
            this->spread(
                where.estimator.prefill(request.info.prompt_bytes, now)));
        return true;
    }

    if (this->awaits_permit(where, request, usable, now))
    {
        where.queue.erase(chosen->item.id);
        aside.push_back(chosen->item);
        return true;
    }

    detail::choice_query query;
    if (this->settings.affinity != prefix_affinity::none)
    {
        query.prefix = request.info.prefix;
        query.cached = &this->cached;
    }
    query.max_streams = where.max_streams;
    query.tried = request.tried;
    const auto index =
        this->chooser.choose(where.backends, usable, query, this->loads, now);
    if (!index)
    {
        where.queue.erase(chosen->item.id);
        aside.push_back(chosen->item);
        return true;
    }
    where.queue.take(*chosen);
    this->grant_to(request, where.backends[*index], false);
    where.breaker.granted(now);
    return true;
}

void dispatcher::impl::grant_to(
    pending& request, detail::backend& chosen, bool alone)
{
    detail::target& where = *request.where;
    request.at = stage::granted;
    request.replica = chosen.where.replica;
    request.address = chosen.where.address;
    request.server = chosen.server;
    --this->queued_count;
    this->queued_bytes[static_cast<std::size_t>(request.item.level)] -=
        request.info.held_bytes;

    ++chosen.in_flight;
    ++where.in_flight;
    where.long_in_flight += request.item.long_prompt ? 1 : 0;
    detail::server_state& server = this->loads.at(chosen.server);
    ++server.own;
    server.permits.used();
    if (alone)
    {
        server.exclusive = request.item.id;
        ++where.suspects_running;
    }

    grant command;
    command.request = request.item.id;
    command.engine = chosen.where.engine;
    command.replica = chosen.where.replica;
    command.address = chosen.where.address;
    command.attempt = request.attempts++;
    ++request.fruitless;
    this->commands.emplace_back(std::move(command));
}

void dispatcher::impl::pump_if_freed(instant now)
{
    while (std::exchange(this->shared_server_free, false))
    {
        const std::vector<detail::target*> all(
            this->waiting.begin(), this->waiting.end());
        for (detail::target* where : all)
        {
            this->pump_one(*where, now);
        }
    }
}

void dispatcher::impl::place_suspect(detail::target& where, instant now)
{
    while (where.suspects_running == 0)
    {
        const auto first = std::ranges::find_if(
            where.suspects,
            [this](ticket one)
            {
                return !this->requests.at(one).awaits_findings;
            });
        if (first == where.suspects.end())
        {
            return;
        }
        const ticket id = *first;
        pending& request = this->requests.at(id);
        if (request.info.content &&
            this->table->is_blocked(request.info.content))
        {
            this->refuse(id, refusal_reason::blocked, block_retry);
            continue;
        }

        detail::backend* chosen = this->suspect_backend(where, request, now);
        if (chosen == nullptr)
        {
            this->shared_server_free =
                this->shared_server_free || request.hold.has_value();
            this->release_hold(id);
            return;
        }
        if (request.hold && *request.hold != chosen->server)
        {
            this->release_hold(id);
        }
        detail::server_state& server = this->loads.at(chosen->server);
        if (server.own != 0)
        {
            // Keep the server for it until what runs there has ended, unless
            // better work that hasn't aged less would have to wait for it.
            const auto best = where.queue.best_class();
            const bool must_yield =
                best && *best < request.item.level &&
                now - request.item.enqueued < this->settings.ageing;
            if (!must_yield || request.hold)
            {
                server.reserved_by = id;
                request.hold = chosen->server;
            }
            return;
        }
        this->release_hold(id);
        std::erase(where.suspects, id);
        this->grant_to(request, *chosen, true);
    }
}

detail::backend* dispatcher::impl::suspect_backend(
    detail::target& where, const pending& request, instant now)
{
    std::vector<std::size_t> among =
        detail::balancer::usable(where.backends, now);
    if (among.size() == 1)
    {
        // Rather an ejected replica than the last that answers.
        for (std::size_t i = 0; i < where.backends.size(); ++i)
        {
            const detail::backend& one = where.backends[i];
            if (one.listed && !one.leaving && i != among.front())
            {
                among.front() = i;
                break;
            }
        }
    }

    const auto untried = [&](std::size_t i)
    {
        return std::find(
                   request.tried.begin(),
                   request.tried.end(),
                   where.backends[i].server) == request.tried.end();
    };
    const bool another = std::any_of(among.begin(), among.end(), untried);

    detail::backend* best = nullptr;
    std::uint32_t best_load = 0;
    for (const std::size_t i : among)
    {
        detail::backend& one = where.backends[i];
        const detail::server_state& server = this->loads.at(one.server);
        const bool others =
            server.exclusive ||
            (server.reserved_by && server.reserved_by != request.item.id) ||
            !server.permits.may_send(now);
        if (others || (another && !untried(i)))
        {
            continue;
        }
        if (server.reserved_by == request.item.id)
        {
            return &one;
        }
        const std::uint32_t load = this->loads.load(one.server, now);
        if (best == nullptr || load < best_load)
        {
            best = &one;
            best_load = load;
        }
    }
    return best;
}

void dispatcher::impl::release_hold(ticket id)
{
    pending& request = this->requests.at(id);
    if (!request.hold)
    {
        return;
    }
    detail::server_state& server = this->loads.at(*request.hold);
    if (server.reserved_by == id)
    {
        server.reserved_by = ticket{};
    }
    request.hold.reset();
}

void dispatcher::impl::note_waiting(detail::target& where)
{
    if (where.waiting() == 0)
    {
        this->waiting.erase(&where);
    }
    else
    {
        this->waiting.insert(&where);
    }
}

} // namespace roseworks

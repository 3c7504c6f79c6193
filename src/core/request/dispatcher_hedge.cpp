// Second attempts that run beside the first one.
#include "core/request/dispatcher_impl.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

std::optional<grant> dispatcher::impl::hedge(ticket running, instant now)
{
    const auto found = this->requests.find(running);
    if (found == this->requests.end() || !this->may_hedge(found->second))
        return std::nullopt;
    pending added;
    added.info = found->second.info;
    added.item = found->second.item;
    added.destination = found->second.destination;
    added.may_have_run = true;
    added.attempts = found->second.attempts;
    added.attempts_without_progress = found->second.attempts_without_progress;
    added.crashes = found->second.crashes;
    added.tried = found->second.tried;
    added.tried.push_back(found->second.server);

    detail::target& destination = *added.destination;
    this->refresh(destination, now);
    const auto index = this->choose_hedge_backend(added, now);
    if (!index)
        return std::nullopt;
    const ticket id(++this->last_ticket);
    added.item.id = id;
    this->limits.share(added.item.caller);
    this->held_bytes += added.info.held_bytes;
    // `grant_to` takes a request out of the queue.
    ++this->queued_count;
    this->queued_bytes[static_cast<std::size_t>(added.item.level)] +=
        added.info.held_bytes;
    pending& request =
        this->requests.emplace(id, std::move(added)).first->second;
    this->grant_to(request, destination.backends[*index], false);
    grant granted = std::get<grant>(std::move(this->commands.back()));
    this->commands.pop_back();
    return granted;
}

bool dispatcher::impl::may_hedge(const pending& running) const
{
    return running.current_stage == stage::granted && running.info.repeatable &&
           !running.suspect && !this->draining &&
           running.destination->waiting() == 0 &&
           !running.destination->breaker.is_open();
}

std::optional<std::size_t>
dispatcher::impl::choose_hedge_backend(const pending& request, instant now)
{
    const detail::target& destination = *request.destination;
    auto usable =
        detail::balancer::usable(destination.backends, this->loads, now);
    const auto is_excluded = [&](std::size_t i)
    {
        const detail::server_key server = destination.backends[i].server;
        return this->loads.is_limited(server) ||
               std::ranges::find(request.tried, server) != request.tried.end();
    };
    std::erase_if(usable, is_excluded);
    detail::choice_query query;
    query.max_streams = destination.max_streams;
    return this->replica_balancer.choose(
        destination.backends, usable, query, this->loads, now);
}

} // namespace roseworks

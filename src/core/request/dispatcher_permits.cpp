#include "core/request/dispatcher_impl.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace roseworks
{

namespace
{

/// A request that could go elsewhere waits for the answer to an ask so long:
/// some trips between two data centres.
constexpr duration longest_permit_answer = std::chrono::milliseconds(30);

/// @return The class and deadline of what is to go first.
std::pair<priority, instant> urgency_of(const detail::target* where)
{
    return {
        where->queue.best_class().value_or(priority::batch),
        where->queue.earliest_deadline().value_or(instant::max())};
}

} // namespace

void dispatcher::impl::server_limited(
    const server_place& server, double per_second, instant now)
{
    detail::server_permits& pace =
        this->loads.at(detail::key_of(server)).permits;
    this->limited_servers -= pace.is_limited() ? 1 : 0;
    pace.limit(per_second);
    this->limited_servers += pace.is_limited() ? 1 : 0;
    this->shared_server_free = true;
    this->pump_if_freed(now);
}

void dispatcher::impl::permit_given(
    const server_place& server, instant from, instant now)
{
    const detail::server_key key = detail::key_of(server);
    this->loads.at(key).permits.granted(from);
    this->due_no_later(from);
    if (from > now)
    {
        return;
    }
    for (detail::target* where : this->waiting_at(key))
    {
        this->pump(*where, now);
    }
}

std::vector<detail::target*>
dispatcher::impl::waiting_at(detail::server_key server) const
{
    const auto is_there = [server](const detail::target* where)
    {
        return std::ranges::any_of(
            where->backends,
            [server](const detail::backend& one)
            {
                return one.server == server && one.listed;
            });
    };
    std::vector<detail::target*> there;
    std::ranges::copy_if(this->waiting, std::back_inserter(there), is_there);
    std::ranges::stable_sort(there, std::ranges::less(), urgency_of);
    return there;
}

std::size_t dispatcher::impl::waiting_beside(
    const detail::target& where, std::span<std::size_t const> usable) const
{
    std::set<const detail::target*, by_number> others;
    for (const std::size_t i : usable)
    {
        for (const detail::target* one :
             this->waiting_at(where.backends[i].server))
        {
            others.insert(one);
        }
    }
    others.erase(&where);
    std::size_t count = 0;
    for (const detail::target* one : others)
    {
        count += one->waiting();
    }
    return count;
}

void dispatcher::impl::permit_refused(
    const server_place& server, duration retry_after, instant now)
{
    this->loads.at(detail::key_of(server)).permits.refused(now + retry_after);
    this->due_no_later(now + retry_after);
    this->shared_server_free = true;
    this->pump_if_freed(now);
}

bool dispatcher::impl::permit_withdrawn(const server_place& server)
{
    return this->loads.at(detail::key_of(server)).permits.revoke();
}

void dispatcher::impl::ask_for_permit(
    const detail::backend& one, bool waits, instant now)
{
    this->loads.at(one.server).permits.requested(waits, now);
    this->commands.emplace_back(
        permit_wanted{{one.where.engine, one.where.address}, waits});
}

void dispatcher::impl::ask_for_permits(const detail::target& where, instant now)
{
    if (this->limited_servers == 0 || where.waiting() == 0)
    {
        return;
    }
    const auto usable = detail::balancer::usable(where.backends, now);
    const auto free = detail::balancer::slots(
        where.backends, usable, where.max_streams, this->loads, now);
    if (free.any)
    {
        return; // what waits, waits for something else
    }
    for (const detail::backend& one : where.backends)
    {
        const detail::server_permits* pace = this->loads.permits_of(one.server);
        if (pace == nullptr || !one.listed || one.leaving)
        {
            continue;
        }
        if (pace->must_request(now))
        {
            this->ask_for_permit(one, true, now);
        }
        const auto next = pace->changes_at();
        if (next && *next > now)
        {
            this->due_no_later(*next);
        }
    }
}

bool dispatcher::impl::awaits_permit(
    const detail::target& where,
    pending& request,
    std::span<std::size_t const> usable,
    instant now)
{
    if (this->limited_servers == 0)
    {
        return false;
    }
    const bool is_asked = request.permit_awaited.has_value();
    for (const std::size_t i : usable)
    {
        const detail::backend& one = where.backends[i];
        const detail::server_permits* pace = this->loads.permits_of(one.server);
        if (pace == nullptr)
        {
            continue;
        }
        if (is_asked && pace->awaits_answer(now) &&
            now < *request.permit_awaited)
        {
            return true;
        }
        if (!is_asked && pace->must_request(now))
        {
            this->ask_for_permit(one, false, now);
            request.permit_awaited = now + longest_permit_answer;
            this->due_no_later(*request.permit_awaited);
            return true;
        }
    }
    return false;
}

dispatcher::impl::limited_outlook dispatcher::impl::limited_outlook_of(
    const detail::target& where,
    std::span<std::size_t const> usable,
    instant now) const
{
    limited_outlook outlook;
    if (this->limited_servers == 0)
    {
        return outlook;
    }
    std::optional<duration> next;
    for (const std::size_t i : usable)
    {
        const detail::server_permits* pace =
            this->loads.permits_of(where.backends[i].server);
        if (pace == nullptr || !pace->is_limited())
        {
            return {};
        }
        const std::chrono::duration<double> turn = pace->permit_interval(now);
        outlook.permits_a_second += 1 / turn.count();
        const duration one = pace->estimated_wait(now);
        next = std::min(next.value_or(one), one);
    }
    outlook.next = next.value_or(duration::zero());
    // Who of them goes first changes; half of them do, on average.
    outlook.beside = this->waiting_beside(where, usable) / 2;
    return outlook;
}

duration dispatcher::impl::limited_outlook::wait(std::size_t ahead) const
{
    if (this->permits_a_second == 0)
    {
        return duration::zero();
    }
    const std::chrono::duration<double> queue(
        static_cast<double>(ahead + this->beside) / this->permits_a_second);
    return this->next + std::chrono::duration_cast<duration>(queue);
}

} // namespace roseworks

#include "core/request/dispatcher_impl.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

using namespace std::chrono_literals;

constexpr duration log_retry = 5s;
constexpr duration drain_retry = 1s;
constexpr duration shortest_retry = 100ms;
constexpr duration longest_retry = 10min;

/// If no demand was sent for this long, the cold start counts as a new one.
constexpr duration demand_lapse = 60s;

} // namespace

void dispatcher::impl::table_changed(routing_table_ptr next, instant now)
{
    if (!next)
    {
        return;
    }
    this->table = std::move(next);
    ++this->generation;
    const std::vector<detail::target*> all(
        this->waiting.begin(), this->waiting.end());
    for (detail::target* where : all)
    {
        this->serve_waiting(*where, now);
    }
}

void dispatcher::impl::load_reported(const load_report& report, instant now)
{
    this->loads.reported(report, now);
    const detail::server_key server = detail::key_of(report.engine);
    const std::vector<detail::target*> all(
        this->waiting.begin(), this->waiting.end());
    for (detail::target* where : all)
    {
        const bool there = std::any_of(
            where->backends.begin(),
            where->backends.end(),
            [server](const detail::backend& one)
            {
                return one.server == server;
            });
        if (there)
        {
            this->pump(*where, now);
        }
    }
}

/// Cache events never unblock a waiting request, so no grants are attempted.
void dispatcher::impl::cache_reported(const cache_report& report, instant now)
{
    if (this->settings.affinity == prefix_affinity::cache_events)
    {
        this->cached.reported(report, now);
    }
}

void dispatcher::impl::routers_alive(std::size_t count, instant now)
{
    this->loads.routers_alive(count);
    const std::vector<detail::target*> all(
        this->waiting.begin(), this->waiting.end());
    for (detail::target* where : all)
    {
        this->pump(*where, now);
    }
}

void dispatcher::impl::vm_leaving(std::string_view vm, bool is, instant now)
{
    if (is)
    {
        this->leaving.emplace(vm);
    }
    else if (const auto found = this->leaving.find(vm);
             found != this->leaving.end())
    {
        this->leaving.erase(found);
    }
    for (targets* known : {&this->servables, &this->services})
    {
        for (auto& [name, where] : *known)
        {
            where->mark_leaving(this->leaving);
        }
    }
    const std::vector<detail::target*> all(
        this->waiting.begin(), this->waiting.end());
    for (detail::target* where : all)
    {
        this->serve_waiting(*where, now);
    }
}

void dispatcher::impl::drain()
{
    this->draining = true;
    const std::vector<detail::target*> all(
        this->waiting.begin(), this->waiting.end());
    for (detail::target* where : all)
    {
        this->refuse_all(*where, refusal_reason::draining, drain_retry);
    }
}

void dispatcher::impl::tick(instant now)
{
    this->due = now + this->settings.demand_interval;
    const std::vector<detail::target*> all(
        this->waiting.begin(), this->waiting.end());
    for (detail::target* where : all)
    {
        this->serve_waiting(*where, now);
        if (const auto earliest = where->queue.earliest_deadline())
        {
            this->due_no_later(*earliest);
        }
    }
}

std::optional<instant> dispatcher::impl::next_tick() const
{
    return this->queued_count == 0 ? std::nullopt : this->due;
}

void dispatcher::impl::due_by(instant when)
{
    const bool stale = this->queued_count <= 1;
    this->due = this->due && !stale ? std::min(*this->due, when) : when;
}

void dispatcher::impl::due_no_later(instant when)
{
    this->due = this->due ? std::min(*this->due, when) : when;
}

void dispatcher::impl::serve_waiting(detail::target& where, instant now)
{
    this->refresh(where, now);
    const refusal_reason closed = this->check_target(where, now);
    if (closed != refusal_reason::none)
    {
        this->refuse_all(where, closed, this->spread(log_retry));
        return;
    }
    this->pump(where, now);
    this->examine(where, now);
    this->ask_for_replicas(where, now);
}

duration dispatcher::impl::predicted_wait(
    const detail::target& where,
    const detail::queue_item& item,
    std::size_t ahead,
    std::span<std::size_t const> usable,
    const limited_outlook& limits,
    instant now) const
{
    if (usable.empty())
    {
        return this->remaining_cold(where, now) +
               where.estimator.queue_wait(ahead, where.max_streams, now);
    }
    const bool batch = item.level == priority::batch;
    const std::size_t slots = where.slots(usable, batch, this->loads, now);
    return std::max(
        where.estimator.queue_wait(ahead, slots, now), limits.wait(ahead));
}

duration
dispatcher::impl::remaining_cold(const detail::target& where, instant now) const
{
    // The time planned by placement takes precedence over past cold starts.
    if (where.expected_ready)
        return std::max(*where.expected_ready - now, duration::zero());
    const duration whole = where.estimator.cold(where.load_estimate);
    const duration passed =
        where.cold_since ? now - *where.cold_since : duration::zero();
    return std::max(whole - passed, duration::zero());
}

bool dispatcher::impl::can_start(
    const detail::target& where,
    const detail::queue_item& item,
    duration wait,
    instant now) const
{
    const pending& request = this->requests.at(item.id);
    const duration prefill =
        where.estimator.prefill(request.info.prompt_bytes, now);
    // The remaining length of a resumed stream is unknown.
    const duration rest =
        request.resumed ? duration::zero()
                        : where.estimator.rest(request.info.max_tokens, now);
    return now < item.deadline && now + wait + prefill + rest <= item.deadline;
}

duration dispatcher::impl::spread(duration value)
{
    // Adds up to 25 % so that refused callers don't all retry at once.
    const duration least = std::clamp(value, shortest_retry, longest_retry);
    const auto part = static_cast<duration::rep>(this->random() >> 48);
    return least + least / 4 * part / (1 << 16);
}

void dispatcher::impl::examine(detail::target& where, instant now)
{
    if (where.waiting() == 0)
    {
        return;
    }
    const auto usable = detail::balancer::usable(where.backends, now);
    const limited_outlook limits = this->limited_outlook_of(where, usable, now);
    std::vector<std::pair<ticket, duration>> refused;
    const auto examine_one =
        [&](const detail::queue_item& item, std::size_t ahead)
    {
        const duration wait =
            this->predicted_wait(where, item, ahead, usable, limits, now);
        if (this->can_start(where, item, wait, now))
        {
            return true;
        }
        refused.emplace_back(item.id, wait);
        return false;
    };
    where.queue.examine_all(examine_one);
    for (const ticket id : where.suspects)
    {
        examine_one(this->requests.at(id).item, 0);
    }
    for (const auto& [id, wait] : refused)
    {
        this->refuse(id, refusal_reason::deadline, this->spread(wait));
    }
    this->pump_if_freed(now);
}

void dispatcher::impl::refuse_all(
    detail::target& where, refusal_reason reason, duration retry_after)
{
    std::vector<ticket> all = where.suspects;
    where.queue.examine_all(
        [&all](const detail::queue_item& item, std::size_t)
        {
            all.push_back(item.id);
            return true;
        });
    std::sort(all.begin(), all.end());
    for (const ticket id : all)
    {
        this->refuse(id, reason, retry_after);
    }
}

void dispatcher::impl::ask_for_replicas(detail::target& where, instant now)
{
    if (where.is_service || !where.known || where.waiting() == 0 ||
        where.max_replicas == 0 ||
        (!this->table->log_available() && !where.granted))
    {
        return;
    }
    const auto usable = detail::balancer::usable(where.backends, now);
    const auto ready = static_cast<std::size_t>(std::count_if(
        where.backends.begin(),
        where.backends.end(),
        [](const detail::backend& one)
        {
            return one.listed;
        }));
    const bool short_of_slots =
        where.waiting() > where.slots(usable, false, this->loads, now) &&
        ready < where.max_replicas;
    if (!usable.empty() && !short_of_slots)
    {
        return;
    }

    const bool lapsed =
        !where.last_demand || now - *where.last_demand > demand_lapse;
    if (usable.empty() && (!where.cold_since || lapsed))
    {
        where.cold_since = now;
    }
    if (where.last_demand &&
        now - *where.last_demand < this->settings.demand_interval)
    {
        return;
    }
    this->send_demand(where, now);
}

instant dispatcher::impl::earliest_objective(
    const detail::target& where, instant now) const
{
    instant earliest = instant::max();
    where.queue.examine_all(
        [&](const detail::queue_item& item, std::size_t)
        {
            const instant objective = this->requests.at(item.id).info.objective;
            if (objective >= now)
                earliest = std::min(earliest, objective);
            return true;
        });
    return earliest;
}

void dispatcher::impl::send_demand(detail::target& where, instant now)
{
    demand command;
    command.servable = where.servable;
    command.target = where.name;
    command.earliest_objective = this->earliest_objective(where, now);
    command.waiting = static_cast<std::uint32_t>(where.waiting());
    command.urgency = where.queue.best_class().value_or(priority::batch);
    command.earliest_deadline =
        where.queue.earliest_deadline().value_or(instant::max());
    for (const ticket id : where.suspects)
    {
        const detail::queue_item& item = this->requests.at(id).item;
        command.urgency = std::min(command.urgency, item.level);
        command.earliest_deadline =
            std::min(command.earliest_deadline, item.deadline);
    }
    where.last_demand = now;
    this->commands.emplace_back(command);
}

} // namespace roseworks

#include "core/request/dispatcher_impl.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace roseworks
{

namespace
{

using namespace std::chrono_literals;

constexpr duration log_unavailable_retry_after = 5s;
constexpr duration draining_retry_after = 1s;
constexpr duration min_retry_after = 100ms;
constexpr duration max_retry_after = 10min;

/// If no demand was sent for this long, the cold start counts as a new one.
constexpr duration demand_timeout = 60s;

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
    for (detail::target* destination : all)
    {
        this->update_waiting(*destination, now);
    }
}

void dispatcher::impl::load_reported(const load_report& report, instant now)
{
    this->loads.reported(report, now);
    const detail::server_key server = detail::key_of(report.engine);
    const std::vector<detail::target*> all(
        this->waiting.begin(), this->waiting.end());
    for (detail::target* destination : all)
    {
        const bool uses_server = std::any_of(
            destination->backends.begin(),
            destination->backends.end(),
            [server](const detail::backend& candidate)
            {
                return candidate.server == server;
            });
        if (uses_server)
        {
            this->grant_waiting(*destination, now);
        }
    }
}

/// Cache events never unblock a waiting request, so no grants are attempted.
void dispatcher::impl::cache_reported(const cache_report& report, instant now)
{
    if (this->settings.affinity == prefix_affinity::cache_events)
    {
        this->prefix_caches.reported(report, now);
    }
}

void dispatcher::impl::routers_alive(std::size_t count, instant now)
{
    this->loads.routers_alive(count);
    const std::vector<detail::target*> all(
        this->waiting.begin(), this->waiting.end());
    for (detail::target* destination : all)
    {
        this->grant_waiting(*destination, now);
    }
}

void dispatcher::impl::vm_leaving(
    std::string_view vm, bool is_leaving, instant now)
{
    if (is_leaving)
    {
        this->leaving.emplace(vm);
    }
    else if (const auto found = this->leaving.find(vm);
             found != this->leaving.end())
    {
        this->leaving.erase(found);
    }
    for (targets* by_name : {&this->servables, &this->services})
    {
        for (auto& [name, destination] : *by_name)
        {
            destination->mark_leaving(this->leaving);
        }
    }
    const std::vector<detail::target*> all(
        this->waiting.begin(), this->waiting.end());
    for (detail::target* destination : all)
    {
        this->update_waiting(*destination, now);
    }
}

bool dispatcher::impl::takes_requests(
    const server_place& server, std::string_view vm, instant now) const
{
    return !this->leaving.contains(vm) &&
           !this->loads.is_paused(detail::key_of(server), now);
}

void dispatcher::impl::drain()
{
    this->draining = true;
    const std::vector<detail::target*> all(
        this->waiting.begin(), this->waiting.end());
    for (detail::target* destination : all)
    {
        this->refuse_all(
            *destination, refusal_reason::draining, draining_retry_after);
    }
}

void dispatcher::impl::tick(instant now)
{
    this->next_tick_time = now + this->settings.demand_interval;
    const std::vector<detail::target*> all(
        this->waiting.begin(), this->waiting.end());
    for (detail::target* destination : all)
    {
        this->update_waiting(*destination, now);
        if (const auto earliest = destination->queue.earliest_deadline())
        {
            this->schedule_tick_by(*earliest);
        }
    }
}

std::optional<instant> dispatcher::impl::next_tick() const
{
    return this->queued_count == 0 ? std::nullopt : this->next_tick_time;
}

void dispatcher::impl::schedule_tick_for_queued(instant when)
{
    const bool stale = this->queued_count <= 1;
    this->next_tick_time = this->next_tick_time && !stale
                               ? std::min(*this->next_tick_time, when)
                               : when;
}

void dispatcher::impl::schedule_tick_by(instant when)
{
    this->next_tick_time =
        this->next_tick_time ? std::min(*this->next_tick_time, when) : when;
}

void dispatcher::impl::update_waiting(detail::target& destination, instant now)
{
    this->refresh(destination, now);
    const refusal_reason closed = this->check_target(destination, now);
    if (closed != refusal_reason::none)
    {
        this->refuse_all(
            destination,
            closed,
            destination.software
                ? duration::zero()
                : this->add_jitter(log_unavailable_retry_after));
        return;
    }
    this->grant_waiting(destination, now);
    this->refuse_late(destination, now);
    this->request_replicas(destination, now);
}

duration dispatcher::impl::predicted_wait(
    const detail::target& destination,
    const detail::queue_item& item,
    std::size_t ahead,
    std::span<std::size_t const> usable,
    const rate_limit_forecast& forecast,
    instant now) const
{
    if (usable.empty())
    {
        return this->remaining_cold_start(destination, now) +
               destination.estimator.queue_wait(
                   ahead, destination.max_streams, now);
    }
    const bool batch = item.level == priority::batch;
    const std::size_t slots =
        destination.slots(usable, batch, this->loads, now);
    return std::max(
        {destination.estimator.queue_wait(ahead, slots, now),
         forecast.wait(ahead),
         this->until_a_server_takes_requests(destination, usable, now)});
}

duration dispatcher::impl::remaining_cold_start(
    const detail::target& destination, instant now) const
{
    // The time planned by placement takes precedence over past cold starts.
    if (destination.expected_ready)
        return std::max(*destination.expected_ready - now, duration::zero());
    const duration total =
        destination.estimator.cold_start_time(destination.load_estimate);
    const duration elapsed = destination.cold_since
                                 ? now - *destination.cold_since
                                 : duration::zero();
    return std::max(total - elapsed, duration::zero());
}

bool dispatcher::impl::can_meet_deadline(
    const detail::target& destination,
    const detail::queue_item& item,
    duration wait,
    instant now) const
{
    const pending& request = this->requests.at(item.id);
    const duration prefill =
        destination.estimator.prefill_time(request.info.prompt_bytes, now);
    // The remaining length of a resumed stream is unknown.
    const duration generation_left =
        request.resumed ? duration::zero()
                        : destination.estimator.generation_time(
                              request.info.max_tokens, now);
    return now < item.deadline &&
           now + wait + prefill + generation_left <= item.deadline;
}

duration dispatcher::impl::add_jitter(duration value)
{
    // Adds up to 25 % so that refused callers don't all retry at once.
    const duration base = std::clamp(value, min_retry_after, max_retry_after);
    const auto random_part = static_cast<duration::rep>(this->random() >> 48);
    return base + base / 4 * random_part / (1 << 16);
}

std::uint8_t dispatcher::impl::permit_rank(const detail::queue_item& item) const
{
    constexpr std::uint8_t last = detail::server_permits::rank_count - 1;
    return this->settings.objectives_first ? std::min(item.rank, last)
                                           : std::uint8_t(0);
}

void dispatcher::impl::refuse_late(detail::target& destination, instant now)
{
    if (destination.waiting() == 0)
    {
        return;
    }
    const auto usable =
        detail::balancer::usable(destination.backends, this->loads, now);
    std::array<
        std::optional<rate_limit_forecast>,
        detail::server_permits::rank_count>
        forecasts;
    std::vector<std::pair<ticket, duration>> refused;
    const auto check_deadline =
        [&](const detail::queue_item& item, std::size_t ahead)
    {
        const std::uint8_t rank = this->permit_rank(item);
        if (!forecasts.at(rank))
        {
            forecasts.at(rank) =
                this->forecast_rate_limit(destination, usable, rank, now);
        }
        const rate_limit_forecast& forecast = *forecasts.at(rank);
        const duration wait = this->predicted_wait(
            destination, item, ahead, usable, forecast, now);
        if (this->can_meet_deadline(destination, item, wait, now))
        {
            return true;
        }
        refused.emplace_back(item.id, wait);
        return false;
    };
    destination.queue.visit_waiting(check_deadline);
    for (const ticket id : destination.suspects)
    {
        check_deadline(this->requests.at(id).item, 0);
    }
    for (const auto& [id, wait] : refused)
    {
        this->refuse(id, refusal_reason::deadline, this->add_jitter(wait));
    }
    this->grant_waiting_on_freed_servers(now);
}

void dispatcher::impl::refuse_all(
    detail::target& destination, refusal_reason reason, duration retry_after)
{
    std::vector<ticket> all = destination.suspects;
    destination.queue.visit_waiting(
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

void dispatcher::impl::request_replicas(
    detail::target& destination, instant now)
{
    if (destination.is_service || !destination.in_table ||
        destination.waiting() == 0 || destination.max_replicas == 0 ||
        (!this->table->log_available() && !destination.granted))
    {
        return;
    }
    const auto usable =
        detail::balancer::usable(destination.backends, this->loads, now);
    const auto ready = static_cast<std::size_t>(std::count_if(
        destination.backends.begin(),
        destination.backends.end(),
        [](const detail::backend& candidate)
        {
            return candidate.listed;
        }));
    const bool short_of_slots =
        destination.waiting() >
            destination.slots(usable, false, this->loads, now) &&
        ready < destination.max_replicas;
    if (!usable.empty() && !short_of_slots)
    {
        return;
    }

    const bool demand_expired = !destination.last_demand ||
                                now - *destination.last_demand > demand_timeout;
    if (usable.empty() && (!destination.cold_since || demand_expired))
    {
        destination.cold_since = now;
    }
    if (destination.last_demand &&
        now - *destination.last_demand < this->settings.demand_interval)
    {
        return;
    }
    this->send_demand(destination, now);
}

instant dispatcher::impl::earliest_objective(
    const detail::target& destination, instant now) const
{
    instant earliest = instant::max();
    destination.queue.visit_waiting(
        [&](const detail::queue_item& item, std::size_t)
        {
            const instant objective = this->requests.at(item.id).info.objective;
            if (objective >= now)
                earliest = std::min(earliest, objective);
            return true;
        });
    return earliest;
}

void dispatcher::impl::send_demand(detail::target& destination, instant now)
{
    demand command;
    command.servable = destination.servable;
    command.target = destination.name;
    command.software = destination.software;
    command.earliest_objective = this->earliest_objective(destination, now);
    command.waiting = static_cast<std::uint32_t>(destination.waiting());
    command.urgency = destination.queue.best_class().value_or(priority::batch);
    command.earliest_deadline =
        destination.queue.earliest_deadline().value_or(instant::max());
    for (const ticket id : destination.suspects)
    {
        const detail::queue_item& item = this->requests.at(id).item;
        command.urgency = std::min(command.urgency, item.level);
        command.earliest_deadline =
            std::min(command.earliest_deadline, item.deadline);
    }
    destination.last_demand = now;
    this->commands.emplace_back(command);
}

} // namespace roseworks

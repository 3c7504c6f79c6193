#include "core/request/dispatcher_impl.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

using namespace std::chrono_literals;

constexpr duration log_unavailable_retry_after = 5s;
constexpr duration blocked_retry_after = 60s;
constexpr duration unknown_target_retry_after = 10s;
constexpr duration draining_retry_after = 1s;
constexpr duration queue_full_retry_after = 1s;

/// Idle targets are removed only while there are more targets than this.
constexpr std::size_t max_retained_targets = 2048;
constexpr duration target_idle_timeout = 60s;
constexpr duration purge_interval = 10s;

/// A request costs its caller one unit, plus one unit for each full
/// `prompt_unit_bytes` of prompt and each full `answer_unit_tokens` of
/// requested answer.
constexpr std::uint32_t prompt_unit_bytes = 8 * 1024;
constexpr std::uint32_t answer_unit_tokens = 256;

std::string target_key(const request_info& info)
{
    if (!info.software)
    {
        return info.target;
    }
    // Names contain no control characters.
    return info.target + '\n' + std::to_string(info.software.value);
}

priority cap_priority(priority asked, priority highest)
{
    return std::max(asked, highest);
}

} // namespace

dispatcher::impl::impl(options chosen)
    : settings(std::move(chosen))
    , replica_balancer(this->settings.data_centre, this->settings.seed)
    , random(this->settings.seed ^ 0x5DEECE66DULL)
{
}

ticket dispatcher::impl::submit(request_info info, instant now)
{
    const ticket id(++this->last_ticket);
    this->purge(now);

    if (this->draining)
    {
        this->refuse_on_arrival(
            id, refusal_reason::draining, draining_retry_after);
        return id;
    }
    if (!this->table)
    {
        this->refuse_on_arrival(
            id, refusal_reason::log_unavailable, log_unavailable_retry_after);
        return id;
    }
    detail::target* destination = this->find_or_add_target(info, now);
    if (destination == nullptr)
    {
        const refusal_reason reason = info.is_service
                                          ? refusal_reason::unknown_service
                                          : refusal_reason::unknown_servable;
        this->refuse_on_arrival(id, reason, unknown_target_retry_after);
        return id;
    }
    if (info.content && this->table->is_blocked(info.content))
    {
        this->refuse_on_arrival(
            id, refusal_reason::blocked, blocked_retry_after);
        return id;
    }
    const refusal_reason closed = this->check_target(*destination, now);
    if (closed != refusal_reason::none)
    {
        this->refuse_on_arrival(id, closed, retry_delay_of(*destination));
        return id;
    }

    const caller_spec* found = this->table->find_caller(info.caller);
    const caller_spec spec = found == nullptr ? caller_spec{} : *found;
    const priority level = cap_priority(info.asked, spec.highest);
    if (!this->free_held_bytes(info, level))
    {
        this->refuse_on_arrival(
            id,
            refusal_reason::queue_full,
            this->add_jitter(queue_full_retry_after));
        return id;
    }
    const auto admission = this->limits.admit(info.caller, spec, now);
    if (admission.refused)
    {
        this->refuse_on_arrival(
            id, refusal_reason::caller_limit, *admission.refused);
        return id;
    }

    pending added;
    added.item = this->make_item(id, info, admission.caller, spec, now);
    added.destination = destination;
    added.info = std::move(info);
    this->held_bytes += added.info.held_bytes;
    this->enqueue(this->requests.emplace(id, std::move(added)).first->second);
    this->start_or_queue(id, now);
    return id;
}

refusal_reason dispatcher::impl::check_target(
    const detail::target& destination, instant now) const
{
    if (!destination.in_table)
    {
        return destination.is_service ? refusal_reason::unknown_service
                                      : refusal_reason::unknown_servable;
    }
    if (!detail::balancer::usable(destination.backends, this->loads, now)
             .empty())
    {
        return refusal_reason::none;
    }
    const bool is_software_gone =
        destination.software &&
        !this->table->has_software(destination.software);
    if (destination.is_service || destination.max_replicas == 0 ||
        is_software_gone)
    {
        return refusal_reason::no_capacity;
    }
    const bool may_load = this->table->log_available() || destination.granted;
    return may_load ? refusal_reason::none : refusal_reason::log_unavailable;
}

std::shared_ptr<detail::retry_budgets> dispatcher::impl::budgets_of(
    const request_info& info, const targets& by_name) const
{
    // A version of its own would start with the tokens of one second.
    const auto of_all_versions = by_name.find(info.target);
    if (of_all_versions != by_name.end())
    {
        return of_all_versions->second->budgets;
    }
    return std::make_shared<detail::retry_budgets>(
        this->settings.retry_budget_percent);
}

duration dispatcher::impl::retry_delay_of(const detail::target& destination)
{
    // Servers of an earlier version don't come back.
    return destination.software ? duration::zero()
                                : log_unavailable_retry_after;
}

detail::target*
dispatcher::impl::find_or_add_target(const request_info& info, instant now)
{
    targets& by_name = info.is_service ? this->services : this->servables;
    std::string key = target_key(info);
    const auto found = by_name.find(key);
    if (found != by_name.end())
    {
        this->refresh(*found->second, now);
        found->second->last_used = now;
        return found->second->in_table ? found->second.get() : nullptr;
    }

    const bool exists =
        info.is_service ? this->table->find_service(info.target) != nullptr
                        : this->table->find_servable(info.target) != nullptr;
    if (!exists)
    {
        return nullptr;
    }
    auto added = std::make_unique<detail::target>(
        ++this->last_target,
        info.target,
        info.software,
        info.is_service,
        this->settings.ageing,
        this->budgets_of(info, by_name));
    detail::target* destination = added.get();
    by_name.emplace(std::move(key), std::move(added));
    destination->last_used = now;
    this->refresh(*destination, now);
    return destination;
}

detail::queue_item dispatcher::impl::make_item(
    ticket id,
    const request_info& info,
    detail::caller_number caller,
    const caller_spec& spec,
    instant now) const
{
    detail::queue_item item;
    item.id = id;
    item.deadline = info.deadline;
    item.objective = info.objective;
    item.rank = info.rank;
    item.enqueued = now;
    item.level = cap_priority(info.asked, spec.highest);
    item.caller = caller;
    item.weight = std::max<std::uint16_t>(spec.weight, 1);
    item.cost = 1 + info.prompt_bytes / prompt_unit_bytes +
                info.max_tokens / answer_unit_tokens;
    item.long_prompt = info.prompt_bytes > detail::long_prompt_bytes;
    return item;
}

void dispatcher::impl::start_or_queue(ticket id, instant now)
{
    detail::target& destination = *this->requests.at(id).destination;
    this->grant_waiting(destination, now);

    const auto found = this->requests.find(id);
    if (found == this->requests.end() ||
        found->second.current_stage == stage::granted)
    {
        return;
    }

    const detail::queue_item item = found->second.item;
    this->schedule_tick_for_queued(
        std::min(item.deadline, now + this->settings.demand_interval));
    const auto usable =
        detail::balancer::usable(destination.backends, this->loads, now);
    const std::size_t ahead = found->second.current_stage == stage::suspect
                                  ? 0
                                  : destination.queue.ahead_of(item);
    const rate_limit_forecast forecast = this->forecast_rate_limit(
        destination, usable, this->permit_rank(item), now);
    const duration wait =
        this->predicted_wait(destination, item, ahead, usable, forecast, now);
    this->request_replicas(destination, now);
    if (!this->can_meet_deadline(destination, item, wait, now))
    {
        this->refuse(id, refusal_reason::deadline, this->add_jitter(wait));
        return;
    }
    this->enforce_queue_limits(id);
}

bool dispatcher::impl::free_held_bytes(const request_info& info, priority level)
{
    const std::size_t limit = this->settings.max_held_bytes;
    std::size_t displaceable = 0;
    for (auto i = static_cast<std::size_t>(level) + 1; i < detail::class_count;
         ++i)
    {
        displaceable += this->queued_bytes[i];
    }
    if (this->held_bytes - displaceable + info.held_bytes > limit)
    {
        return false;
    }

    while (this->held_bytes + info.held_bytes > limit)
    {
        const auto victim = this->displacement_candidate(nullptr, level);
        if (!victim)
        {
            return false;
        }
        this->refuse(
            victim->id,
            refusal_reason::displaced,
            this->add_jitter(queue_full_retry_after));
    }
    return true;
}

void dispatcher::impl::enforce_queue_limits(ticket newest)
{
    const pending& request = this->requests.at(newest);
    const detail::target& destination = *request.destination;
    const priority level = request.item.level;
    while (true)
    {
        const bool target_full =
            destination.waiting() > this->settings.max_queued_per_target;
        if (!target_full && this->queued_count <= this->settings.max_queued)
        {
            return;
        }
        const auto victim = this->displacement_candidate(
            target_full ? &destination : nullptr, level);
        if (!victim)
        {
            this->refuse(
                newest,
                refusal_reason::queue_full,
                this->add_jitter(queue_full_retry_after));
            return;
        }
        this->refuse(
            victim->id,
            refusal_reason::displaced,
            this->add_jitter(queue_full_retry_after));
    }
}

std::optional<detail::queue_item> dispatcher::impl::displacement_candidate(
    const detail::target* only, priority below) const
{
    if (only != nullptr)
    {
        return only->queue.displacement_candidate(below);
    }

    std::optional<detail::queue_item> worst;
    std::size_t longest = 0;
    for (const detail::target* waiting_target : this->waiting)
    {
        const auto candidate =
            waiting_target->queue.displacement_candidate(below);
        if (!candidate)
        {
            continue;
        }
        const std::size_t length = waiting_target->queue.size(candidate->level);
        if (!worst || candidate->level > worst->level ||
            (candidate->level == worst->level && length > longest))
        {
            worst = candidate;
            longest = length;
        }
    }
    return worst;
}

void dispatcher::impl::refuse_on_arrival(
    ticket id, refusal_reason reason, duration retry_after)
{
    this->commands.emplace_back(
        refusal{id, reason, verdict::not_run, retry_after});
}

void dispatcher::impl::purge(instant now)
{
    if (now - this->last_purge < purge_interval)
    {
        return;
    }
    this->last_purge = now;
    this->limits.purge(now);
    if (this->servables.size() + this->services.size() <= max_retained_targets)
    {
        return;
    }
    const auto forgettable = [now](const auto& entry)
    {
        return entry.second->idle() &&
               now - entry.second->last_used > target_idle_timeout;
    };
    std::erase_if(this->servables, forgettable);
    std::erase_if(this->services, forgettable);
}

} // namespace roseworks

#include "core/request/dispatcher_impl.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

using namespace std::chrono_literals;

constexpr duration log_retry = 5s;
constexpr duration block_retry = 60s;
constexpr duration unknown_retry = 10s;
constexpr duration drain_retry = 1s;
constexpr duration full_retry = 1s;

/// Idle targets are removed only while there are more targets than this.
constexpr std::size_t remembered_targets = 2048;
constexpr duration idle_limit = 60s;
constexpr duration purge_interval = 10s;

/// A request costs its caller one unit, plus one unit for each full
/// `prompt_unit_bytes` of prompt and each full `answer_unit_tokens` of
/// requested answer.
constexpr std::uint32_t prompt_unit_bytes = 8 * 1024;
constexpr std::uint32_t answer_unit_tokens = 256;

priority capped(priority asked, priority highest)
{
    return std::max(asked, highest);
}

} // namespace

dispatcher::impl::impl(options chosen)
    : settings(std::move(chosen))
    , chooser(this->settings.data_centre, this->settings.seed)
    , random(this->settings.seed ^ 0x5DEECE66DULL)
{
}

ticket dispatcher::impl::submit(request_info info, instant now)
{
    const ticket id(++this->last_ticket);
    this->purge(now);

    if (this->draining)
    {
        this->turn_away(id, refusal_reason::draining, drain_retry);
        return id;
    }
    if (!this->table)
    {
        this->turn_away(id, refusal_reason::log_unavailable, log_retry);
        return id;
    }
    detail::target* where = this->find_target(info, now);
    if (where == nullptr)
    {
        const refusal_reason reason = info.is_service
                                          ? refusal_reason::unknown_service
                                          : refusal_reason::unknown_servable;
        this->turn_away(id, reason, unknown_retry);
        return id;
    }
    if (info.content && this->table->is_blocked(info.content))
    {
        this->turn_away(id, refusal_reason::blocked, block_retry);
        return id;
    }
    const refusal_reason closed = this->check_target(*where, now);
    if (closed != refusal_reason::none)
    {
        this->turn_away(id, closed, log_retry);
        return id;
    }

    const caller_spec* found = this->table->find_caller(info.caller);
    const caller_spec spec = found == nullptr ? caller_spec{} : *found;
    const priority level = capped(info.asked, spec.highest);
    if (!this->make_room(info, level))
    {
        this->turn_away(
            id, refusal_reason::queue_full, this->spread(full_retry));
        return id;
    }
    const auto admission = this->limits.admit(info.caller, spec, now);
    if (admission.refused)
    {
        this->turn_away(id, refusal_reason::caller_limit, *admission.refused);
        return id;
    }

    pending added;
    added.item = this->make_item(id, info, admission.caller, spec, now);
    added.where = where;
    added.info = std::move(info);
    this->held_bytes += added.info.held_bytes;
    this->enqueue(this->requests.emplace(id, std::move(added)).first->second);
    this->admit(id, now);
    return id;
}

refusal_reason
dispatcher::impl::check_target(const detail::target& where, instant now) const
{
    if (!where.known)
    {
        return where.is_service ? refusal_reason::unknown_service
                                : refusal_reason::unknown_servable;
    }
    if (!detail::balancer::usable(where.backends, now).empty())
    {
        return refusal_reason::none;
    }
    if (where.is_service || where.max_replicas == 0)
    {
        return refusal_reason::no_capacity;
    }
    const bool may_load = this->table->log_available() || where.granted;
    return may_load ? refusal_reason::none : refusal_reason::log_unavailable;
}

detail::target*
dispatcher::impl::find_target(const request_info& info, instant now)
{
    targets& known = info.is_service ? this->services : this->servables;
    const auto found = known.find(info.target);
    if (found != known.end())
    {
        this->refresh(*found->second, now);
        found->second->last_used = now;
        return found->second->known ? found->second.get() : nullptr;
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
        info.is_service,
        this->settings.ageing,
        this->settings.retry_budget_percent);
    detail::target* where = added.get();
    known.emplace(info.target, std::move(added));
    where->last_used = now;
    this->refresh(*where, now);
    return where;
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
    item.enqueued = now;
    item.level = capped(info.asked, spec.highest);
    item.caller = caller;
    item.weight = std::max<std::uint16_t>(spec.weight, 1);
    item.cost = 1 + info.prompt_bytes / prompt_unit_bytes +
                info.max_tokens / answer_unit_tokens;
    item.long_prompt = info.prompt_bytes > detail::long_prompt_bytes;
    return item;
}

void dispatcher::impl::admit(ticket id, instant now)
{
    detail::target& where = *this->requests.at(id).where;
    this->pump(where, now);

    const auto found = this->requests.find(id);
    if (found == this->requests.end() || found->second.at == stage::granted)
    {
        return;
    }

    const detail::queue_item item = found->second.item;
    this->due_by(std::min(item.deadline, now + this->settings.demand_interval));
    const auto usable = detail::balancer::usable(where.backends, now);
    const std::size_t ahead =
        found->second.at == stage::suspect ? 0 : where.queue.ahead_of(item);
    const limited_outlook limits = this->limited_outlook_of(where, usable, now);
    const duration wait =
        this->predicted_wait(where, item, ahead, usable, limits, now);
    this->ask_for_replicas(where, now);
    if (!this->can_start(where, item, wait, now))
    {
        this->refuse(id, refusal_reason::deadline, this->spread(wait));
        return;
    }
    this->trim(id);
}

bool dispatcher::impl::make_room(const request_info& info, priority level)
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
        const auto victim = this->least_wanted(nullptr, level);
        if (!victim)
        {
            return false;
        }
        this->refuse(
            victim->id, refusal_reason::displaced, this->spread(full_retry));
    }
    return true;
}

void dispatcher::impl::trim(ticket newest)
{
    const pending& request = this->requests.at(newest);
    const detail::target& where = *request.where;
    const priority level = request.item.level;
    while (true)
    {
        const bool target_full =
            where.waiting() > this->settings.max_queued_per_target;
        if (!target_full && this->queued_count <= this->settings.max_queued)
        {
            return;
        }
        const auto victim =
            this->least_wanted(target_full ? &where : nullptr, level);
        if (!victim)
        {
            this->refuse(
                newest, refusal_reason::queue_full, this->spread(full_retry));
            return;
        }
        this->refuse(
            victim->id, refusal_reason::displaced, this->spread(full_retry));
    }
}

std::optional<detail::queue_item>
dispatcher::impl::least_wanted(const detail::target* only, priority below) const
{
    if (only != nullptr)
    {
        return only->queue.least_wanted(below);
    }

    std::optional<detail::queue_item> worst;
    std::size_t longest = 0;
    for (const detail::target* one : this->waiting)
    {
        const auto candidate = one->queue.least_wanted(below);
        if (!candidate)
        {
            continue;
        }
        const std::size_t length = one->queue.size(candidate->level);
        if (!worst || candidate->level > worst->level ||
            (candidate->level == worst->level && length > longest))
        {
            worst = candidate;
            longest = length;
        }
    }
    return worst;
}

void dispatcher::impl::turn_away(
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
    if (this->servables.size() + this->services.size() <= remembered_targets)
    {
        return;
    }
    const auto forgettable = [now](const auto& entry)
    {
        return entry.second->idle() &&
               now - entry.second->last_used > idle_limit;
    };
    std::erase_if(this->servables, forgettable);
    std::erase_if(this->services, forgettable);
}

} // namespace roseworks

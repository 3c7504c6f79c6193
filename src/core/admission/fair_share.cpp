#include "core/admission/fair_share.hpp"

#include <algorithm>
#include <cassert>

namespace roseworks::detail
{

namespace
{

/// Up to this many idle callers are kept. Beyond that, idle callers are removed
/// once the virtual time has reached their start tag.
constexpr std::size_t max_idle_callers = 64;

/// Virtual time units per unit of cost. Keeps the rounding error small when
/// costs are divided by weights.
constexpr std::uint64_t virtual_time_scale = 1 << 12;

} // namespace

void fair_share::push(const queue_item& item)
{
    caller_queue& own_queue = this->caller_queues[item.caller];
    if (own_queue.size() == 0)
    {
        own_queue.weight = std::max<std::uint16_t>(item.weight, 1);
        own_queue.start_tag = std::max(own_queue.start_tag, this->virtual_time);
        this->active.emplace(own_queue.start_tag, item.caller);
        this->active_weight += own_queue.weight;
    }

    ordered_keys& keys =
        item.long_prompt ? own_queue.long_items : own_queue.short_items;
    keys.insert(key(item.deadline, item.id.value));
    ++this->count;
    this->short_count += item.long_prompt ? 0 : 1;
}

void fair_share::erase(const queue_item& item)
{
    auto found = this->caller_queues.find(item.caller);
    assert(found != this->caller_queues.end());
    caller_queue& own_queue = found->second;

    ordered_keys& keys =
        item.long_prompt ? own_queue.long_items : own_queue.short_items;
    keys.erase(key(item.deadline, item.id.value));
    --this->count;
    this->short_count -= item.long_prompt ? 0 : 1;

    if (own_queue.size() == 0)
    {
        this->active.erase({own_queue.start_tag, item.caller});
        this->active_weight -= own_queue.weight;
        this->forget_idle();
    }
}

std::optional<ticket> fair_share::next(bool allow_long) const
{
    for (const auto& [start_tag, caller] : this->active)
    {
        const caller_queue& queue = this->caller_queues.at(caller);
        const bool use_long = allow_long && !queue.long_items.empty();
        if (queue.short_items.empty() && !use_long)
        {
            continue;
        }
        if (queue.short_items.empty())
        {
            return ticket(queue.long_items.begin()->second);
        }
        if (!use_long)
        {
            return ticket(queue.short_items.begin()->second);
        }
        const key first =
            std::min(*queue.short_items.begin(), *queue.long_items.begin());
        return ticket(first.second);
    }
    return std::nullopt;
}

void fair_share::charge(const queue_item& item)
{
    caller_queue& own_queue = this->caller_queues[item.caller];
    const bool waits = own_queue.size() != 0;
    if (waits)
    {
        this->active.erase({own_queue.start_tag, item.caller});
    }
    this->virtual_time = std::max(this->virtual_time, own_queue.start_tag);
    const std::uint16_t weight = std::max<std::uint16_t>(item.weight, 1);
    own_queue.start_tag = std::max(own_queue.start_tag, this->virtual_time) +
                          virtual_time_scale * item.cost / weight;
    if (waits)
    {
        this->active.emplace(own_queue.start_tag, item.caller);
    }
}

std::size_t fair_share::ahead_of(const queue_item& item) const
{
    const auto found = this->caller_queues.find(item.caller);
    if (found == this->caller_queues.end() || found->second.size() == 0)
    {
        caller_queue new_caller;
        new_caller.weight = std::max<std::uint16_t>(item.weight, 1);
        return this->estimate_ahead(0, 0, new_caller);
    }
    const caller_queue& own_queue = found->second;
    const key own_key(item.deadline, item.id.value);
    const std::size_t position = own_queue.short_items.order_of_key(own_key) +
                                 own_queue.long_items.order_of_key(own_key);
    return this->estimate_ahead(position, own_queue.size(), own_queue);
}

std::size_t fair_share::estimate_ahead(
    std::size_t position,
    std::size_t own_count,
    const caller_queue& requester_queue) const
{
    const std::size_t all = this->count - own_count + position;
    const std::size_t shared =
        position * this->active_weight / requester_queue.weight;
    return std::max(position, std::min(all, shared));
}

std::vector<ticket> fair_share::visit_waiting(const visitor& visit) const
{
    std::vector<ticket> refused;
    for (const auto& [caller, queue] : this->caller_queues)
    {
        std::size_t kept = 0;
        auto short_item = queue.short_items.begin();
        auto long_item = queue.long_items.begin();
        while (short_item != queue.short_items.end() ||
               long_item != queue.long_items.end())
        {
            const bool take_long = short_item == queue.short_items.end() ||
                                   (long_item != queue.long_items.end() &&
                                    *long_item < *short_item);
            const ticket id((take_long ? long_item : short_item)->second);
            ++(take_long ? long_item : short_item);
            if (visit(id, this->estimate_ahead(kept, queue.size(), queue)))
            {
                ++kept;
            }
            else
            {
                refused.push_back(id);
            }
        }
    }
    return refused;
}

std::optional<ticket> fair_share::displacement_candidate() const
{
    const caller_queue* longest = nullptr;
    for (const auto& [caller, queue] : this->caller_queues)
    {
        if (queue.size() != 0 &&
            (longest == nullptr || queue.size() > longest->size()))
        {
            longest = &queue;
        }
    }
    if (longest == nullptr)
    {
        return std::nullopt;
    }

    std::optional<key> last;
    for (const ordered_keys* keys :
         {&longest->short_items, &longest->long_items})
    {
        if (!keys->empty())
        {
            const key candidate = *keys->rbegin();
            last = last ? std::max(*last, candidate) : candidate;
        }
    }
    return ticket(last->second);
}

std::optional<instant> fair_share::earliest_deadline() const
{
    std::optional<instant> earliest;
    for (const auto& [start_tag, caller] : this->active)
    {
        const caller_queue& queue = this->caller_queues.at(caller);
        for (const ordered_keys* keys : {&queue.short_items, &queue.long_items})
        {
            if (!keys->empty())
            {
                const instant first = keys->begin()->first;
                earliest = earliest ? std::min(*earliest, first) : first;
            }
        }
    }
    return earliest;
}

void fair_share::forget_idle()
{
    if (this->caller_queues.size() <= max_idle_callers + this->active.size())
    {
        return;
    }
    std::erase_if(
        this->caller_queues,
        [this](const auto& entry)
        {
            return entry.second.size() == 0 &&
                   entry.second.start_tag <= this->virtual_time;
        });
}

} // namespace roseworks::detail

#include "core/admission/fair_share.hpp"

#include <algorithm>
#include <cassert>

namespace roseworks::detail
{

namespace
{

/// Up to this many idle callers are kept. Beyond that, idle callers are removed
/// once the virtual time has reached their start tag.
constexpr std::size_t remembered_lines = 64;

/// Virtual time units per unit of cost. Keeps the rounding error small when
/// costs are divided by weights.
constexpr std::uint64_t pass_scale = 1 << 12;

} // namespace

void fair_share::push(const queue_item& item)
{
    line& mine = this->lines[item.caller];
    if (mine.size() == 0)
    {
        mine.weight = std::max<std::uint16_t>(item.weight, 1);
        mine.pass = std::max(mine.pass, this->virtual_time);
        this->active.emplace(mine.pass, item.caller);
        this->active_weight += mine.weight;
    }

    ordered_keys& keys = item.long_prompt ? mine.long_items : mine.short_items;
    keys.insert(key(item.deadline, item.id.value));
    ++this->count;
    this->short_count += item.long_prompt ? 0 : 1;
}

void fair_share::erase(const queue_item& item)
{
    auto found = this->lines.find(item.caller);
    assert(found != this->lines.end());
    line& mine = found->second;

    ordered_keys& keys = item.long_prompt ? mine.long_items : mine.short_items;
    keys.erase(key(item.deadline, item.id.value));
    --this->count;
    this->short_count -= item.long_prompt ? 0 : 1;

    if (mine.size() == 0)
    {
        this->active.erase({mine.pass, item.caller});
        this->active_weight -= mine.weight;
        this->forget_idle();
    }
}

std::optional<ticket> fair_share::next(bool allow_long) const
{
    for (const auto& [pass, caller] : this->active)
    {
        const line& one = this->lines.at(caller);
        const bool use_long = allow_long && !one.long_items.empty();
        if (one.short_items.empty() && !use_long)
        {
            continue;
        }
        if (one.short_items.empty())
        {
            return ticket(one.long_items.begin()->second);
        }
        if (!use_long)
        {
            return ticket(one.short_items.begin()->second);
        }
        const key first =
            std::min(*one.short_items.begin(), *one.long_items.begin());
        return ticket(first.second);
    }
    return std::nullopt;
}

void fair_share::charge(const queue_item& item)
{
    line& mine = this->lines[item.caller];
    const bool waits = mine.size() != 0;
    if (waits)
    {
        this->active.erase({mine.pass, item.caller});
    }
    this->virtual_time = std::max(this->virtual_time, mine.pass);
    const std::uint16_t weight = std::max<std::uint16_t>(item.weight, 1);
    mine.pass = std::max(mine.pass, this->virtual_time) +
                pass_scale * item.cost / weight;
    if (waits)
    {
        this->active.emplace(mine.pass, item.caller);
    }
}

std::size_t fair_share::ahead_of(const queue_item& item) const
{
    const auto found = this->lines.find(item.caller);
    if (found == this->lines.end() || found->second.size() == 0)
    {
        line alone;
        alone.weight = std::max<std::uint16_t>(item.weight, 1);
        return this->ahead_at(0, 0, alone);
    }
    const line& mine = found->second;
    const key own(item.deadline, item.id.value);
    const std::size_t position =
        mine.short_items.order_of_key(own) + mine.long_items.order_of_key(own);
    return this->ahead_at(position, mine.size(), mine);
}

std::size_t fair_share::ahead_at(
    std::size_t position, std::size_t own, const line& of) const
{
    const std::size_t all = this->count - own + position;
    const std::size_t shared = position * this->active_weight / of.weight;
    return std::max(position, std::min(all, shared));
}

std::vector<ticket> fair_share::examine_all(const examiner& examine) const
{
    std::vector<ticket> refused;
    for (const auto& [caller, one] : this->lines)
    {
        std::size_t kept = 0;
        auto short_item = one.short_items.begin();
        auto long_item = one.long_items.begin();
        while (short_item != one.short_items.end() ||
               long_item != one.long_items.end())
        {
            const bool take_long =
                short_item == one.short_items.end() ||
                (long_item != one.long_items.end() && *long_item < *short_item);
            const ticket id((take_long ? long_item : short_item)->second);
            ++(take_long ? long_item : short_item);
            if (examine(id, this->ahead_at(kept, one.size(), one)))
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

std::optional<ticket> fair_share::least_wanted() const
{
    const line* longest = nullptr;
    for (const auto& [caller, one] : this->lines)
    {
        if (one.size() != 0 &&
            (longest == nullptr || one.size() > longest->size()))
        {
            longest = &one;
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
    for (const auto& [pass, caller] : this->active)
    {
        const line& one = this->lines.at(caller);
        for (const ordered_keys* keys : {&one.short_items, &one.long_items})
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
    if (this->lines.size() <= remembered_lines + this->active.size())
    {
        return;
    }
    std::erase_if(
        this->lines,
        [this](const auto& entry)
        {
            return entry.second.size() == 0 &&
                   entry.second.pass <= this->virtual_time;
        });
}

} // namespace roseworks::detail

#include "core/admission/admission_queue.hpp"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace roseworks::detail
{

namespace
{

/// @return Sort key of a request. One that misses its objective in any case
///         yields to those of its rank that can meet theirs.
auto order_of(const queue_item& item, instant objective_from)
{
    const bool is_late = item.objective < objective_from;
    return std::tuple(
        item.rank,
        is_late,
        is_late ? item.deadline : item.objective,
        item.id.value);
}

} // namespace

admission_queue::admission_queue(duration ageing_interval)
    : ageing(std::max(ageing_interval, duration(1)))
{
}

void admission_queue::push(const queue_item& item)
{
    const bool inserted = this->items.emplace(item.id, item).second;
    assert(inserted);
    if (!inserted)
    {
        return;
    }
    this->classes[index(item.level)].push(item);
    this->arrivals[index(item.level)].emplace(item.enqueued, item.id.value);
}

bool admission_queue::erase(ticket id)
{
    const auto found = this->items.find(id);
    if (found == this->items.end())
    {
        return false;
    }
    const queue_item& item = found->second;
    this->classes[index(item.level)].erase(item);
    this->arrivals[index(item.level)].erase({item.enqueued, id.value});
    this->items.erase(found);
    return true;
}

std::optional<admission_queue::choice>
admission_queue::next(const filter& allowed, instant now) const
{
    const std::size_t usable =
        allowed.allow_batch ? class_count : index(priority::batch);
    for (std::size_t level = 0; level < usable; ++level)
    {
        const auto id = this->classes[level].next(allowed.allow_long);
        if (!id)
        {
            continue;
        }
        if (const auto aged_item = this->aged(allowed, level, now))
        {
            return choice{*aged_item, true};
        }
        return choice{
            this->first_by_objective(this->items.at(*id), allowed), false};
    }
    return std::nullopt;
}

const queue_item& admission_queue::first_by_objective(
    const queue_item& first, const filter& allowed) const
{
    if (!allowed.objective_from)
    {
        return first;
    }
    const queue_item* best = &first;
    for (const auto& [id, item] : this->items)
    {
        const bool is_eligible = item.level == first.level &&
                                 item.caller == first.caller &&
                                 (allowed.allow_long || !item.long_prompt);
        if (is_eligible && order_of(item, *allowed.objective_from) <
                               order_of(*best, *allowed.objective_from))
        {
            best = &item;
        }
    }
    return *best;
}

std::vector<queue_item> admission_queue::first_by_objective(
    std::size_t count, instant objective_from) const
{
    std::vector<queue_item> all;
    all.reserve(this->items.size());
    for (const auto& [id, item] : this->items)
    {
        all.push_back(item);
    }
    const auto first = std::min(count, all.size());
    std::ranges::partial_sort(
        all,
        all.begin() + static_cast<std::ptrdiff_t>(first),
        {},
        [objective_from](const queue_item& item)
        {
            return order_of(item, objective_from);
        });
    all.resize(first);
    return all;
}

std::optional<queue_item> admission_queue::aged(
    const filter& allowed, std::size_t best, instant now) const
{
    if (this->grants_since_aged + 1 < aged_grant_interval)
    {
        return std::nullopt;
    }

    const queue_item* oldest = nullptr;
    const std::size_t usable =
        allowed.allow_batch ? class_count : index(priority::batch);
    for (std::size_t level = 0; level < usable; ++level)
    {
        if (this->arrivals[level].empty())
        {
            continue;
        }
        const auto& [enqueued, id] = *this->arrivals[level].begin();
        const auto steps = (now - enqueued) / this->ageing;
        if (steps < 1 || static_cast<std::int64_t>(level) - steps >
                             static_cast<std::int64_t>(best))
        {
            continue;
        }
        const queue_item& item = this->items.at(ticket(id));
        if (item.long_prompt && !allowed.allow_long)
        {
            continue;
        }
        if (oldest == nullptr || item.enqueued < oldest->enqueued)
        {
            oldest = &item;
        }
    }
    return oldest == nullptr ? std::nullopt : std::optional(*oldest);
}

void admission_queue::take(const choice& chosen)
{
    this->erase(chosen.item.id);
    this->classes[index(chosen.item.level)].charge(chosen.item);
    this->grants_since_aged = chosen.aged ? 0 : this->grants_since_aged + 1;
}

std::size_t admission_queue::ahead_of(const queue_item& item) const
{
    std::size_t ahead = this->classes[index(item.level)].ahead_of(item);
    for (std::size_t level = 0; level < index(item.level); ++level)
    {
        ahead += this->classes[level].size();
    }
    return ahead;
}

std::vector<ticket> admission_queue::visit_waiting(const visitor& visit) const
{
    std::vector<ticket> refused;
    std::size_t higher_count = 0;
    for (const fair_share& class_queue : this->classes)
    {
        const std::vector<ticket> refused_here = class_queue.visit_waiting(
            [this, &visit, higher_count](ticket id, std::size_t ahead)
            {
                return visit(this->items.at(id), higher_count + ahead);
            });
        refused.insert(refused.end(), refused_here.begin(), refused_here.end());
        higher_count += class_queue.size() - refused_here.size();
    }
    return refused;
}

std::optional<queue_item>
admission_queue::displacement_candidate(priority below) const
{
    for (std::size_t level = class_count - 1; level > index(below); --level)
    {
        if (const auto id = this->classes[level].displacement_candidate())
        {
            return this->items.at(*id);
        }
    }
    return std::nullopt;
}

std::optional<priority> admission_queue::best_class() const
{
    for (std::size_t level = 0; level < class_count; ++level)
    {
        if (this->classes[level].size() != 0)
        {
            return static_cast<priority>(level);
        }
    }
    return std::nullopt;
}

std::optional<instant> admission_queue::earliest_deadline() const
{
    std::optional<instant> earliest;
    for (const fair_share& class_queue : this->classes)
    {
        if (const auto first = class_queue.earliest_deadline())
        {
            earliest = earliest ? std::min(*earliest, *first) : *first;
        }
    }
    return earliest;
}

std::size_t admission_queue::short_prompt_count(bool allow_batch) const
{
    const std::size_t usable =
        allow_batch ? class_count : index(priority::batch);
    std::size_t total = 0;
    for (std::size_t level = 0; level < usable; ++level)
    {
        total += this->classes[level].short_prompt_count();
    }
    return total;
}

} // namespace roseworks::detail

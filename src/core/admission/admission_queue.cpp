#include "core/admission/admission_queue.hpp"

#include <algorithm>
#include <cassert>

namespace roseworks::detail
{

admission_queue::admission_queue(duration wait_worth_a_class)
    : ageing(std::max(wait_worth_a_class, duration(1)))
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
        if (const auto old = this->aged(allowed, level, now))
        {
            return choice{*old, true};
        }
        return choice{this->items.at(*id), false};
    }
    return std::nullopt;
}

std::optional<queue_item> admission_queue::aged(
    const filter& allowed, std::size_t best, instant now) const
{
    if (this->since_aged + 1 < aged_share)
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
    this->since_aged = chosen.aged ? 0 : this->since_aged + 1;
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

std::vector<ticket> admission_queue::examine_all(const examiner& examine) const
{
    std::vector<ticket> refused;
    std::size_t better = 0;
    for (const fair_share& one : this->classes)
    {
        const std::vector<ticket> here = one.examine_all(
            [this, &examine, better](ticket id, std::size_t ahead)
            {
                return examine(this->items.at(id), better + ahead);
            });
        refused.insert(refused.end(), here.begin(), here.end());
        better += one.size() - here.size();
    }
    return refused;
}

std::optional<queue_item> admission_queue::least_wanted(priority below) const
{
    for (std::size_t level = class_count - 1; level > index(below); --level)
    {
        if (const auto id = this->classes[level].least_wanted())
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
    for (const fair_share& one : this->classes)
    {
        if (const auto first = one.earliest_deadline())
        {
            earliest = earliest ? std::min(*earliest, *first) : *first;
        }
    }
    return earliest;
}

std::size_t admission_queue::short_size(bool allow_batch) const
{
    const std::size_t usable =
        allow_batch ? class_count : index(priority::batch);
    std::size_t total = 0;
    for (std::size_t level = 0; level < usable; ++level)
    {
        total += this->classes[level].short_size();
    }
    return total;
}

} // namespace roseworks::detail

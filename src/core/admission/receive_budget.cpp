#include "core/admission/receive_budget.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace roseworks
{

receive_budget::~receive_budget()
{
    for (entry* const one : this->entries)
        one->owner = nullptr;
}

std::size_t receive_budget::max_bytes() const
{
    return std::max(this->settings.max_bytes, this->largest_request);
}

receive_budget::counts receive_budget::take_counts()
{
    return std::exchange(this->met, {});
}

bool receive_budget::fits(const entry& requester, std::size_t bytes) const
{
    constexpr std::size_t whole = 100;
    const std::size_t max = this->max_bytes();
    const std::size_t others = this->used - requester.bytes;
    const std::size_t for_large = std::max(
        this->largest_request, max / whole * this->settings.large_percent);
    const bool is_small = bytes <= this->settings.small_bytes;
    return others + bytes <= (is_small ? max : for_large);
}

bool receive_budget::reserve(entry& requester, std::size_t bytes, instant now)
{
    while (bytes > requester.bytes && !this->fits(requester, bytes))
    {
        entry* const victim = this->find_displaceable(requester, bytes, now);
        if (victim == nullptr)
        {
            this->count(receive_limit::memory);
            return false;
        }
        victim->state = entry::phase::closing;
        victim->on_displace();
        this->count(receive_limit::displaced);
    }
    this->used = this->used - requester.bytes + bytes;
    requester.bytes = bytes;
    return true;
}

bool receive_budget::is_stalled(const entry& one, instant now) const
{
    return now - one.last_progress >= this->settings.stall_time;
}

receive_budget::entry* receive_budget::find_displaceable(
    const entry& requester, std::size_t bytes, instant now) const
{
    const bool any = bytes <= this->settings.small_bytes;
    entry* found = nullptr;
    const auto order = [&](const entry& one)
    {
        return std::tuple(!this->is_stalled(one, now), one.since, one.serial);
    };
    for (entry* const one : this->entries)
    {
        const bool is_candidate = one != &requester && one->bytes != 0 &&
                                  one->state == entry::phase::receiving &&
                                  (any || this->is_stalled(*one, now));
        if (is_candidate && (found == nullptr || order(*one) < order(*found)))
            found = one;
    }
    return found;
}

receive_budget::entry* receive_budget::find_replaceable(instant now) const
{
    constexpr int not_replaceable = 3;
    const auto rank = [&](const entry& one)
    {
        if (one.is_leaving)
            return not_replaceable;
        if (one.state == entry::phase::closing)
            return 0;
        if (one.state == entry::phase::receiving && this->is_stalled(one, now))
            return 1;
        const bool is_idle = one.state == entry::phase::idle &&
                             now - one.since >= this->settings.stall_time;
        return is_idle ? 2 : not_replaceable;
    };
    entry* found = nullptr;
    const auto order = [&](const entry& one)
    {
        return std::tuple(rank(one), one.since, one.serial);
    };
    for (entry* const one : this->entries)
    {
        if (rank(*one) != not_replaceable &&
            (found == nullptr || order(*one) < order(*found)))
            found = one;
    }
    return found;
}

bool receive_budget::free_place(instant now)
{
    while (this->leaving_count < this->settings.max_leaving)
    {
        entry* const victim = this->find_replaceable(now);
        if (victim == nullptr)
            return false;
        if (!victim->on_displace())
        {
            // A request has just arrived on it.
            victim->since = now;
            continue;
        }
        victim->state = entry::phase::closing;
        victim->is_leaving = true;
        ++this->leaving_count;
        this->count(receive_limit::place);
        return true;
    }
    return false;
}

receive_budget::entry::entry(
    receive_budget& budget, std::function<bool()> displace)
    : owner(&budget)
    , on_displace(std::move(displace))
    , serial(++budget.last_serial)
{
    this->owner->entries.insert(this);
}

receive_budget::entry::~entry()
{
    if (this->owner == nullptr)
        return;
    this->owner->entries.erase(this);
    this->owner->used -= this->bytes;
    this->owner->leaving_count -= this->is_leaving ? 1 : 0;
}

void receive_budget::entry::wait(instant now)
{
    this->hold(0, now);
    this->state = phase::idle;
    this->since = now;
}

void receive_budget::entry::begin(instant now)
{
    this->state = phase::receiving;
    this->since = now;
    this->last_progress = now;
    this->fresh_bytes = 0;
}

void receive_budget::entry::received(std::size_t size, instant now)
{
    this->fresh_bytes += size;
    if (this->fresh_bytes < this->owner->settings.min_progress_bytes)
        return;
    this->last_progress = now;
    this->fresh_bytes = 0;
}

bool receive_budget::entry::hold(std::size_t size, instant now)
{
    return this->owner->reserve(*this, size, now);
}

void receive_budget::entry::complete()
{
    this->state = phase::complete;
}

void receive_budget::entry::close()
{
    this->state = phase::closing;
}

} // namespace roseworks

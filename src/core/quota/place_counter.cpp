#include "core/quota/place_counter.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace roseworks
{

namespace
{

/// Time without a rejection after which the number of places may grow. A server
/// may tolerate no more than one rejection a second.
constexpr duration growth_delay = std::chrono::milliseconds(1200);
constexpr duration growth_interval = std::chrono::milliseconds(250);

/// For how long the number of places stays below one that led to a rejection.
constexpr duration ceiling_lifetime = std::chrono::seconds(5);

/// Places beyond the server's slots: it may let a few requests wait.
constexpr double max_extra_places = 0;

/// A grant that its router hasn't confirmed for this time was lost.
constexpr duration grant_lifetime = std::chrono::milliseconds(500);

/// An older rejection that a router reports for the first time was counted by
/// another accountant.
constexpr duration rejection_lifetime = std::chrono::milliseconds(200);

/// A draw that has waited for this long may go ahead of lower ranks.
constexpr duration min_aged_wait = std::chrono::milliseconds(500);

/// Cap for times in received messages (one hour).
constexpr std::int64_t max_objective_us = 3'600'000'000;

/// @return The time of an objective; `max`: none.
instant objective_of(const draw_order& order, instant now)
{
    if (order.objective_in_us == draw_order::no_objective)
        return instant::max();
    return now + duration(std::clamp<std::int64_t>(
                     order.objective_in_us, 0, max_objective_us));
}

} // namespace

place_counter::place_counter(double server_slots)
    : slots(std::max(server_slots, 1.0))
    , limit(this->slots)
    , ceiling(this->slots + max_extra_places)
{
}

double place_counter::places() const
{
    // Rounded, so that few absent routers don't cost a place. One place stays,
    // so that the routers that report here are served.
    constexpr double half = 0.5;
    if (this->share <= 0)
        return 0;
    return std::max(1.0, std::floor(this->limit * this->share + half));
}

void place_counter::report(
    std::string_view router, const place_usage& usage, instant now)
{
    const auto waits = this->waiting_by_router.find(router);
    if (waits != this->waiting_by_router.end() &&
        waits->second != usage.pending_draw)
        this->waiting_by_router.erase(waits);
    const auto found = this->routers.try_emplace(std::string(router)).first;
    router_usage& one = found->second;
    this->total -= one.sum();
    one.held = usage.held;
    if (one.granted != usage.pending_draw)
        one.granted = 0;
    this->total += one.sum();
    if (one.sum() == 0)
        this->routers.erase(found);
    if (this->is_new_rejection(router, usage))
        this->rejected(now);
}

bool place_counter::is_new_rejection(
    std::string_view router, const place_usage& usage)
{
    if (usage.rejections == 0)
        return false;
    const auto [known, is_first] =
        this->rejections.try_emplace(std::string(router), usage.rejections);
    if (is_first)
        return duration(usage.rejected_us_ago) <= rejection_lifetime;
    return std::exchange(known->second, usage.rejections) != usage.rejections;
}

void place_counter::rejected(instant now)
{
    const double before = this->limit;
    // The requests that the other routers have there are what the server has
    // room for.
    this->limit = std::max(1.0, std::min(before - 1, this->total));
    this->ceiling = std::max(this->limit, before - 1);
    this->ceiling_until = now + ceiling_lifetime;
    this->no_growth_until = now + growth_delay;
}

void place_counter::grant(
    std::string_view router, std::uint64_t id, instant now)
{
    router_usage& one = this->routers[std::string(router)];
    this->total -= one.sum();
    one.granted = id;
    one.granted_at = now;
    this->total += one.sum();
}

place_counter::outcome place_counter::draw(
    std::string_view router,
    std::uint64_t id,
    duration max_wait,
    instant now,
    const draw_order& order)
{
    const auto queued = this->waiting_by_router.find(router);
    if (queued != this->waiting_by_router.end() && queued->second == id)
    {
        this->reorder(id, order, now);
        return outcome::queued;
    }
    if (this->waiting_by_router.empty() && this->has_room())
    {
        this->grant(router, id, now);
        return outcome::granted;
    }
    this->is_short = true;
    if (max_wait <= duration::zero())
        return outcome::refused;
    this->waiting.push_back(
        {std::string(router),
         id,
         now + max_wait,
         now,
         order.rank,
         objective_of(order, now)});
    this->waiting_by_router[std::string(router)] = id;
    return outcome::queued;
}

void place_counter::reorder(
    std::uint64_t id, const draw_order& order, instant now)
{
    const auto found = std::ranges::find(this->waiting, id, &waiting_draw::id);
    if (found == this->waiting.end())
        return;
    found->rank = order.rank;
    found->objective = objective_of(order, now);
}

std::vector<place_counter::late_grant> place_counter::grant_waiting(instant now)
{
    std::vector<late_grant> granted;
    if (this->waiting.empty() || !this->has_room())
        return granted;
    this->drop_outdated(now);
    while (!this->waiting.empty() && this->has_room())
    {
        const auto chosen = this->next_draw(now);
        const waiting_draw next = std::move(*chosen);
        this->waiting.erase(chosen);
        this->waiting_by_router.erase(next.router);
        this->grant(next.router, next.id, now);
        granted.push_back({next.router, next.id});
    }
    return granted;
}

void place_counter::drop_outdated(instant now)
{
    std::erase_if(
        this->waiting,
        [this, now](const waiting_draw& one)
        {
            const auto newest = this->waiting_by_router.find(one.router);
            const bool is_newest = newest != this->waiting_by_router.end() &&
                                   newest->second == one.id;
            if (is_newest && one.expires_at <= now)
                this->waiting_by_router.erase(newest);
            return !is_newest || one.expires_at <= now;
        });
}

std::deque<place_counter::waiting_draw>::iterator
place_counter::next_draw(instant now)
{
    ++this->grants_since_oldest;
    if (this->grants_since_oldest >= oldest_first_interval &&
        now - this->waiting.front().drawn_at >= min_aged_wait)
    {
        this->grants_since_oldest = 0;
        return this->waiting.begin();
    }
    const auto order_of = [now](const waiting_draw& one)
    {
        // A request that misses its objective in any case yields to those that
        // can meet theirs.
        return std::tuple(
            one.rank, one.objective < now ? instant::max() : one.objective);
    };
    return std::ranges::min_element(this->waiting, {}, order_of);
}

void place_counter::tick(instant now)
{
    for (auto& [name, one] : this->routers)
    {
        if (one.granted == 0 || now - one.granted_at < grant_lifetime)
            continue;
        one.granted = 0;
        --this->total;
    }
    if (now >= this->ceiling_until)
        this->ceiling = this->slots + max_extra_places;
    if (!this->is_short || now < this->no_growth_until)
        return;
    this->limit = std::min(this->limit + 1, this->ceiling);
    // Beyond the slots, each place is tried for longer.
    this->no_growth_until =
        now + (this->limit >= this->slots ? growth_delay : growth_interval);
    this->is_short = false;
}

void place_counter::keep_routers(
    const std::function<bool(std::string_view)>& is_active)
{
    for (auto next = this->routers.begin(); next != this->routers.end();)
    {
        if (is_active(next->first))
        {
            ++next;
            continue;
        }
        this->total -= next->second.sum();
        next = this->routers.erase(next);
    }
    std::erase_if(
        this->waiting_by_router,
        [&is_active](const auto& one)
        {
            return !is_active(one.first);
        });
}

} // namespace roseworks

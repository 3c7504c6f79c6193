#include "core/routing/balancer.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::detail
{

namespace
{

/// Affinity is given up above this multiple of the mean load, plus one.
constexpr double affinity_bound = 1.25;

/// Servers of the own data centre are preferred up to this multiple of the mean
/// load, plus so many requests: with one of three copies there, and 60 routers,
/// the busiest engine had 3.1 times the mean, and 2.7 with this.
constexpr double near_bound = 1.25;
constexpr double near_slack = 2;

std::uint64_t mixed(std::uint64_t value)
{
    value += 0x9E3779B97F4A7C15ULL;
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31);
}

std::uint64_t rendezvous(std::uint64_t prefix, const backend& one)
{
    // Mixed one by one: engines' and replicas' numbers are small and alike.
    const std::uint64_t place =
        mixed(mixed(one.server) ^ one.where.replica.value);
    return mixed(mixed(prefix) ^ place);
}

/// Whether each server of some is loaded well above the mean of all.
bool above_mean(
    std::span<const backend> all,
    std::span<std::size_t const> some,
    std::span<std::size_t const> among,
    const server_loads& loads,
    instant now)
{
    const auto load_of = [&](std::size_t i)
    {
        return loads.load(all[i].server, now);
    };
    double sum = 0;
    for (const std::size_t i : among)
        sum += load_of(i);
    const double limit =
        near_bound * sum / static_cast<double>(among.size()) + near_slack;
    return std::ranges::all_of(
        some,
        [&](std::size_t i)
        {
            return load_of(i) > limit;
        });
}

bool was_tried(const backend& one, std::span<const server_key> tried)
{
    return std::find(tried.begin(), tried.end(), one.server) != tried.end();
}

/// @return Requests that may start there now.
std::uint32_t free_on(
    const backend& one,
    std::uint16_t max_streams,
    const server_loads& loads,
    instant now)
{
    const std::uint32_t streams = std::max<std::uint16_t>(max_streams, 1);
    if (loads.reserved(one.server) || !loads.may_send(one.server, now))
    {
        return 0;
    }
    const std::uint32_t limit = loads.limit(one.server, streams, now);
    const std::uint32_t free =
        limit > one.in_flight ? limit - one.in_flight : 0;
    // A limited server takes one request a permit.
    return loads.is_limited(one.server) ? std::min(free, 1U) : free;
}

} // namespace

balancer::balancer(std::string own_data_centre, std::uint64_t seed)
    : data_centre(std::move(own_data_centre))
    , random(seed)
{
}

std::vector<std::size_t>
balancer::usable(std::span<const backend> all, instant now)
{
    std::vector<std::size_t> good;
    std::vector<std::size_t> bad;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        if (!all[i].listed || all[i].leaving)
        {
            continue;
        }
        (all[i].health.ejected(now) ? bad : good).push_back(i);
    }

    const std::size_t allowance = ejection_allowance(good.size() + bad.size());
    if (bad.size() > allowance)
    {
        // Those whose ejection ends first are let back.
        std::stable_sort(
            bad.begin(),
            bad.end(),
            [all](std::size_t left, std::size_t right)
            {
                return all[left].health.ejected_until() <
                       all[right].health.ejected_until();
            });
        const auto back = static_cast<std::ptrdiff_t>(bad.size() - allowance);
        good.insert(good.end(), bad.begin(), bad.begin() + back);
        std::sort(good.begin(), good.end());
    }
    return good;
}

bool balancer::has_slot(
    const backend& one,
    std::uint16_t max_streams,
    const server_loads& loads,
    instant now)
{
    return free_on(one, max_streams, loads, now) > 0;
}

free_slots balancer::slots(
    std::span<const backend> all,
    std::span<std::size_t const> among,
    std::uint16_t max_streams,
    const server_loads& loads,
    instant now)
{
    const std::uint32_t kept = kept_for_better(max_streams);
    std::uint32_t total = 0;
    for (const std::size_t i : among)
    {
        total += free_on(all[i], max_streams, loads, now);
        if (total > kept)
        {
            break;
        }
    }
    return {total > 0, total > kept};
}

std::optional<std::size_t> balancer::choose(
    std::span<const backend> all,
    std::span<std::size_t const> among,
    const choice_query& query,
    const server_loads& loads,
    instant now)
{
    std::vector<std::size_t> candidates;
    for (const std::size_t i : among)
    {
        if (!was_tried(all[i], query.tried))
        {
            candidates.push_back(i);
        }
    }
    if (candidates.empty())
    {
        candidates.assign(among.begin(), among.end());
    }

    if (query.prefix != 0)
    {
        if (const auto near =
                this->by_prefix(all, candidates, query, loads, now))
        {
            return near;
        }
    }

    std::erase_if(
        candidates,
        [&](std::size_t i)
        {
            return !has_slot(all[i], query.max_streams, loads, now);
        });
    // A permit at hand was asked for one of these requests, and counts.
    const auto permitted = std::ranges::find_if(
        candidates,
        [&](std::size_t i)
        {
            return loads.is_limited(all[i].server);
        });
    if (permitted != candidates.end())
    {
        return *permitted;
    }
    const std::vector<std::size_t> own = this->prefer_own(all, candidates);
    const std::vector<std::size_t>& best =
        above_mean(all, own, candidates, loads, now) ? candidates : own;
    if (best.empty())
    {
        return std::nullopt;
    }
    if (best.size() == 1)
    {
        return best.front();
    }

    const std::size_t first = this->draw(best.size());
    std::size_t second = this->draw(best.size() - 1);
    second += second >= first ? 1 : 0;
    const std::uint32_t first_load = loads.load(all[best[first]].server, now);
    const std::uint32_t second_load = loads.load(all[best[second]].server, now);
    return best[second_load < first_load ? second : first];
}

std::vector<std::size_t> balancer::prefer_own(
    std::span<const backend> all, std::span<std::size_t const> among) const
{
    std::vector<std::size_t> own;
    for (const std::size_t i : among)
    {
        if (all[i].where.data_centre == this->data_centre)
        {
            own.push_back(i);
        }
    }
    return own.empty() ? std::vector<std::size_t>(among.begin(), among.end())
                       : own;
}

std::optional<std::size_t> balancer::by_prefix(
    std::span<const backend> all,
    std::span<std::size_t const> among,
    const choice_query& query,
    const server_loads& loads,
    instant now) const
{
    const std::vector<std::size_t> near = this->prefer_own(all, among);
    if (near.empty())
    {
        return std::nullopt;
    }

    double sum = 0;
    for (const std::size_t i : near)
    {
        sum += loads.load(all[i].server, now);
    }
    const double mean = sum / static_cast<double>(near.size());
    const auto fits = [&](std::size_t i)
    {
        return loads.load(all[i].server, now) <= affinity_bound * mean + 1 &&
               has_slot(all[i], query.max_streams, loads, now);
    };
    const auto closer = [&](std::size_t left, std::size_t right)
    {
        return rendezvous(query.prefix, all[left]) >
               rendezvous(query.prefix, all[right]);
    };

    const auto better = [&](std::size_t left, std::size_t right)
    {
        const std::uint32_t left_load = loads.load(all[left].server, now);
        const std::uint32_t right_load = loads.load(all[right].server, now);
        return left_load < right_load ||
               (left_load == right_load && closer(left, right));
    };

    // What is stale counts only where the hash gives no answer.
    std::optional<std::size_t> fresh;
    std::optional<std::size_t> stale;
    std::size_t home = near.front();
    for (const std::size_t i : near)
    {
        home = closer(i, home) ? i : home;
        const auto known =
            query.cached == nullptr
                ? prefix_map::knowledge::none
                : query.cached->find(all[i].server, query.prefix, now);
        if (known == prefix_map::knowledge::none || !fits(i))
        {
            continue;
        }
        auto& best = known == prefix_map::knowledge::fresh ? fresh : stale;
        best = best && !better(i, *best) ? best : i;
    }
    if (fresh)
    {
        return fresh;
    }
    return fits(home) ? std::optional(home) : stale;
}

std::size_t balancer::draw(std::size_t count)
{
    // The high half of a product: no division, and the same on each platform.
    const std::uint64_t high = this->random() >> 32;
    return static_cast<std::size_t>((high * count) >> 32);
}

} // namespace roseworks::detail

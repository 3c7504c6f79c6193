#include "core/quota/urgency_shares.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace roseworks
{

namespace
{

/// Demand is summed over this time.
constexpr duration demand_window = std::chrono::seconds(1);

/// The guaranteed minima follow a mean of the demand over this time, if that is
/// more than the last second's. The latter alone would give a class of rare,
/// large requests too little, and the mean alone one of growing demand.
constexpr duration mean_time = std::chrono::seconds(8);

constexpr duration slice_length = std::chrono::milliseconds(50);

/// Draws whose repeats are recognised, per account.
constexpr std::size_t max_sightings = 20'000;

/// Part of the overall served share that each class gets at least. The required
/// minimum is 0.25; the rest makes up for draws that are refused while a class
/// still saves for a large one.
constexpr double guaranteed_part = 0.27;

/// A class may get more than its demand of the last second, because arrivals
/// vary; what it doesn't use is passed on.
constexpr double headroom = 1.25;

/// Tokens that a class may save, in seconds of the whole limit and in draws.
constexpr double saved_seconds = 0.25;
constexpr double saved_draws = 2;

/// Remaining size of the largest draw after each slice without a larger one:
/// half in 17 s. Rare requests need what their class saves between them.
constexpr double largest_decay = 0.998;

/// Longest stated time before the jitter. With it, the time stays within the
/// 5 s to which routers limit a retry time.
constexpr duration max_expected_wait = std::chrono::seconds(4);

constexpr double max_jitter = 0.25;

/// @return A value of [0, 1) that depends on the arguments only (SplitMix64).
double unit_hash(std::uint64_t id, std::uint64_t seed)
{
    constexpr double scale = 0x1.0p-53;
    std::uint64_t mixed = id + seed * 0x9E3779B97F4A7C15U;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
    mixed ^= mixed >> 31U;
    return static_cast<double>(mixed >> 11U) * scale;
}

duration to_duration(double seconds)
{
    return std::chrono::ceil<duration>(std::chrono::duration<double>(seconds));
}

template <class Values>
double sum_of_values(const Values& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

} // namespace

bool urgency_shares::add_demand(
    std::uint64_t id, std::uint8_t urgency, double amount, instant now)
{
    this->forget_before(now);
    this->age_mean(now);
    const auto [seen, is_new] = this->last_seen.try_emplace(id, now);
    seen->second = now;
    if (this->sightings.size() >= max_sightings)
    {
        this->last_seen.erase(this->sightings.front().id);
        this->sightings.pop_front();
    }
    this->sightings.push_back({now, id});
    this->largest[urgency] = std::max(this->largest[urgency], amount);
    if (!is_new)
        return false;
    if (this->slices.empty() || now - this->slices.back().start >= slice_length)
    {
        for (double& one : this->largest)
            one *= largest_decay;
        this->slices.push_back({now, {}});
    }
    this->slices.back().amounts[urgency] += amount;
    this->mean_demand[urgency] += amount;
    this->demand[urgency] += amount;
    return true;
}

void urgency_shares::forget_before(instant now)
{
    const instant oldest = now - demand_window;
    while (!this->sightings.empty() && this->sightings.front().when <= oldest)
    {
        const auto seen = this->last_seen.find(this->sightings.front().id);
        if (seen != this->last_seen.end() && seen->second <= oldest)
            this->last_seen.erase(seen);
        this->sightings.pop_front();
    }
    const bool had_slices = !this->slices.empty();
    while (!this->slices.empty() && this->slices.front().start <= oldest)
    {
        for (std::size_t i = 0; i < urgency::class_count; ++i)
            this->demand[i] -= this->slices.front().amounts[i];
        this->slices.pop_front();
    }
    // Removes what rounding has left.
    if (had_slices && this->slices.empty())
        this->demand.fill(0);
}

void urgency_shares::age_mean(instant now)
{
    const double passed =
        std::chrono::duration<double>(
            std::max(duration(now - this->aged_at), duration::zero()))
            .count();
    const double factor =
        std::exp(-passed / std::chrono::duration<double>(mean_time).count());
    for (double& one : this->mean_demand)
        one *= factor;
    this->aged_at = now;
}

void urgency_shares::update(
    const token_bucket& bucket, const usage_limit& limit, instant now)
{
    this->forget_before(now);
    const double seconds = std::chrono::duration<double>(demand_window).count();
    const bool was_ordered = this->ordered;
    this->ordered = limit.per_second > 0 &&
                    sum_of_values(this->demand) > limit.per_second * seconds;
    if (!this->ordered)
        return;
    if (!was_ordered)
        this->credits.fill(0);
    this->divide_rate(limit.per_second);
    this->divide_tokens(bucket.level(), limit);
}

void urgency_shares::divide_rate(double per_second)
{
    const double seconds = std::chrono::duration<double>(mean_time).count();
    by_class weights{};
    for (std::size_t i = 0; i < urgency::class_count; ++i)
        weights[i] = std::max(this->mean_demand[i] / seconds, this->demand[i]);
    const double total = sum_of_values(weights);
    double left = per_second;
    for (std::size_t i = 0; i < urgency::class_count; ++i)
    {
        this->rates[i] = guaranteed_part * per_second * weights[i] / total;
        left -= this->rates[i];
    }
    for (std::size_t i = 0; i < urgency::class_count; ++i)
    {
        const double wanted = headroom * this->demand[i] - this->rates[i];
        const double added = std::max(std::min(wanted, left), 0.0);
        this->rates[i] += added;
        left -= added;
    }
}

void urgency_shares::divide_tokens(double level, const usage_limit& limit)
{
    const double gained = level - sum_of_values(this->credits);
    by_class weights = this->rates;
    if (gained < 0)
    {
        // The limit was cut: each class loses the same part of what it has.
        by_class positive{};
        std::ranges::transform(
            this->credits,
            positive.begin(),
            [](double one)
            {
                return std::max(one, 0.0);
            });
        if (sum_of_values(positive) > 0)
            weights = positive;
    }
    const double total = sum_of_values(weights);
    for (std::size_t i = 0; i < urgency::class_count; ++i)
        this->credits[i] += gained * weights[i] / total;
    this->pass_on_excess(limit);
}

void urgency_shares::pass_on_excess(const usage_limit& limit)
{
    by_class caps{};
    double excess = 0;
    for (std::size_t i = 0; i < urgency::class_count; ++i)
    {
        caps[i] = saved_draws * this->largest[i] +
                  (this->demand[i] > 0 ? saved_seconds * limit.per_second : 0);
        const double above = std::max(this->credits[i] - caps[i], 0.0);
        this->credits[i] -= above;
        excess += above;
    }
    for (std::size_t i = 0; i < urgency::class_count && excess > 0; ++i)
    {
        if (this->demand[i] <= 0)
            continue;
        const double added =
            std::max(std::min(caps[i] - this->credits[i], excess), 0.0);
        this->credits[i] += added;
        excess -= added;
    }
    this->credits[urgency::urgent] += excess;
}

std::optional<duration> urgency_shares::take(
    token_bucket& bucket,
    std::uint8_t urgency,
    double amount,
    duration max_wait,
    const usage_limit& limit)
{
    if (!this->ordered)
        return bucket.take(amount, max_wait, limit);
    // The tokens that a full bucket can't take in would be lost.
    const bool is_full = bucket.level() >= limit.burst;
    const duration longest =
        urgency == urgency::urgent ? max_wait : duration::zero();
    const double reserved =
        this->rates[urgency] * std::chrono::duration<double>(longest).count();
    if (!is_full && this->credits[urgency] + reserved < amount)
        return std::nullopt;
    const auto wait = bucket.take(amount, longest, limit);
    if (!wait)
        return std::nullopt;
    if (is_full)
        this->charge_all(urgency, amount);
    else
        this->credits[urgency] -= amount;
    return wait;
}

void urgency_shares::charge_all(std::uint8_t urgency, double amount)
{
    const double own = std::clamp(this->credits[urgency], 0.0, amount);
    this->credits[urgency] -= own;
    double others = 0;
    for (const double one : this->credits)
        others += std::max(one, 0.0);
    const double borrowed = amount - own;
    if (borrowed <= 0)
        return;
    if (others < borrowed)
    {
        this->credits[urgency] -= borrowed;
        return;
    }
    for (double& one : this->credits)
        one -= borrowed * std::max(one, 0.0) / others;
}

duration urgency_shares::expected_wait(
    const token_bucket& bucket,
    std::uint64_t id,
    std::uint8_t urgency,
    double amount,
    const usage_limit& limit) const
{
    duration wait = bucket.time_until(amount, limit);
    const double rate = this->rates[urgency];
    if (this->ordered && rate > 0)
    {
        // Others of the class were refused before and will ask again.
        const double ahead = std::max(this->demand[urgency] - rate, 0.0);
        const double missing = std::max(amount - this->credits[urgency], 0.0);
        const double longest =
            std::chrono::duration<double>(max_expected_wait).count();
        wait = std::max(
            wait, to_duration(std::min((ahead + missing) / rate, longest)));
    }
    wait = std::min(wait, max_expected_wait);
    return wait + to_duration(
                      std::chrono::duration<double>(wait).count() * max_jitter *
                      unit_hash(id, this->jitter_seed));
}

} // namespace roseworks

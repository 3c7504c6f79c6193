#include "core/pace/pace_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace roseworks
{

namespace
{

/// Bounds of the mean time of a sample that is used. An engine takes some
/// milliseconds to some hundred for an event.
constexpr double min_event_us = 50;
constexpr double max_event_us = 10'000'000;

/// More events than a router relays from one engine between two reports.
constexpr std::uint32_t max_events = 100'000;
/// A sample counts as so many events at most.
constexpr double max_counted_events = 500;

/// A router's mean is clipped to the median times or divided by this.
constexpr double max_deviation = 1.5;

/// A pair of engine and model has no more weight than of so many events, so
/// that engines count alike.
constexpr double max_cell_events = 500;

/// Weight, in events, of the assumption that an engine has the mean pace. It
/// keeps estimates from a few events near 100.
constexpr double prior_events = 10;

/// A reporter with fewer events than this, after decay, is forgotten.
constexpr double min_reporter_events = 0.5;

/// Fewer events, after decay, give no estimate.
constexpr double min_estimate_events = 20;

constexpr int fit_rounds = 20;

/// Estimates nearer to the mean are taken for it, so that engines of equal
/// speed are chosen as without estimates.
constexpr double mean_tolerance = 8; // percent
/// The same for an estimate from one event; it falls with the square root of
/// their number.
constexpr double mean_tolerance_of_event = 300; // percent

constexpr double min_percent = 25;
constexpr double max_percent = 400;

/// A change is announced before its turn if it is as large as this.
constexpr std::uint32_t noticeable_change = 10; // percent

/// How far an estimate has to be beyond the bound of its class before the class
/// changes.
constexpr std::uint32_t class_tolerance = 3; // percent

std::uint64_t hash_of(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

struct mean_of_router
{
    double time_us = 0;
    double weight = 0;
};

/// Limits each weight to a third of the sum of the weights, if there are three
/// or more.
void limit_weights(std::vector<mean_of_router>& all)
{
    if (all.size() < 3)
        return;
    double sum = 0;
    double first = 0;
    double second = 0;
    for (const mean_of_router& one : all)
    {
        sum += one.weight;
        second = std::max(second, std::min(first, one.weight));
        first = std::max(first, one.weight);
    }
    // With one weight limited, the limit is half of the others' sum. If that
    // leaves the second above it, both are limited to the sum of the rest.
    const double half_of_others = (sum - first) / 2;
    const double limit =
        second <= half_of_others ? half_of_others : sum - first - second;
    for (mean_of_router& one : all)
        one.weight = std::min(one.weight, limit);
}

/// @param all Sorted by time.
double median_of(const std::vector<mean_of_router>& all)
{
    double sum = 0;
    for (const mean_of_router& one : all)
        sum += one.weight;
    double below = 0;
    for (const mean_of_router& one : all)
    {
        below += one.weight;
        if (below * 2 >= sum)
            return one.time_us;
    }
    return all.back().time_us;
}

pace_class class_with_tolerance(std::uint32_t percent, pace_class before)
{
    const pace_class after = class_of(percent);
    const bool is_certain = class_of(percent - class_tolerance) == after &&
                            class_of(percent + class_tolerance) == after;
    return is_certain ? after : before;
}

/// @param events On which the estimate is based.
/// @param before The last estimate. It is kept while a difference from the mean
///               may be due to chance.
std::optional<std::uint32_t>
rounded(double percent, double events, std::optional<std::uint32_t> before)
{
    const double difference = std::abs(percent - pace_estimator::mean_pace);
    if (difference < mean_tolerance)
        return pace_estimator::mean_pace;
    if (difference < mean_tolerance_of_event / std::sqrt(events))
        return before;
    return static_cast<std::uint32_t>(std::lround(percent));
}

std::uint32_t distance(std::uint32_t left, std::uint32_t right)
{
    return std::max(left, right) - std::min(left, right);
}

} // namespace

pace_estimator::pace_estimator(options limits)
    : settings(limits)
{
}

void pace_estimator::engine_listed(
    const std::string& engine, std::uint64_t number)
{
    run& known = this->runs[engine];
    if (known.number == number)
        return;
    this->by_number.erase(known.number);
    known = run();
    known.number = number;
    this->by_number[number] = &known;
}

void pace_estimator::engine_removed(const std::string& engine)
{
    const auto found = this->runs.find(engine);
    if (found == this->runs.end())
        return;
    this->by_number.erase(found->second.number);
    this->runs.erase(found);
}

void pace_estimator::clear()
{
    this->runs.clear();
    this->by_number.clear();
}

bool pace_estimator::is_valid(const pace_sample& sample)
{
    if (sample.events == 0 || sample.events > max_events)
        return false;
    const double mean = static_cast<double>(sample.time_us) / sample.events;
    return mean >= min_event_us && mean <= max_event_us;
}

pace_estimator::cell* pace_estimator::cell_of(run& of, std::uint64_t model)
{
    const auto found = std::ranges::find(of.cells, model, &cell::model);
    if (found != of.cells.end())
        return &*found;
    if (of.cells.size() >= this->settings.max_models)
    {
        const auto oldest = std::ranges::min_element(
            of.cells, std::ranges::less(), &cell::updated);
        if (of.updated - oldest->updated < this->settings.memory)
            return nullptr;
        of.cells.erase(oldest);
    }
    cell& added = of.cells.emplace_back();
    added.model = model;
    return &added;
}

pace_estimator::reporter&
pace_estimator::reporter_of(cell& of, std::uint64_t router) const
{
    const auto found =
        std::ranges::find(of.reporters, router, &reporter::router);
    if (found != of.reporters.end())
        return *found;
    if (of.reporters.size() >= this->settings.max_reporters)
        return of.reporters[router % of.reporters.size()];
    reporter& added = of.reporters.emplace_back();
    added.router = router;
    return added;
}

void pace_estimator::add(
    std::string_view router, std::span<const pace_sample> samples, instant now)
{
    const std::uint64_t hash = hash_of(router);
    for (const pace_sample& sample : samples)
    {
        const auto found = this->by_number.find(sample.run);
        if (found == this->by_number.end() || !is_valid(sample))
            continue;
        run& engine = *found->second;
        cell* const target = this->cell_of(engine, sample.model);
        if (target == nullptr)
            continue;
        reporter& sum = this->reporter_of(*target, hash);
        const double kept = sum.events == 0 ? 0 : this->kept(now - sum.updated);
        const double counted =
            std::min<double>(sample.events, max_counted_events);
        sum.events = sum.events * kept + counted;
        sum.time_us = sum.time_us * kept + static_cast<double>(sample.time_us) *
                                               counted / sample.events;
        sum.updated = target->updated = engine.updated = now;
        target->changed = true;
    }
}

double pace_estimator::kept(duration age) const
{
    const std::chrono::duration<double> memory = this->settings.memory;
    return std::exp(-std::chrono::duration<double>(age) / memory);
}

void pace_estimator::summarise(cell& one) const
{
    std::vector<mean_of_router> means;
    const auto weight_of = [&](const reporter& sum)
    {
        return sum.events * this->kept(one.updated - sum.updated);
    };
    std::erase_if(
        one.reporters,
        [&](const reporter& sum)
        {
            return weight_of(sum) < min_reporter_events;
        });
    one.weight = 0;
    for (const reporter& sum : one.reporters)
    {
        means.push_back({sum.time_us / sum.events, weight_of(sum)});
        one.weight += weight_of(sum);
    }
    one.weight = std::min(one.weight, max_cell_events);
    limit_weights(means);
    std::ranges::sort(means, std::ranges::less(), &mean_of_router::time_us);
    const double median = median_of(means);
    double weight = 0;
    double time = 0;
    for (const mean_of_router& each : means)
    {
        weight += each.weight;
        time +=
            each.weight *
            std::clamp(
                each.time_us, median / max_deviation, median * max_deviation);
    }
    one.log_time = std::log(time / weight);
    one.changed = false;
}

void pace_estimator::fit(instant now)
{
    struct factor
    {
        double sum = 0;
        double weight = 0;
        double log_factor = 0;
    };
    struct term
    {
        run* engine = nullptr;
        factor* model = nullptr;
        double log_time = 0;
        double weight = 0;
    };
    std::unordered_map<std::uint64_t, factor> models;
    std::vector<term> terms;
    for (auto& [id, engine] : this->runs)
    {
        engine.log_factor = 0;
        engine.events = 0;
        for (cell& one : engine.cells)
        {
            if (one.changed)
                this->summarise(one);
            engine.events += one.weight;
            if (now - one.updated < this->settings.fade_until)
                terms.push_back(
                    {&engine, &models[one.model], one.log_time, one.weight});
        }
    }
    for (int round = 0; round < fit_rounds; ++round)
    {
        for (auto& [model, one] : models)
            one = factor();
        for (const term& one : terms)
        {
            one.model->sum +=
                one.weight * (one.log_time - one.engine->log_factor);
            one.model->weight += one.weight;
        }
        for (auto& [model, one] : models)
            one.log_factor = one.sum / one.weight;
        // The terms of an engine follow one another.
        for (auto first = terms.begin(); first != terms.end();)
        {
            double sum = 0;
            double weight = prior_events;
            run* const engine = first->engine;
            for (; first != terms.end() && first->engine == engine; ++first)
            {
                sum += first->weight *
                       (first->log_time - first->model->log_factor);
                weight += first->weight;
            }
            engine->log_factor = sum / weight;
        }
    }
}

double pace_estimator::faded(double percent, duration age) const
{
    const double fade = std::clamp(
        std::chrono::duration<double>(age - this->settings.fade_from) /
            std::chrono::duration<double>(
                this->settings.fade_until - this->settings.fade_from),
        0.0,
        1.0);
    return mean_pace +
           (std::clamp(percent, min_percent, max_percent) - mean_pace) *
               (1 - fade);
}

std::vector<pace_change> pace_estimator::update(instant now)
{
    this->fit(now);
    double sum = 0;
    std::size_t measured = 0;
    for (const auto& [id, engine] : this->runs)
    {
        if (engine.events < min_estimate_events)
            continue;
        sum += std::exp(engine.log_factor);
        ++measured;
    }
    std::vector<pace_change> changes;
    for (auto& [id, engine] : this->runs)
    {
        if (engine.events < min_estimate_events)
            continue;
        const double percent = mean_pace * std::exp(engine.log_factor) *
                               static_cast<double>(measured) / sum;
        const double present = this->faded(percent, now - engine.updated);
        engine.percent = rounded(present, engine.events, engine.percent);
        if (!engine.percent)
            continue;
        if (auto change = take_change(id, engine))
            changes.push_back(*change);
    }
    return changes;
}

std::optional<pace_change>
pace_estimator::take_change(const std::string& id, run& engine)
{
    const std::uint32_t percent = *engine.percent;
    const pace_class before = engine.announced_class;
    const pace_class after = class_with_tolerance(percent, before);
    const bool is_noticeable =
        distance(percent, engine.announced) >= noticeable_change;
    const bool is_back_at_mean =
        percent == mean_pace && engine.announced != mean_pace;
    if (!is_noticeable && !is_back_at_mean && after == before)
        return std::nullopt;
    engine.announced = percent;
    engine.announced_class = after;
    return pace_change{id, percent, before, after};
}

std::optional<std::uint32_t>
pace_estimator::percent(const std::string& engine) const
{
    const auto found = this->runs.find(engine);
    return found == this->runs.end() ? std::nullopt : found->second.percent;
}

std::size_t pace_estimator::count(pace_class wanted) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->runs,
        [wanted](const auto& entry)
        {
            return class_of(entry.second.percent.value_or(mean_pace)) == wanted;
        }));
}

} // namespace roseworks

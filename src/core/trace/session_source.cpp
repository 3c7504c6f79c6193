#include "core/trace/session_source.hpp"

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <tuple>
#include <utility>

namespace roseworks::detail
{

namespace
{

constexpr std::size_t habit_length = 5;
constexpr double caller_exponent = 0.8;
/// Logarithm of the median session in seconds (25 min), and its spread.
constexpr double session_log_median = 7.313;
constexpr double session_log_spread = 0.5;
constexpr double hour_s = 3'600;
constexpr double day_s = 24 * hour_s;
/// Hour of the day at which the fewest wake.
constexpr double quietest_hour = 2;
constexpr double burst_earliest_s = 6 * hour_s;
constexpr double burst_latest_s = 18 * hour_s;
constexpr double burst_spread_s = 60;
constexpr double batch_earliest_s = 1 * hour_s;
constexpr double batch_latest_s = 3 * hour_s;
constexpr double periodic_jitter_s = 30;
constexpr double periodic_session_s = 90;
constexpr std::array<double, 4> periods_s{1'800, 3'600, 7'200, 14'400};

enum part : std::uint64_t
{
    ranks_part = 1,
    habits_part,
    chance_part,
    periodic_part,
    bursts_part,
    batches_part
};

instant at_seconds(double seconds)
{
    return instant(duration(static_cast<duration::rep>(seconds * 1e6)));
}

double length_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

std::vector<double> zipf_weights(std::size_t count, double exponent)
{
    std::vector<double> weights;
    for (std::size_t i = 0; i < count; ++i)
    {
        weights.push_back(std::pow(static_cast<double>(i + 1), -exponent));
    }
    return weights;
}

double draw_length(std::mt19937_64& random)
{
    boost::random::lognormal_distribution<double> length(
        session_log_median, session_log_spread);
    return length(random);
}

double uniform(std::mt19937_64& random, double low, double high)
{
    return boost::random::uniform_real_distribution<double>(low, high)(random);
}

/// Wakes at a time of day against the mean.
double day_weight(double seconds, double night_factor)
{
    const double turn =
        2 * std::numbers::pi * (seconds / hour_s - quietest_hour) / 24;
    return 1 - (1 - night_factor) * std::cos(turn);
}

} // namespace

session_source::session_source(
    const trace_profile& wanted,
    const trace& catalogue,
    std::uint64_t wanted_seed)
    : profile(wanted)
    , seed(wanted_seed)
{
    const auto count = static_cast<std::uint32_t>(catalogue.servables.size());
    std::mt19937_64 random = this->random_for(ranks_part);
    std::vector<std::uint32_t> by_rank(count);
    for (std::uint32_t i = 0; i < count; ++i)
    {
        by_rank[i] = i;
    }
    for (std::uint32_t i = count; i > 1; --i)
    {
        boost::random::uniform_int_distribution<std::uint32_t> pick(0, i - 1);
        std::swap(by_rank[i - 1], by_rank[pick(random)]);
    }
    this->ranks.resize(count);
    for (std::uint32_t i = 0; i < count; ++i)
    {
        this->ranks[by_rank[i]] = i + 1;
    }

    std::mt19937_64 habit_random = this->random_for(habits_part);
    const std::vector<double> weights =
        zipf_weights(count, this->profile.wake_exponent);
    boost::random::discrete_distribution<std::uint32_t, double> pick_rank(
        weights.begin(), weights.end());
    this->habits.resize(this->profile.callers);
    for (std::vector<std::uint32_t>& habit : this->habits)
    {
        for (std::size_t i = 0; i < habit_length; ++i)
        {
            habit.push_back(by_rank[pick_rank(habit_random)]);
        }
    }
}

std::mt19937_64 session_source::random_for(std::uint64_t part) const
{
    std::seed_seq sequence{this->seed, this->seed >> 32, part};
    return std::mt19937_64(sequence);
}

std::uint32_t session_source::rank(std::uint32_t servable) const
{
    return this->ranks[servable];
}

std::vector<traced_session> session_source::draw(double per_hour) const
{
    sessions drawn;
    const double hours = length_seconds(this->profile.length) / hour_s;
    const double all =
        per_hour * static_cast<double>(this->ranks.size()) * hours;
    this->draw_chance(all * (1 - this->profile.periodic_share), drawn);
    this->draw_periodic(all * this->profile.periodic_share, drawn);
    this->draw_bursts(drawn);
    this->draw_batches(drawn);
    std::stable_sort(
        drawn.begin(),
        drawn.end(),
        [](const traced_session& one, const traced_session& other)
        {
            return std::tie(one.begin, one.servable, one.caller) <
                   std::tie(other.begin, other.servable, other.caller);
        });
    return drawn;
}

void session_source::draw_chance(double count, sessions& out) const
{
    std::mt19937_64 random = this->random_for(chance_part);
    const std::vector<double> weights =
        zipf_weights(this->habits.size(), caller_exponent);
    boost::random::discrete_distribution<std::uint32_t, double> pick_caller(
        weights.begin(), weights.end());
    boost::random::uniform_int_distribution<std::size_t> pick_habit(
        0, habit_length - 1);
    const double length = length_seconds(this->profile.length);
    const double most = 2 - this->profile.night_factor;
    double drawn = 0;
    while (drawn < count)
    {
        const double begin = uniform(random, 0, length);
        const double weight = day_weight(begin, this->profile.night_factor);
        if (uniform(random, 0, most) > weight)
        {
            continue;
        }
        traced_session session;
        session.caller = pick_caller(random);
        session.servable = this->habits[session.caller][pick_habit(random)];
        session.begin = at_seconds(begin);
        session.end = at_seconds(begin + draw_length(random));
        out.push_back(session);
        const std::size_t before = out.size();
        this->draw_companions(session, random, out);
        drawn += 1 + static_cast<double>(out.size() - before);
    }
}

void session_source::draw_companions(
    const traced_session& first, std::mt19937_64& random, sessions& out) const
{
    constexpr double soonest_s = 60;
    constexpr double latest_s = 300;
    const std::vector<std::uint32_t>& habit = this->habits[first.caller];
    boost::random::bernoulli_distribution<double> follows(
        this->profile.companion_share);
    auto place = std::find(habit.begin(), habit.end(), first.servable);
    double begin = length_seconds(first.begin.time_since_epoch());
    while (place != habit.end() && ++place != habit.end() && follows(random))
    {
        begin += uniform(random, soonest_s, latest_s);
        traced_session session = first;
        session.kind = traffic_kind::companion;
        session.servable = *place;
        session.begin = at_seconds(begin);
        session.end = at_seconds(begin + draw_length(random));
        out.push_back(session);
    }
}

void session_source::draw_periodic(double count, sessions& out) const
{
    std::mt19937_64 random = this->random_for(periodic_part);
    boost::random::uniform_int_distribution<std::size_t> pick_period(
        0, periods_s.size() - 1);
    boost::random::uniform_int_distribution<std::uint32_t> pick_servable(
        0, static_cast<std::uint32_t>(this->ranks.size() - 1));
    const double length = length_seconds(this->profile.length);
    auto caller = static_cast<std::uint32_t>(this->habits.size());
    double drawn = 0;
    while (drawn < count)
    {
        const double period = periods_s[pick_period(random)];
        const std::uint32_t servable = pick_servable(random);
        double due = uniform(random, 0, period);
        for (; due < length && drawn < count; due += period, ++drawn)
        {
            const double begin = due + uniform(random, 0, periodic_jitter_s);
            out.push_back(
                {servable,
                 caller,
                 at_seconds(begin),
                 at_seconds(begin + periodic_session_s),
                 traffic_kind::periodic});
        }
        ++caller;
    }
}

void session_source::draw_bursts(sessions& out) const
{
    std::mt19937_64 random = this->random_for(bursts_part);
    const double length = length_seconds(this->profile.length);
    boost::random::uniform_int_distribution<std::uint32_t> pick_servable(
        0, static_cast<std::uint32_t>(this->ranks.size() - 1));
    boost::random::uniform_int_distribution<std::uint32_t> pick_caller(
        0, static_cast<std::uint32_t>(this->habits.size() - 1));
    const auto count = static_cast<std::uint32_t>(
        std::lround(this->profile.bursts_per_day * length / day_s));
    for (std::uint32_t i = 0; i < count; ++i)
    {
        const double day = std::floor(i / this->profile.bursts_per_day);
        const double begin =
            day * day_s + uniform(random, burst_earliest_s, burst_latest_s);
        for (std::uint32_t j = 0; j < this->profile.burst_servables; ++j)
        {
            const double wake = begin + uniform(random, 0, burst_spread_s);
            out.push_back(
                {pick_servable(random),
                 pick_caller(random),
                 at_seconds(wake),
                 at_seconds(wake + draw_length(random)),
                 traffic_kind::burst});
        }
    }
}

void session_source::draw_batches(sessions& out) const
{
    constexpr double jitter_s = 120;
    constexpr double batch_s = 2'400;
    std::mt19937_64 random = this->random_for(batches_part);
    boost::random::bernoulli_distribution<double> has_batch(
        this->profile.batch_share);
    const double length = length_seconds(this->profile.length);
    const auto first_caller =
        static_cast<std::uint32_t>(this->habits.size() * 4);
    for (std::uint32_t i = 0; i < this->ranks.size(); ++i)
    {
        const double due = uniform(random, batch_earliest_s, batch_latest_s);
        if (!has_batch(random))
        {
            continue;
        }
        for (double day = 0; day < length; day += day_s)
        {
            const double begin = day + due + uniform(random, 0, jitter_s);
            out.push_back(
                {i,
                 first_caller + i,
                 at_seconds(begin),
                 at_seconds(begin + batch_s),
                 traffic_kind::batch});
        }
    }
}

} // namespace roseworks::detail

#include "core/trace/trace_generator.hpp"

#include "core/trace/session_source.hpp"
#include "core/trace/trace_catalogue.hpp"

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <tuple>

namespace roseworks
{

namespace
{

/// Rounds in which the rate is fitted to the wanted share, and its start.
constexpr int fitting_rounds = 8;
constexpr double first_rate = 0.2;
/// Mean time between a session's requests for the most popular servable, its
/// upper bound for all, and those of the other kinds.
constexpr double quickest_gap_s = 10;
constexpr double slowest_gap_s = 300;
constexpr double batch_gap_s = 5;
constexpr double periodic_gap_s = 30;
constexpr std::uint32_t catalogue_chars = 200'000;

/// Sessions of callers of the urgent class; the same for a caller throughout.
bool is_urgent(std::uint32_t caller, double share)
{
    constexpr std::uint32_t classes = 1'000;
    constexpr std::uint32_t spread = 7'919; // a prime
    return (caller * spread) % classes < share * classes;
}

double mean_gap(const traced_session& session, double rank, double exponent)
{
    switch (session.kind)
    {
    case traffic_kind::batch:
        return batch_gap_s;
    case traffic_kind::periodic:
        return periodic_gap_s;
    default:
        return std::min(
            slowest_gap_s, quickest_gap_s * std::pow(rank, exponent));
    }
}

priority urgency_of(const traced_session& session, double urgent_share)
{
    if (session.kind == traffic_kind::batch)
    {
        return priority::batch;
    }
    const bool urgent = session.kind == traffic_kind::burst ||
                        is_urgent(session.caller, urgent_share);
    return urgent ? priority::urgent : priority::normal;
}

/// Fills a session with requests and ends it with the last of them.
void add_requests(
    trace& result,
    traced_session& session,
    const trace_profile& profile,
    double rank,
    std::mt19937_64& random)
{
    boost::random::exponential_distribution<double> gap_s(
        1 / mean_gap(session, rank, profile.zipf_exponent));
    boost::random::uniform_int_distribution<std::uint32_t> tokens(16, 256);
    boost::random::uniform_int_distribution<std::uint32_t> chars(200, 4'000);
    boost::random::bernoulli_distribution<double> whole_catalogue(
        profile.catalogue_share);
    const instant planned_end = session.end;
    instant at = session.begin;
    while (at < planned_end && at < instant(result.length))
    {
        traced_request request;
        request.at = at;
        request.servable = session.servable;
        request.caller = session.caller;
        request.kind = session.kind;
        request.urgency = urgency_of(session, profile.urgent_share);
        request.prompt_chars = chars(random);
        request.output_tokens = tokens(random);
        if (whole_catalogue(random))
        {
            request.kind = traffic_kind::catalogue;
            request.prompt_chars = catalogue_chars;
        }
        result.requests.push_back(request);
        session.end = at;
        at += duration(static_cast<duration::rep>(gap_s(random) * 1e6));
    }
}

} // namespace

trace generate_trace(const trace_profile& profile, std::uint64_t seed)
{
    trace result;
    result.length = profile.length;
    std::mt19937_64 random(seed);
    detail::add_catalogue(result, profile, random);
    const detail::session_source source(profile, result, seed);

    double rate = first_rate;
    const std::uint64_t request_seed = random();
    for (int round = 0; round < fitting_rounds; ++round)
    {
        result.requests.clear();
        result.sessions = source.draw(rate);
        std::mt19937_64 request_random(request_seed);
        for (traced_session& session : result.sessions)
        {
            add_requests(
                result,
                session,
                profile,
                source.rank(session.servable),
                request_random);
        }
        const double share = wake_or_idle_share(result);
        if (share == 0)
        {
            break;
        }
        rate *= std::pow(profile.wake_or_idle_share / share, 1.2);
    }
    std::stable_sort(
        result.requests.begin(),
        result.requests.end(),
        [](const traced_request& one, const traced_request& other)
        {
            return std::tie(one.at, one.servable, one.caller) <
                   std::tie(other.at, other.servable, other.caller);
        });
    return result;
}

} // namespace roseworks

// One organisation sends many times its limit: its urgent requests get it
// first. The load is that of deployment T.
#include "core/quota/urgency_class.hpp"
#include "quota_fleet.hpp"

#include <algorithm>
#include <array>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

using load_kind = quota_fleet::load_kind;
using kinds = std::vector<load_kind>;
using by_class = std::array<double, urgency::class_count>;

/// Of what the limit allows to the urgent requests.
constexpr double min_urgent_share = 0.95;

/// Of the served share of all requests together, for each class.
constexpr double min_class_share = 0.25;

constexpr std::array<std::size_t, 3> fleet_sizes{7, 77, 300};

/// The requests of deployment T, in all 334,300 tokens a second.
const kinds mix = {
    {.name = "matches",
     .per_second = 294,
     .amount = 720,
     .objective = 250ms,
     .urgency = urgency::urgent},
    {.name = "bookings",
     .per_second = 148,
     .amount = 100,
     .objective = 120ms,
     .urgency = urgency::urgent},
    {.name = "bills",
     .per_second = 7.8,
     .amount = 9'000,
     .objective = 800ms,
     .urgency = urgency::normal},
    {.name = "stock checks",
     .per_second = 34.2,
     .amount = 100,
     .objective = 120ms,
     .urgency = urgency::normal},
    {.name = "quotes",
     .per_second = 17.1,
     .amount = 2'000,
     .objective = 8s,
     .urgency = urgency::deferrable}};

double rate_of(const kinds& all)
{
    double sum = 0;
    for (const load_kind& one : all)
        sum += one.per_second * one.amount;
    return sum;
}

/// A fleet whose organisation sends the mix at some multiple of its limit.
struct ordered_fleet : quota_fleet
{
    static options make_options(std::size_t routers, double load)
    {
        options config;
        config.routers = routers;
        const double limit = rate_of(mix) / load;
        config.limit = {limit, limit};
        config.slack = 0;
        config.order_by_urgency = true;
        return config;
    }

    ordered_fleet(std::size_t routers, double load)
        : ordered_fleet(make_options(routers, load))
    {
    }

    explicit ordered_fleet(const options& config)
        : quota_fleet(config)
        , limit(config.limit)
    {
        this->advance(5s);
    }

    void overload(duration length, std::vector<double> weights = {})
    {
        this->send_kinds(length, this->requests, std::move(weights));
        this->seconds += std::chrono::duration<double>(length).count();
    }

    /// Decides what still waits. It isn't counted: the limit is free now.
    void finish()
    {
        for (load_kind& one : this->requests)
            ++one.round;
        this->advance(6s);
    }

    void reset()
    {
        for (std::size_t i = 0; i < mix.size(); ++i)
        {
            const int round = this->requests[i].round + 1;
            this->requests[i] = mix[i];
            this->requests[i].round = round;
        }
        this->seconds = 0;
        this->has_burst = false;
    }

    by_class sums(double load_kind::*amount) const
    {
        by_class sums{};
        for (const load_kind& one : this->requests)
            sums[one.urgency] += one.*amount;
        return sums;
    }

    /// @return The tokens that the limit leaves to the urgent class, if each
    ///         other class gets its guaranteed minimum only.
    double allowed_urgent() const
    {
        const by_class sent = this->sums(&load_kind::sent);
        const double all = this->limit.per_second * this->seconds +
                           (this->has_burst ? this->limit.burst : 0);
        const double others = sent[urgency::normal] + sent[urgency::deferrable];
        const double total = others + sent[urgency::urgent];
        return std::min(
            sent[urgency::urgent],
            all * (1 - min_class_share * others / total));
    }

    double urgent_share() const
    {
        return this->sums(&load_kind::served)[urgency::urgent] /
               this->allowed_urgent();
    }

    usage_limit limit;
    kinds requests = mix;
    double seconds = 0;
    bool has_burst = true; ///< the bucket was full when the load began
};

/// Weights that send nothing to the first router. It may be cut off, and then
/// decides by its local share, which has no order.
std::vector<double> weights_without_first(std::size_t routers)
{
    std::vector<double> weights(routers, 1.0);
    weights.front() = 0;
    return weights;
}

void assert_in_bounds(const quota_fleet& fleet)
{
    cr_expect_leq(
        fleet.worst_window(),
        fleet.allowed(),
        "%zu routers: %.0f tokens in a window, %.0f allowed",
        fleet.size(),
        fleet.worst_window(),
        fleet.allowed());
}

void assert_urgent_first(
    const ordered_fleet& fleet, double min_share = min_urgent_share)
{
    cr_expect_geq(
        fleet.urgent_share(),
        min_share,
        "%zu routers: urgent requests got %.3f",
        fleet.size(),
        fleet.urgent_share());
}

void assert_none_starved(const ordered_fleet& fleet)
{
    const by_class sent = fleet.sums(&load_kind::sent);
    const by_class served = fleet.sums(&load_kind::served);
    const double share =
        (served[0] + served[1] + served[2]) / (sent[0] + sent[1] + sent[2]);
    for (std::size_t i = 0; i < urgency::class_count; ++i)
        cr_expect_geq(
            served[i] / sent[i],
            min_class_share * share,
            "%zu routers: class %zu got %.4f, all %.4f",
            fleet.size(),
            i,
            served[i] / sent[i],
            share);
}

} // namespace

/// Guards against refusals of urgent requests while those that can wait
/// reserve the limit in advance.
Test(urgency_fleet, urgent_requests_go_first_at_ten_times_the_limit)
{
    for (const std::size_t routers : fleet_sizes)
    {
        ordered_fleet fleet(routers, 10);
        fleet.overload(60s);
        fleet.finish();
        assert_in_bounds(fleet);
        assert_urgent_first(fleet);
        assert_none_starved(fleet);
    }
}

/// The limit would hold all urgent requests, and a part of the others.
Test(urgency_fleet, the_rest_goes_to_the_other_classes)
{
    constexpr double min_served = 0.95;
    for (const std::size_t routers : fleet_sizes)
    {
        for (const double load : {1.3, 2.0})
        {
            ordered_fleet fleet(routers, load);
            fleet.overload(60s);
            fleet.finish();
            assert_in_bounds(fleet);
            assert_urgent_first(fleet);
            assert_none_starved(fleet);
            const by_class served = fleet.sums(&load_kind::served);
            const double share =
                (served[0] + served[1] + served[2]) /
                (fleet.limit.per_second * fleet.seconds + fleet.limit.burst);
            cr_expect_geq(
                share,
                min_served,
                "%zu routers, load %.1f: %.3f of the limit used",
                routers,
                load,
                share);
        }
    }
}

/// An organisation within its limit isn't refused more than without the order.
Test(urgency_fleet, nothing_is_lost_below_the_limit)
{
    constexpr double load = 0.8;
    for (const std::size_t routers : fleet_sizes)
    {
        double served[2] = {};
        for (const bool is_ordered : {false, true})
        {
            auto config = ordered_fleet::make_options(routers, load);
            config.order_by_urgency = is_ordered;
            ordered_fleet fleet(config);
            fleet.overload(60s);
            fleet.finish();
            assert_in_bounds(fleet);
            const by_class all = fleet.sums(&load_kind::served);
            const by_class sent = fleet.sums(&load_kind::sent);
            served[is_ordered ? 1 : 0] =
                (all[0] + all[1] + all[2]) / (sent[0] + sent[1] + sent[2]);
        }
        cr_expect_geq(
            served[1],
            served[0] - 0.001,
            "%zu routers: %.4f served, %.4f without the order",
            routers,
            served[1],
            served[0]);
    }
}

/// One organisation's overload must not reach the others.
Test(urgency_fleet, other_organisations_get_what_they_get_alone)
{
    constexpr double min_share = 0.95;
    constexpr double other_part = 0.08;
    for (const std::size_t routers : fleet_sizes)
    {
        double served[2] = {};
        for (const bool is_alone : {true, false})
        {
            auto config = ordered_fleet::make_options(routers, 10);
            config.other_limits["o2"] = config.limit;
            ordered_fleet fleet(config);
            const std::size_t own = fleet.requests.size();
            for (std::size_t i = 0; i < own; ++i)
            {
                load_kind other = fleet.requests[i];
                other.account = "o2";
                other.per_second *= other_part;
                if (is_alone)
                    fleet.requests[i].per_second = 0;
                fleet.requests.push_back(other);
            }
            fleet.overload(60s);
            fleet.finish();
            assert_in_bounds(fleet);
            double sent = 0;
            for (const load_kind& one : fleet.requests)
            {
                if (one.account != "o2")
                    continue;
                sent += one.sent;
                served[is_alone ? 0 : 1] += one.served;
            }
            served[is_alone ? 0 : 1] /= sent;
        }
        cr_expect_geq(
            served[1],
            min_share * served[0],
            "%zu routers: %.3f served, %.3f alone",
            routers,
            served[1],
            served[0]);
    }
}

/// Requests that can wait do so for half of their objective, and not longer.
/// What refusals state lies within the bounds of retry times, and differs.
Test(urgency_fleet, requests_that_can_wait_do_so)
{
    ordered_fleet fleet(77, 10);
    fleet.overload(60s);
    fleet.finish();
    for (const load_kind& one : fleet.requests)
    {
        const duration longest = one.urgency == urgency::deferrable
                                     ? one.objective / 2
                                     : one.objective / 4;
        const duration transport = 50ms;
        cr_expect_leq(
            one.longest_wait.count(),
            (longest + transport).count(),
            "%s waited %lld us",
            one.name.c_str(),
            static_cast<long long>(one.longest_wait.count()));
        cr_expect_gt(one.shortest_retry_after.count(), 0);
        cr_expect_leq(one.longest_retry_after.count(), duration(5s).count());
        cr_expect_lt(
            one.shortest_retry_after.count(), one.longest_retry_after.count());
    }
    const load_kind& quotes = fleet.requests.back();
    cr_expect_geq(quotes.longest_wait.count(), duration(3900ms).count());
}

/// Some classes have no request for seconds. What they have saved for the next
/// one must stay theirs.
Test(urgency_fleet, rare_requests_of_a_small_organisation)
{
    constexpr double part = 1.0 / 16;
    auto config = ordered_fleet::make_options(77, 10 / part);
    config.limit.burst = 15'000;
    ordered_fleet fleet(config);
    for (load_kind& one : fleet.requests)
        one.per_second *= part;
    fleet.overload(1200s);
    fleet.finish();
    assert_in_bounds(fleet);
    assert_urgent_first(fleet);
    assert_none_starved(fleet);
}

/// Retries add to the demand of their class only.
Test(urgency_fleet, callers_that_retry_at_once)
{
    for (const std::size_t routers : fleet_sizes)
    {
        ordered_fleet fleet(routers, 10);
        for (load_kind& one : fleet.requests)
        {
            one.retry_delay = 20ms;
            one.max_refusals = 20;
        }
        fleet.overload(60s);
        fleet.finish();
        assert_in_bounds(fleet);
        assert_urgent_first(fleet);
        assert_none_starved(fleet);
    }
}

/// Retries of requests that can't be served must not displace urgent ones.
Test(urgency_fleet, only_callers_of_other_classes_retry_at_once)
{
    for (const std::size_t routers : fleet_sizes)
    {
        ordered_fleet fleet(routers, 10);
        for (load_kind& one : fleet.requests)
        {
            if (one.urgency == urgency::urgent)
                continue;
            one.retry_delay = 20ms;
            one.max_refusals = 20;
        }
        fleet.overload(60s);
        fleet.finish();
        assert_in_bounds(fleet);
        assert_urgent_first(fleet);
        assert_none_starved(fleet);
    }
}

/// The new limit holds at once, and so does the order within it.
Test(urgency_fleet, a_limit_reduced_under_load)
{
    for (const std::size_t routers : fleet_sizes)
    {
        ordered_fleet fleet(routers, 5);
        fleet.overload(8s);
        const double before = fleet.allowed();
        fleet.limit.per_second /= 2;
        fleet.limit.burst /= 2;
        const instant reduced = fleet.now();
        fleet.set_limit(fleet.limit);
        fleet.overload(8s);
        cr_expect_leq(fleet.worst_window(), before);
        cr_expect_leq(
            fleet.worst_window(quota_fleet::organisation_name, reduced),
            fleet.allowed());
        fleet.reset();
        fleet.overload(60s);
        fleet.finish();
        assert_urgent_first(fleet);
        assert_none_starved(fleet);
    }
}

/// The next accountant knows neither the demand nor the classes' tokens.
Test(urgency_fleet, the_accountant_is_cut_off)
{
    for (const std::size_t routers : fleet_sizes)
    {
        ordered_fleet fleet(routers, 10);
        fleet.overload(6s);
        fleet.reaches = [](std::size_t from, std::size_t to)
        {
            return from != 0 && to != 0;
        };
        fleet.overload(3s);
        fleet.reset();
        fleet.overload(60s, weights_without_first(routers));
        fleet.finish();
        assert_in_bounds(fleet);
        // The first router's share of the limit stays with it.
        assert_urgent_first(
            fleet,
            min_urgent_share * static_cast<double>(routers - 1) /
                static_cast<double>(routers));
        assert_none_starved(fleet);
    }
}

Test(urgency_fleet, the_accountant_is_suspended)
{
    for (const std::size_t routers : fleet_sizes)
    {
        ordered_fleet fleet(routers, 10);
        fleet.overload(4s);
        fleet.freeze(0, 2s);
        fleet.overload(6s);
        fleet.reset();
        fleet.overload(60s);
        fleet.finish();
        assert_in_bounds(fleet);
        assert_urgent_first(fleet);
        assert_none_starved(fleet);
    }
}

Test(urgency_fleet, the_accountant_is_cut_off_in_one_direction)
{
    for (const std::size_t routers : fleet_sizes)
    {
        for (const bool no_replies : {false, true})
        {
            ordered_fleet fleet(routers, 10);
            fleet.overload(4s);
            fleet.reaches = [no_replies](std::size_t from, std::size_t to)
            {
                return from == to || (no_replies ? from != 0 : to != 0);
            };
            fleet.overload(3s);
            fleet.reset();
            fleet.overload(60s, weights_without_first(routers));
            fleet.finish();
            assert_in_bounds(fleet);
            assert_urgent_first(
                fleet,
                min_urgent_share * static_cast<double>(routers - 1) /
                    static_cast<double>(routers));
            assert_none_starved(fleet);
        }
    }
}

/// Each accountant orders the requests of its routers within its share.
Test(urgency_fleet, two_accountants_at_once)
{
    for (const std::size_t routers : fleet_sizes)
    {
        ordered_fleet fleet(routers, 10);
        fleet.reaches = [](std::size_t from, std::size_t to)
        {
            return from % 2 == to % 2;
        };
        fleet.overload(4s);
        fleet.reset();
        fleet.overload(60s);
        fleet.finish();
        assert_in_bounds(fleet);
        assert_urgent_first(fleet);
        assert_none_starved(fleet);
    }
}

Test(urgency_fleet, all_routers_restart_at_once)
{
    for (const std::size_t routers : fleet_sizes)
    {
        ordered_fleet fleet(routers, 10);
        fleet.overload(6s);
        for (std::size_t i = 0; i < routers; ++i)
            fleet.restart(i);
        fleet.overload(2s);
        fleet.reset();
        fleet.overload(60s);
        fleet.finish();
        assert_in_bounds(fleet);
        assert_urgent_first(fleet);
        assert_none_starved(fleet);
    }
}

/// Without an accountant the local shares apply, whatever the order.
Test(urgency_fleet, routers_that_are_all_cut_off_keep_the_sum)
{
    for (const std::size_t routers : fleet_sizes)
    {
        ordered_fleet fleet(routers, 10);
        fleet.overload(4s);
        fleet.reaches = [](std::size_t, std::size_t)
        {
            return false;
        };
        fleet.overload(60s);
        fleet.finish();
        assert_in_bounds(fleet);
    }
}

Test(urgency_fleet, a_lossy_network_keeps_the_order)
{
    for (const std::uint64_t seed : {1U, 2U, 3U})
    {
        auto config = ordered_fleet::make_options(300, 10);
        config.loss = 0.03;
        config.duplicate = 0.05;
        config.longest_delay = 15ms;
        config.seed = seed;
        ordered_fleet fleet(config);
        fleet.overload(60s);
        fleet.finish();
        assert_in_bounds(fleet);
        assert_urgent_first(fleet);
        assert_none_starved(fleet);
    }
}

/// Draws that wait ask again together: at most each 125 ms, in few messages.
Test(urgency_fleet, waiting_requests_add_few_messages)
{
    constexpr double max_added = 16; // eight queries and their replies
    for (const std::size_t routers : {77U, 300U})
    {
        double messages[2] = {};
        for (const bool is_ordered : {false, true})
        {
            auto config = ordered_fleet::make_options(routers, 10);
            config.order_by_urgency = is_ordered;
            ordered_fleet fleet(config);
            for (load_kind& one : fleet.requests)
                one.per_second = 0;
            fleet.requests.back().per_second = 167;
            const std::size_t before = fleet.message_count();
            fleet.overload(20s);
            messages[is_ordered ? 1 : 0] =
                static_cast<double>(fleet.message_count() - before) /
                fleet.seconds / static_cast<double>(routers);
        }
        cr_expect_leq(
            messages[1],
            messages[0] + max_added,
            "%zu routers: %.1f messages per router and second, %.1f without "
            "the order",
            routers,
            messages[1],
            messages[0]);
    }
}

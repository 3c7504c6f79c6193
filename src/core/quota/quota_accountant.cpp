#include "core/quota/quota_accountant.hpp"

#include "core/quota/retry_limits.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

/// Results kept per router, to answer repeated draws without counting twice.
constexpr std::size_t max_cached_results = 32;

/// Routers that sent nothing for this long are forgotten.
constexpr duration router_retention = std::chrono::seconds(60);

/// Cap for times in received messages (one hour).
constexpr std::int64_t max_time_us = 3'600'000'000;

/// Above the cost of any request. A larger amount, a negative one or NaN would
/// corrupt a bucket for all routers that draw from it.
constexpr double max_amount = 1e12;

/// Organisations and servers together; further servers are not counted.
constexpr std::size_t max_accounts = 10'000;

bool is_valid_amount(double amount)
{
    return amount >= 0 && amount <= max_amount;
}

duration clamp_time(std::int64_t us)
{
    return duration(std::clamp<std::int64_t>(us, 0, max_time_us));
}

/// Names of organisations don't begin with a control character; all other
/// accounts' do.
bool is_organisation_account(std::string_view name)
{
    constexpr char first_printable = ' ';
    return !name.empty() &&
           static_cast<unsigned char>(name.front()) >= first_printable;
}

/// @return The class of a draw. Routers that don't order requests send none.
std::uint8_t class_of(const quota_query& query, std::uint64_t id)
{
    const auto found = std::ranges::find(query.orders, id, &draw_order::id);
    if (found == query.orders.end())
        return urgency::normal;
    return std::min(found->urgency_class, urgency::deferrable);
}

/// When a place that can't be waited for may be requested again.
constexpr duration place_retry_delay = std::chrono::milliseconds(50);

/// @return The order that a query gives a draw.
draw_order order_of(const quota_query& query, const quota_draw& draw)
{
    const auto found =
        std::ranges::find(query.orders, draw.id, &draw_order::id);
    return found == query.orders.end() ? draw_order() : *found;
}

/// An account of places that isn't in the limits is kept for this long after
/// its last draw.
constexpr duration places_retention = std::chrono::seconds(2);

/// Interval between two counts of the active routers.
constexpr duration count_interval = std::chrono::milliseconds(20);

} // namespace

quota_accountant::quota_accountant(
    std::string own_name, quota_bounds tolerances)
    : quota_accountant(std::move(own_name), tolerances, order_options())
{
}

quota_accountant::quota_accountant(
    std::string own_name, quota_bounds tolerances, order_options ordering)
    : name(std::move(own_name))
    , bounds(tolerances)
    , order(ordering)
{
}

void quota_accountant::set_limits(const global_limits& all, instant now)
{
    this->refill_buckets(now);
    std::map<std::string, account, std::less<>> next;
    for (const auto& [name, limit] : all)
    {
        account& added = next[name];
        const auto before = this->accounts_by_name.find(name);
        if (before != this->accounts_by_name.end())
            added = before->second;
        added.limit = limit;
        if (limit.slots > 0 && !added.places)
            this->add_places(added, limit.slots);
        if (this->order.by_urgency && is_organisation_account(name) &&
            !added.order)
            added.order.emplace(
                urgency_order{urgency_shares(this->order.seed), {}});
    }
    // Routers may know a server's places before this one does. Without the
    // count of what they hold, the server would get too many requests.
    for (const auto& [name, before] : this->accounts_by_name)
    {
        if (before.places && now - before.last_draw < places_retention)
            next.try_emplace(name, before);
    }
    this->accounts_by_name = std::move(next);
}

void quota_accountant::set_router_count(std::size_t count)
{
    this->known_routers = std::max<std::size_t>(count, 1);
}

quota_reply
quota_accountant::handle_query(const quota_query& query, instant now)
{
    router& from = this->routers[query.router];
    // The router regards the contact as lost after the same time.
    if (query.last_reply_age_us >= 0)
        from.contact_until = std::max(
            from.contact_until,
            now - clamp_time(query.last_reply_age_us) +
                contact_timeout(this->bounds));
    from.counted_from = query.counting_delay_us < 0
                            ? instant::max()
                            : now + clamp_time(query.counting_delay_us);
    from.request_counts = query.request_counts;
    this->refill_buckets(now);
    for (const quota_return& returned : query.returns)
        this->apply_return(returned);
    for (const quota_draw& draw : query.draws)
        this->find_account(draw);
    this->report_usages(query, now);
    quota_reply reply;
    reply.accountant = this->name;
    for (const quota_draw& draw : query.draws)
        reply.results.push_back(this->evaluate(query, draw, from, now));
    return reply;
}

void quota_accountant::report_usages(const quota_query& query, instant now)
{
    router& from = this->routers[query.router];
    if (from.run == query.run && query.sequence < from.sequence)
        return;
    from.run = query.run;
    from.sequence = query.sequence;
    for (const place_usage& usage : query.usages)
    {
        const auto found = this->accounts_by_name.find(usage.account);
        if (found == this->accounts_by_name.end() || !found->second.places)
            continue;
        found->second.places->report(query.router, usage, now);
        this->grant_waiting(*found->second.places, now);
    }
}

void quota_accountant::grant_waiting(place_counter& places, instant now)
{
    for (const place_counter::late_grant& one : places.grant_waiting(now))
    {
        const quota_result result{one.draw, true, 0};
        this->remember(this->routers[one.router], result);
        this->late_replies.push_back(
            {one.router, quota_reply{this->name, {result}}});
    }
}

void quota_accountant::remember(router& from, const quota_result& result)
{
    from.recent_results.push_front(result);
    if (from.recent_results.size() > max_cached_results)
        from.recent_results.pop_back();
}

quota_result quota_accountant::draw_place(
    place_counter& places,
    std::string_view router,
    const quota_draw& draw,
    const draw_order& order,
    instant now)
{
    using outcome = place_counter::outcome;
    const outcome decided =
        places.draw(router, draw.id, clamp_time(draw.max_wait_us), now, order);
    if (decided == outcome::granted)
        return {draw.id, true, 0};
    return {
        draw.id,
        false,
        decided == outcome::queued ? quota_result::queued
                                   : place_retry_delay.count()};
}

quota_result quota_accountant::evaluate(
    const quota_query& query, const quota_draw& draw, router& from, instant now)
{
    const auto before =
        std::ranges::find(from.recent_results, draw.id, &quota_result::id);
    if (before != from.recent_results.end())
        return *before;
    if (!is_valid_amount(draw.amount))
        return {draw.id, false, 0};
    // A service whose configuration this accountant lacks gets no retries.
    quota_result result{draw.id, !is_retry_account(draw.account), 0};
    if (account* const found = this->find_account(draw))
    {
        account& entry = *found;
        if (entry.places)
        {
            entry.last_draw = now;
            result = this->draw_place(
                *entry.places, query.router, draw, order_of(query, draw), now);
            if (result.is_allowed)
                this->remember(from, result);
            return result;
        }
        result = entry.order ? this->draw_in_order(query, draw, entry, now)
                             : this->draw_tokens(draw, entry);
    }
    if (!result.is_allowed)
        // No tokens were taken, so a repeated draw is evaluated again.
        return result;
    this->remember(from, result);
    return result;
}

quota_result
quota_accountant::draw_tokens(const quota_draw& draw, account& entry) const
{
    const usage_limit limit = this->granted_limit(entry);
    const auto wait =
        entry.bucket.take(draw.amount, clamp_time(draw.max_wait_us), limit);
    (wait ? entry.used : entry.refused) += draw.amount;
    return {
        draw.id,
        wait.has_value(),
        wait.value_or(entry.bucket.time_until(draw.amount, limit)).count()};
}

quota_result quota_accountant::draw_in_order(
    const quota_query& query,
    const quota_draw& draw,
    account& entry,
    instant now) const
{
    const usage_limit limit = this->granted_limit(entry);
    const std::uint8_t urgency = class_of(query, draw.id);
    urgency_shares& shares = entry.order->shares;
    class_totals& totals = entry.order->totals[urgency];
    // No request gets more than a full bucket at once. An absurd amount must
    // not stand for the organisation's demand.
    const double counted =
        std::min(draw.amount, std::max(limit.burst, limit.per_second));
    const bool is_new = shares.add_demand(draw.id, urgency, counted, now);
    shares.update(entry.bucket, limit, now);
    const auto wait = shares.take(
        entry.bucket,
        urgency,
        draw.amount,
        clamp_time(draw.max_wait_us),
        limit);
    if (wait)
    {
        entry.used += draw.amount;
        totals.used += draw.amount;
        return {draw.id, true, wait->count()};
    }
    if (is_new)
    {
        entry.refused += draw.amount;
        totals.refused += draw.amount;
    }
    const duration expected = shares.expected_wait(
        entry.bucket, draw.id, urgency, draw.amount, limit);
    return {draw.id, false, expected.count()};
}

quota_accountant::account*
quota_accountant::find_account(const quota_draw& draw)
{
    const auto found = this->accounts_by_name.find(draw.account);
    if (found != this->accounts_by_name.end())
        return &found->second;
    const bool counts_places = is_places_account(draw.account);
    const bool is_announced =
        (counts_places || is_server_account(draw.account)) &&
        draw.announced > 0 && is_valid_amount(draw.announced);
    if (!is_announced || this->accounts_by_name.size() >= max_accounts)
        return nullptr;
    // The message about this limit is delayed or was lost.
    account& added = this->accounts_by_name[draw.account];
    added.limit = counts_places ? limit_of_places(draw.announced)
                                : limit_of_server(draw.announced);
    if (counts_places)
        this->add_places(added, draw.announced);
    return &added;
}

void quota_accountant::add_places(account& entry, double slots) const
{
    // After a restart, the routers have more requests at the server than they
    // have reported to this accountant.
    entry.places.emplace(slots);
    entry.places->set_share(this->active_fraction);
}

void quota_accountant::apply_return(const quota_return& returned)
{
    const auto found = this->accounts_by_name.find(returned.account);
    if (found == this->accounts_by_name.end() ||
        !is_valid_amount(returned.amount))
        return;
    account& entry = found->second;
    entry.bucket.return_tokens(returned.amount, this->granted_limit(entry));
    entry.used -= returned.amount;
}

void quota_accountant::tick(instant now)
{
    this->refill_buckets(now);
}

void quota_accountant::refill_buckets(instant now)
{
    if (now - this->last_refill < count_interval)
        return;
    // After a process freeze, the routers known before have moved to another
    // accountant.
    const duration elapsed = std::min<duration>(
        now - this->last_refill, contact_timeout(this->bounds));
    this->last_refill = now;
    if (this->routers.size() > 2 * this->known_routers)
        std::erase_if(
            this->routers,
            [now](const auto& entry)
            {
                return entry.second.contact_until + router_retention < now;
            });
    const auto active_routers = std::ranges::count_if(
        this->routers,
        [now](const auto& entry)
        {
            return entry.second.is_active(now);
        });
    const double active_fraction =
        this->known_routers == 0 ? 0
                                 : static_cast<double>(active_routers) /
                                       static_cast<double>(this->known_routers);
    // A router that was just added contributes from now on, not for the elapsed
    // time.
    const double refill_fraction =
        std::min(this->active_fraction, active_fraction);
    this->active_fraction = std::min(refill_fraction, 1.0);
    const auto requests = this->sum_requests(now);
    for (auto& [name, entry] : this->accounts_by_name)
    {
        const std::string& counted_under = entry.limit.counted_under;
        const auto reported =
            requests.find(counted_under.empty() ? name : counted_under);
        const double sum = reported == requests.end() ? 0 : reported->second;
        entry.requests = std::min(entry.requests, sum);
        entry.bucket.refill(elapsed, this->granted_limit(entry));
        entry.requests = sum;
    }
    this->active_fraction = std::min(active_fraction, 1.0);
    this->refill_places(now);
}

void quota_accountant::refill_places(instant now)
{
    const auto is_active = [this, now](std::string_view router)
    {
        const auto found = this->routers.find(std::string(router));
        return found != this->routers.end() && found->second.is_active(now);
    };
    for (auto& [name, entry] : this->accounts_by_name)
    {
        if (!entry.places)
            continue;
        entry.places->set_share(this->active_fraction);
        entry.places->keep_routers(is_active);
        entry.places->tick(now);
        this->grant_waiting(*entry.places, now);
    }
}

std::map<std::string_view, double>
quota_accountant::sum_requests(instant now) const
{
    std::map<std::string_view, double> sums;
    for (const auto& [name, from] : this->routers)
    {
        if (!from.is_active(now))
            continue;
        for (const request_count& reported : from.request_counts)
            sums[reported.account] += reported.in_window;
    }
    return sums;
}

usage_limit quota_accountant::granted_limit(const account& entry) const
{
    return sum_of(
        share_of(entry.limit.total, this->active_fraction),
        share_of(entry.limit.per_request, entry.requests));
}

} // namespace roseworks

#include "core/quota/quota_accountant.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

/// Results kept per router, to answer repeated draws without counting twice.
constexpr std::size_t most_answered = 32;

/// Routers that were not heard for this long are forgotten.
constexpr duration forgotten_after = std::chrono::seconds(60);

/// Cap for times in received messages (one hour).
constexpr std::int64_t longest_us = 3'600'000'000;

/// Above the cost of any request. A larger amount, a negative one or NaN would
/// corrupt a bucket for all routers that draw from it.
constexpr double largest_amount = 1e12;

/// Organisations and servers together; further servers are not counted.
constexpr std::size_t most_accounts = 10'000;

bool makes_sense(double amount)
{
    return amount >= 0 && amount <= largest_amount;
}

duration bounded(std::int64_t us)
{
    return duration(std::clamp<std::int64_t>(us, 0, longest_us));
}

/// Interval between two counts of the active routers.
constexpr duration count_pause = std::chrono::milliseconds(20);

} // namespace

quota_accountant::quota_accountant(std::string own_name, quota_bounds given)
    : name(std::move(own_name))
    , bounds(given)
{
}

void quota_accountant::limits_changed(const counted_limits& all, instant now)
{
    this->advance(now);
    std::map<std::string, account, std::less<>> next;
    for (const auto& [one, limit] : all)
    {
        account& added = next[one];
        const auto before = this->limited.find(one);
        if (before != this->limited.end())
            added = before->second;
        added.limit = limit.whole;
    }
    this->limited = std::move(next);
}

void quota_accountant::routers_known(std::size_t count)
{
    this->known_routers = std::max<std::size_t>(count, 1);
}

quota_answer quota_accountant::heard(const quota_ask& ask, instant now)
{
    router& from = this->routers[ask.router];
    // The router regards the contact as lost after the same time.
    if (ask.heard_ago_us >= 0)
        from.heard_until = std::max(
            from.heard_until,
            now - bounded(ask.heard_ago_us) + contact_life(this->bounds));
    from.counts_from =
        ask.counts_in_us < 0 ? instant::max() : now + bounded(ask.counts_in_us);
    this->advance(now);
    for (const quota_return& what : ask.returns)
        this->give_back(what);
    quota_answer answer;
    answer.accountant = this->name;
    for (const quota_draw& draw : ask.draws)
        answer.results.push_back(this->settle(draw, from));
    return answer;
}

quota_result quota_accountant::settle(const quota_draw& draw, router& from)
{
    const auto before =
        std::ranges::find(from.answered, draw.id, &quota_result::id);
    if (before != from.answered.end())
        return *before;
    if (!makes_sense(draw.amount))
        return {draw.id, false, 0};
    quota_result result{draw.id, true, 0};
    if (account* const found = this->find_account(draw))
    {
        account& one = *found;
        const usage_limit terms = share_of(one.limit, this->part);
        const auto wait =
            one.bucket.take(draw.amount, bounded(draw.longest_wait_us), terms);
        result.is_allowed = wait.has_value();
        (wait ? one.used : one.refused) += draw.amount;
        result.wait_us =
            wait.value_or(one.bucket.until(draw.amount, terms)).count();
    }
    if (!result.is_allowed)
        return result; // no tokens were taken, so a repeated draw is evaluated
                       // again
    from.answered.push_front(result);
    if (from.answered.size() > most_answered)
        from.answered.pop_back();
    return result;
}

quota_accountant::account*
quota_accountant::find_account(const quota_draw& draw)
{
    const auto found = this->limited.find(draw.organisation);
    if (found != this->limited.end())
        return &found->second;
    const bool is_named = is_server_account(draw.organisation) &&
                          draw.named_per_second > 0 &&
                          makes_sense(draw.named_per_second);
    if (!is_named || this->limited.size() >= most_accounts)
        return nullptr;
    // The message about this limit is delayed or was lost.
    account& added = this->limited[draw.organisation];
    added.limit = limit_of_server(draw.named_per_second).whole;
    return &added;
}

void quota_accountant::give_back(const quota_return& what)
{
    const auto found = this->limited.find(what.organisation);
    if (found == this->limited.end() || !makes_sense(what.amount))
        return;
    account& one = found->second;
    one.bucket.put_back(what.amount, share_of(one.limit, this->part));
    one.used -= what.amount;
}

void quota_accountant::tick(instant now)
{
    this->advance(now);
}

void quota_accountant::advance(instant now)
{
    if (now - this->advanced < count_pause)
        return;
    // After a process freeze, routers that were heard before have moved to
    // another accountant.
    const duration elapsed =
        std::min<duration>(now - this->advanced, contact_life(this->bounds));
    this->advanced = now;
    if (this->routers.size() > 2 * this->known_routers)
        std::erase_if(
            this->routers,
            [now](const auto& one)
            {
                return one.second.heard_until + forgotten_after < now;
            });
    const auto heard = std::ranges::count_if(
        this->routers,
        [now](const auto& one)
        {
            return one.second.heard_until > now &&
                   one.second.counts_from <= now;
        });
    const double part = this->known_routers == 0
                            ? 0
                            : static_cast<double>(heard) /
                                  static_cast<double>(this->known_routers);
    // A router that was just added contributes from now on, not for the elapsed
    // time.
    const double filled = std::min(this->part, part);
    for (auto& [organisation, one] : this->limited)
        one.bucket.fill(elapsed, share_of(one.limit, std::min(filled, 1.0)));
    this->part = std::min(part, 1.0);
}

} // namespace roseworks

#include "core/quota/quota_client.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

/// Interval between messages to an accountant that doesn't answer.
constexpr duration probe_pause = std::chrono::milliseconds(100);

/// A tick that is later than this shows that this process was suspended.
/// Missing answers are then no sign of an accountant's failure.
constexpr duration usual_lateness = std::chrono::milliseconds(30);

/// Returns that wait for the next message; more are dropped.
constexpr std::size_t most_returns = 64;

/// Longest retry delay for a refused caller, as limits and shares change.
constexpr duration longest_retry = std::chrono::seconds(5);

/// Messages per contact timeout: a contact survives the loss of two.
constexpr int words_per_contact = 3;

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

quota_client::quota_client(options chosen)
    : settings(std::move(chosen))
    , last_id(this->settings.seed)
{
    constexpr decide ways[] = {
        &quota_client::ask_accountant, &quota_client::use_own_part};
    this->way = ways[static_cast<std::size_t>(this->settings.way)];
}

void quota_client::limits_changed(counted_limits all)
{
    this->limits = std::move(all);
    std::erase_if(
        this->own,
        [this](const auto& one)
        {
            return !this->limits.contains(one.first);
        });
}

void quota_client::accountants_known(
    std::vector<std::string> names, std::size_t known)
{
    this->known_routers = std::max<std::size_t>(known, 1);
    const std::string chosen(this->accountant());
    std::vector<candidate> next;
    for (std::string& name : names)
    {
        const auto before =
            std::ranges::find(this->candidates, name, &candidate::name);
        if (before != this->candidates.end())
            next.push_back(std::move(*before));
        else
            next.emplace_back().name = std::move(name);
    }
    this->candidates = std::move(next);
    // Keep an accountant that answers when the list is updated.
    const auto still =
        std::ranges::find(this->candidates, chosen, &candidate::name);
    this->current = static_cast<std::size_t>(still - this->candidates.begin());
    this->choose(this->ticked);
}

std::uint64_t quota_client::draw(
    std::string_view organisation,
    double amount,
    duration longest_wait,
    instant now)
{
    const std::uint64_t id = ++this->last_id;
    pending added;
    added.draw = {
        id,
        std::string(organisation),
        amount,
        std::max(longest_wait, duration::zero()).count(),
        this->named_limit(organisation)};
    added.asked = now;
    added.sent = now;
    this->waiting.emplace(id, std::move(added));
    (this->*this->way)(id, now);
    return id;
}

double quota_client::named_limit(std::string_view account) const
{
    const auto limit = this->limits.find(account);
    const bool is_named =
        limit != this->limits.end() && is_server_account(account);
    return is_named ? limit->second.whole.per_second : 0;
}

void quota_client::ask_accountant(std::uint64_t id, instant now)
{
    if (this->current >= this->candidates.size())
    {
        this->use_own_part(id, now);
        return;
    }
    this->say(
        this->candidates[this->current], {this->waiting.at(id).draw}, now);
    this->due_by(now + this->settings.resend);
}

void quota_client::use_own_part(std::uint64_t id, instant now)
{
    const auto found = this->waiting.find(id);
    const quota_draw draw = std::move(found->second.draw);
    this->waiting.erase(found);
    quota_decision made{id, true, {}, {}};
    const auto limit = this->limits.find(draw.organisation);
    if (limit != this->limits.end())
    {
        this->fill_own(now);
        const usage_limit terms = this->own_terms(limit->second, now);
        token_bucket& bucket = this->own[draw.organisation];
        made.retry_after = std::clamp(
            bucket.until(draw.amount, terms),
            this->settings.give_up,
            longest_retry);
        // A request above this router's burst could pass at every router.
        const auto wait =
            draw.amount > terms.burst
                ? std::nullopt
                : bucket.take(
                      draw.amount, duration(draw.longest_wait_us), terms);
        made.is_allowed = wait.has_value();
        made.wait = wait.value_or(duration::zero());
    }
    this->decisions.push_back(made);
}

double quota_client::own_part() const
{
    if (this->known_routers == 0)
        return 0;
    return 1.0 / static_cast<double>(this->known_routers);
}

usage_limit
quota_client::own_terms(const counted_limit& limit, instant now) const
{
    /// Fractions of the slack. While an accountant counts, the slack bucket
    /// refills once per window, so it gives at most twice its size in any
    /// window. Otherwise the slack is used only once.
    constexpr double with_accountant = 0.5;
    constexpr double without = 0.95;
    const bool by_itself = this->settings.way == quota_way::own_share;
    const double part = this->own_part();
    const double slack =
        limit.slack * part * (by_itself ? without : with_accountant);
    usage_limit terms = share_of(limit.whole, part);
    terms.burst = std::max(terms.burst, limit.least_burst) + slack;
    if (!by_itself && !this->is_alone(now))
        terms = {slack / seconds(this->settings.bounds.window), slack};
    return terms;
}

void quota_client::fill_own(instant now)
{
    if (this->own_filled == instant())
        this->own_filled =
            now; // earlier usage isn't known, so buckets start empty
    const duration elapsed = now - this->own_filled;
    this->own_filled = now;
    for (const auto& [name, limit] : this->limits)
        this->own[name].fill(elapsed, this->own_terms(limit, now));
}

bool quota_client::is_alone(instant now) const
{
    const duration life = contact_life(this->settings.bounds);
    return std::ranges::none_of(
        this->candidates,
        [now, life](const candidate& one)
        {
            return one.answered && now - *one.answered <= life;
        });
}

bool quota_client::is_settled(const candidate& one, instant now) const
{
    const duration life = contact_life(this->settings.bounds);
    return !one.is_silent && one.answered && now - *one.answered <= life &&
           one.counts_from <= now && now - one.since >= life / 2;
}

void quota_client::choose(instant now)
{
    const bool has_one = this->current < this->candidates.size() &&
                         !this->candidates[this->current].is_silent;
    // Switch from an accountant that answers to a preferred one only when that
    // is in contact with the other routers, too: it grants only the share of
    // the routers that report to it.
    for (std::size_t i = 0; i < this->candidates.size(); ++i)
    {
        const candidate& one = this->candidates[i];
        const bool fits = has_one ? this->is_settled(one, now) : !one.is_silent;
        if (i == this->current && has_one)
            return;
        if (!fits)
            continue;
        this->current = i;
        return;
    }
    this->current = this->candidates.size();
}

void quota_client::let_count(candidate& one, instant now)
{
    const duration life = contact_life(this->settings.bounds);
    std::optional<instant> other;
    for (const candidate& before : this->candidates)
    {
        const bool counts = &before != &one && before.answered &&
                            before.counts_from <= now &&
                            now - *before.answered <= life;
        if (counts)
            other = std::max(other.value_or(instant()), *before.answered);
    }
    // The tolerated excess covers one double count of a router per window.
    const bool may_overlap =
        !this->overlapped ||
        now - *this->overlapped >= this->settings.bounds.window;
    const bool is_current = this->accountant() == one.name;
    one.since = now;
    if (!other || may_overlap)
        one.counts_from = now;
    else
        one.counts_from = is_current ? *other + life : instant::max();
    if (other && may_overlap)
        this->overlapped = now;
}

std::string_view quota_client::accountant() const
{
    if (this->current >= this->candidates.size())
        return {};
    return this->candidates[this->current].name;
}

void quota_client::say(
    candidate& to, std::vector<quota_draw> draws, instant now)
{
    quota_ask ask;
    ask.router = this->settings.router;
    if (to.answered)
        ask.heard_ago_us = duration(now - *to.answered).count();
    if (to.counts_from != instant::max())
        ask.counts_in_us =
            std::max(duration(to.counts_from - now), duration::zero()).count();
    ask.draws = std::move(draws);
    ask.returns = std::exchange(this->returns, {});
    to.told = now;
    if (!to.asked)
        to.asked = now;
    this->due_by(now + this->settings.next_accountant);
    this->messages.push_back({to.name, std::move(ask)});
}

void quota_client::give_back(
    std::string_view organisation, double amount, instant now)
{
    const bool by_itself = this->settings.way == quota_way::own_share;
    if (!by_itself && !this->is_alone(now))
    {
        if (this->returns.size() < most_returns)
            this->returns.push_back({std::string(organisation), amount});
        return;
    }
    const auto limit = this->limits.find(organisation);
    if (limit != this->limits.end())
        this->own[limit->first].put_back(
            amount, this->own_terms(limit->second, now));
}

void quota_client::heard(const quota_answer& answer, instant now)
{
    const auto from = std::ranges::find(
        this->candidates, answer.accountant, &candidate::name);
    if (from == this->candidates.end())
        return;
    const bool is_new =
        !from->answered ||
        now - *from->answered > contact_life(this->settings.bounds);
    from->answered = now;
    from->asked.reset();
    from->is_silent = false;
    const bool begins = is_new || from->counts_from == instant::max();
    if (begins)
        this->let_count(*from, now);
    this->choose(now);
    // An accountant counts this router only when it knows that its answers
    // arrive.
    if (begins && from->counts_from != instant::max())
        this->say(*from, {}, now);
    const bool is_final =
        answer.accountant == this->accountant() && this->is_settled(*from, now);
    for (const quota_result& result : answer.results)
    {
        const auto found = this->waiting.find(result.id);
        if (result.is_allowed || is_final)
            this->settle(result);
        else if (found != this->waiting.end())
            found->second.refused = result;
    }
}

void quota_client::settle(const quota_result& result)
{
    const auto found = this->waiting.find(result.id);
    if (found == this->waiting.end())
        return;
    const duration longest = result.is_allowed
                                 ? duration(found->second.draw.longest_wait_us)
                                 : longest_retry;
    const duration wait =
        std::clamp(duration(result.wait_us), duration::zero(), longest);
    this->waiting.erase(found);
    quota_decision made{result.id, result.is_allowed, {}, {}};
    (result.is_allowed ? made.wait : made.retry_after) = wait;
    this->decisions.push_back(made);
}

void quota_client::tick(instant now)
{
    const bool stood_still =
        this->ticked != instant() && now - this->due > usual_lateness;
    this->ticked = now;
    this->due = now + contact_life(this->settings.bounds) / words_per_contact;
    this->fill_own(now);
    if (this->settings.way == quota_way::own_share)
        return;
    if (stood_still)
    {
        for (candidate& one : this->candidates)
            one.asked.reset();
    }
    this->find_silent(now);
    this->choose(now);
    this->repeat_draws(now);
    this->say_alive(now);
}

void quota_client::find_silent(instant now)
{
    for (candidate& one : this->candidates)
    {
        if (!one.asked)
            continue;
        if (now - *one.asked >= this->settings.next_accountant)
        {
            one.is_silent = true;
            one.asked.reset();
        }
        else
            this->due_by(*one.asked + this->settings.next_accountant);
    }
}

void quota_client::repeat_draws(instant now)
{
    std::vector<std::uint64_t> given_up;
    std::vector<quota_draw> again;
    for (auto& [id, one] : this->waiting)
    {
        if (now - one.asked >= this->settings.give_up)
        {
            given_up.push_back(id);
            continue;
        }
        if (now - one.sent >= this->settings.resend)
        {
            one.sent = now;
            again.push_back(one.draw);
        }
        this->due_by(one.sent + this->settings.resend);
    }
    for (const std::uint64_t id : given_up)
    {
        const auto refused = this->waiting.at(id).refused;
        if (refused)
            this->settle(*refused);
        else
            this->use_own_part(id, now);
    }
    if (!again.empty() && this->current < this->candidates.size())
        this->say(this->candidates[this->current], std::move(again), now);
}

void quota_client::say_alive(instant now)
{
    const duration pause =
        contact_life(this->settings.bounds) / words_per_contact;
    // Preferred accountants that were silent may answer again.
    for (std::size_t i = 0; i < this->candidates.size(); ++i)
    {
        candidate& one = this->candidates[i];
        const duration rest = one.is_silent ? probe_pause : pause;
        if (now - one.told >= rest)
            this->say(one, {}, now);
        this->due_by(one.told + rest);
        if (i == this->current)
            break;
    }
}

void quota_client::due_by(instant when)
{
    this->due = std::min(this->due, when);
}

std::vector<quota_message> quota_client::take_messages()
{
    return std::exchange(this->messages, {});
}

std::vector<quota_decision> quota_client::take_decisions()
{
    return std::exchange(this->decisions, {});
}

} // namespace roseworks

#include "core/quota/quota_client.hpp"

#include "core/quota/hedge_limits.hpp"
#include "core/quota/retry_limits.hpp"
#include "core/quota/urgency_class.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

/// Interval between messages to an accountant that doesn't answer.
constexpr duration probe_interval = std::chrono::milliseconds(100);

/// A tick that is later than this shows that this process was suspended.
/// Missing answers are then no sign of an accountant's failure.
constexpr duration max_tick_delay = std::chrono::milliseconds(30);

/// Returns that wait for the next message; more are dropped.
constexpr std::size_t max_pending_returns = 64;

/// Request counts in one message, so that it fits a datagram. An account above
/// this number is limited as if it had no requests.
constexpr std::size_t max_request_counts = 16;

/// Interval between repeats of a draw that waits at the accountant.
constexpr duration queued_resend_interval = std::chrono::milliseconds(100);

/// Interval between repeats of a refused draw that can wait. The accountant
/// recognises a repeat within a second.
constexpr duration held_resend_interval = std::chrono::milliseconds(250);

/// Shorter waits still get two repeats.
constexpr int repeats_in_wait = 2;

/// Refused draws that wait at once, which bounds the messages about them.
constexpr std::size_t max_held_draws = 256;

/// Repeated draws in one message, so that it fits a datagram.
constexpr std::size_t max_resent_draws = 24;

/// A draw that can wait does so for its objective divided by this.
constexpr int hold_divisor = 2;

/// Retry delay after a draw has waited in vain.
constexpr duration place_retry_delay = std::chrono::milliseconds(20);

/// Longest retry delay for a refused caller, as limits and shares change.
constexpr duration max_retry_after = std::chrono::seconds(5);

/// Messages per contact timeout: a contact survives the loss of two.
constexpr int messages_per_timeout = 3;

/// @return How long a draw asks again after a refusal; 0: not at all.
duration hold_time(const draw_order& order, duration max_wait)
{
    if (order.urgency_class == urgency::urgent)
        return duration::zero();
    if (order.urgency_class < urgency::deferrable)
        return max_wait;
    return std::max(max_wait, duration(order.objective_in_us / hold_divisor));
}

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

quota_client::quota_client(options config)
    : settings(std::move(config))
    , last_id(this->settings.seed)
{
    constexpr decision_method methods[] = {
        &quota_client::ask_accountant, &quota_client::decide_locally};
    this->method = methods[static_cast<std::size_t>(this->settings.mode)];
}

void quota_client::set_limits(global_limits all)
{
    this->limits = std::move(all);
    std::erase_if(
        this->local_buckets,
        [this](const auto& entry)
        {
            return !this->limits.contains(entry.first);
        });
    std::erase_if(
        this->places,
        [this](const auto& entry)
        {
            return !this->limits.contains(entry.first);
        });
    std::erase_if(
        this->requests,
        [this](const auto& entry)
        {
            return !this->limits.contains(entry.first);
        });
}

void quota_client::set_accountants(
    std::vector<std::string> names, std::size_t known)
{
    this->router_count = std::max<std::size_t>(known, 1);
    const std::string current_name(this->accountant());
    std::vector<accountant_contact> next;
    for (std::string& name : names)
    {
        const auto before =
            std::ranges::find(this->contacts, name, &accountant_contact::name);
        if (before != this->contacts.end())
            next.push_back(std::move(*before));
        else
            next.emplace_back().name = std::move(name);
    }
    this->contacts = std::move(next);
    // Keep an accountant that answers when the list is updated.
    const auto kept = std::ranges::find(
        this->contacts, current_name, &accountant_contact::name);
    this->current_index =
        static_cast<std::size_t>(kept - this->contacts.begin());
    this->choose_accountant(this->last_tick);
}

std::uint64_t quota_client::draw(
    std::string_view account,
    double amount,
    duration max_wait,
    instant now,
    const draw_order& order)
{
    const std::uint64_t id = ++this->last_id;
    pending_draw added;
    added.draw = {
        id,
        std::string(account),
        amount,
        std::max(max_wait, duration::zero()).count(),
        this->announced_limit(account)};
    added.order = order;
    added.order.id = id;
    added.created_at = now;
    added.hold_until = now + hold_time(order, duration(added.draw.max_wait_us));
    added.last_sent_at = now;
    this->waiting.emplace(id, std::move(added));
    if (is_places_account(account))
    {
        held_places& one = this->places[std::string(account)];
        one.pending_draw = id;
        this->changed(std::string(account), one, now);
    }
    (this->*this->method)(id, now);
    return id;
}

void quota_client::count_request(std::string_view account, instant now)
{
    const auto limit = this->limits.find(account);
    if (limit == this->limits.end() ||
        limit->second.request_window <= duration::zero())
        return;
    this->requests
        .try_emplace(
            std::string(account), sliding_count(limit->second.request_window))
        .first->second.add(now);
}

std::vector<request_count> quota_client::request_counts(instant now) const
{
    std::vector<request_count> counts;
    for (const auto& [account, counted] : this->requests)
    {
        const std::uint32_t in_window = counted.count(now);
        if (in_window != 0 && counts.size() < max_request_counts)
            counts.push_back({account, in_window});
    }
    return counts;
}

double quota_client::announced_limit(std::string_view account) const
{
    const auto limit = this->limits.find(account);
    if (limit == this->limits.end())
        return 0;
    if (is_places_account(account))
        return limit->second.slots;
    return is_server_account(account) ? limit->second.total.per_second : 0;
}

void quota_client::ask_accountant(std::uint64_t id, instant now)
{
    if (this->current_index >= this->contacts.size())
    {
        this->decide_locally(id, now);
        return;
    }
    this->send_query(
        this->contacts[this->current_index], {this->waiting.at(id).draw}, now);
    this->schedule_by(now + this->settings.resend_interval);
}

void quota_client::decide_locally(std::uint64_t id, instant now)
{
    const auto found = this->waiting.find(id);
    const quota_draw draw = std::move(found->second.draw);
    this->waiting.erase(found);
    // A service that isn't configured any more gets no retries.
    quota_decision decision{id, !is_retry_account(draw.account), {}, {}};
    const auto limit = this->limits.find(draw.account);
    // The sum of hedges is only known to an accountant.
    if (limit != this->limits.end() && !is_hedge_account(draw.account))
    {
        this->refill_local_buckets(now);
        const usage_limit bucket_limit =
            this->local_limit(limit->first, limit->second, now);
        token_bucket& bucket = this->local_buckets[draw.account];
        decision.retry_after = std::clamp(
            bucket.time_until(draw.amount, bucket_limit),
            this->settings.decision_timeout,
            max_retry_after);
        // A request above this router's burst could pass at every router.
        const auto wait =
            draw.amount > bucket_limit.burst
                ? std::nullopt
                : bucket.take(
                      draw.amount, duration(draw.max_wait_us), bucket_limit);
        decision.is_allowed = wait.has_value();
        decision.wait = wait.value_or(duration::zero());
    }
    this->decided(draw, decision.is_allowed, now);
    this->decisions.push_back(decision);
}

double quota_client::own_fraction() const
{
    if (this->router_count == 0)
        return 0;
    return 1.0 / static_cast<double>(this->router_count);
}

usage_limit quota_client::local_limit(
    const std::string& account, const global_limit& limit, instant now) const
{
    /// Fractions of the slack. With accountants, the slack bucket may refill
    /// once per window, so it gives at most twice its size in any window. With
    /// local shares only, the slack never refills and is used once.
    constexpr double slack_use_with_accountant = 0.5;
    constexpr double slack_use_without = 0.95;
    const bool uses_local_shares =
        this->settings.mode == quota_mode::local_share;
    const double fraction = this->own_fraction();
    const double slack =
        limit.slack * fraction *
        (uses_local_shares ? slack_use_without : slack_use_with_accountant);
    usage_limit bucket_limit = share_of(limit.total, fraction);
    bucket_limit.burst = std::max(bucket_limit.burst, limit.min_burst) + slack;
    if (!uses_local_shares && !this->has_no_accountant(now))
        return {slack / seconds(this->settings.bounds.window), slack};
    const auto counted = this->requests.find(account);
    if (counted == this->requests.end())
        return bucket_limit;
    return sum_of(
        bucket_limit, share_of(limit.per_request, counted->second.count(now)));
}

void quota_client::refill_local_buckets(instant now)
{
    if (this->last_local_refill == instant())
        // Earlier usage isn't known, so buckets start empty.
        this->last_local_refill = now;
    const duration elapsed = now - this->last_local_refill;
    this->last_local_refill = now;
    for (const auto& [name, limit] : this->limits)
        this->local_buckets[name].refill(
            elapsed, this->local_limit(name, limit, now));
}

bool quota_client::has_no_accountant(instant now) const
{
    const duration timeout = contact_timeout(this->settings.bounds);
    return std::ranges::none_of(
        this->contacts,
        [now, timeout](const accountant_contact& contact)
        {
            return contact.last_reply_at &&
                   now - *contact.last_reply_at <= timeout;
        });
}

bool quota_client::is_ready(
    const accountant_contact& contact, instant now) const
{
    const duration timeout = contact_timeout(this->settings.bounds);
    return !contact.is_unresponsive && contact.last_reply_at &&
           now - *contact.last_reply_at <= timeout &&
           contact.counted_from <= now &&
           now - contact.contact_since >= timeout / 2;
}

void quota_client::choose_accountant(instant now)
{
    const bool has_accountant =
        this->current_index < this->contacts.size() &&
        !this->contacts[this->current_index].is_unresponsive;
    // Switch from an accountant that answers to a preferred one only when that
    // is in contact with the other routers, too: it grants only the share of
    // the routers that report to it.
    for (std::size_t i = 0; i < this->contacts.size(); ++i)
    {
        const accountant_contact& contact = this->contacts[i];
        const bool fits = has_accountant ? this->is_ready(contact, now)
                                         : !contact.is_unresponsive;
        if (i == this->current_index && has_accountant)
            return;
        if (!fits)
            continue;
        this->current_index = i;
        return;
    }
    this->current_index = this->contacts.size();
}

void quota_client::start_contact(accountant_contact& contact, instant now)
{
    const duration timeout = contact_timeout(this->settings.bounds);
    std::optional<instant> other;
    for (const accountant_contact& before : this->contacts)
    {
        const bool counts = &before != &contact && before.last_reply_at &&
                            before.counted_from <= now &&
                            now - *before.last_reply_at <= timeout;
        if (counts)
            other = std::max(other.value_or(instant()), *before.last_reply_at);
    }
    // The tolerated excess covers one double count of a router per window.
    const bool may_overlap =
        !this->last_overlap ||
        now - *this->last_overlap >= this->settings.bounds.window;
    const bool is_current = this->accountant() == contact.name;
    contact.contact_since = now;
    if (!other || may_overlap)
        contact.counted_from = now;
    else
        contact.counted_from = is_current ? *other + timeout : instant::max();
    if (other && may_overlap)
        this->last_overlap = now;
}

std::string_view quota_client::accountant() const
{
    if (this->current_index >= this->contacts.size())
        return {};
    return this->contacts[this->current_index].name;
}

void quota_client::send_query(
    accountant_contact& to, std::vector<quota_draw> draws, instant now)
{
    quota_query query;
    query.router = this->settings.router;
    if (to.last_reply_at)
        query.last_reply_age_us = duration(now - *to.last_reply_at).count();
    if (to.counted_from != instant::max())
        query.counting_delay_us =
            std::max(duration(to.counted_from - now), duration::zero()).count();
    query.orders = this->orders_of(draws, now);
    query.draws = std::move(draws);
    query.returns = std::exchange(this->returns, {});
    query.request_counts = this->request_counts(now);
    query.usages = this->place_usages(now);
    query.run = this->settings.seed;
    query.sequence = ++this->message_count;
    to.last_message_at = now;
    if (!to.unanswered_since)
        to.unanswered_since = now;
    this->schedule_by(now + this->settings.failover_timeout);
    this->messages.push_back({to.name, std::move(query)});
}

std::vector<draw_order>
quota_client::orders_of(std::span<const quota_draw> draws, instant now) const
{
    std::vector<draw_order> orders;
    for (const quota_draw& draw : draws)
    {
        const auto found = this->waiting.find(draw.id);
        draw_order default_order;
        default_order.id = draw.id;
        if (found == this->waiting.end() ||
            found->second.order == default_order)
            continue;
        draw_order order = found->second.order;
        const std::int64_t passed =
            duration(now - found->second.created_at).count();
        if (order.objective_in_us != draw_order::no_objective)
            order.objective_in_us =
                std::max(order.objective_in_us - passed, std::int64_t(0));
        orders.push_back(order);
    }
    return orders;
}

void quota_client::return_tokens(
    std::string_view account, double amount, instant now)
{
    const bool uses_local_shares =
        this->settings.mode == quota_mode::local_share;
    if (!uses_local_shares && !this->has_no_accountant(now))
    {
        if (this->returns.size() < max_pending_returns)
            this->returns.push_back({std::string(account), amount});
        return;
    }
    const auto limit = this->limits.find(account);
    if (limit != this->limits.end())
        this->local_buckets[limit->first].return_tokens(
            amount, this->local_limit(limit->first, limit->second, now));
}

void quota_client::handle_reply(const quota_reply& reply, instant now)
{
    const auto from = std::ranges::find(
        this->contacts, reply.accountant, &accountant_contact::name);
    if (from == this->contacts.end())
        return;
    const bool is_new =
        !from->last_reply_at ||
        now - *from->last_reply_at > contact_timeout(this->settings.bounds);
    from->last_reply_at = now;
    from->unanswered_since.reset();
    from->is_unresponsive = false;
    const bool starts_contact = is_new || from->counted_from == instant::max();
    if (starts_contact)
        this->start_contact(*from, now);
    this->choose_accountant(now);
    // An accountant counts this router only when it knows that its answers
    // arrive.
    if (starts_contact && from->counted_from != instant::max())
        this->send_query(*from, {}, now);
    const bool is_final =
        reply.accountant == this->accountant() && this->is_ready(*from, now);
    for (const quota_result& result : reply.results)
    {
        const auto found = this->waiting.find(result.id);
        const bool is_queued =
            !result.is_allowed && result.wait_us == quota_result::queued;
        if (is_queued && found != this->waiting.end())
            found->second.queued_at = now;
        else if (!result.is_allowed && this->hold(result, now))
            continue;
        else if (result.is_allowed || is_final)
            this->resolve(result, now);
        else if (found != this->waiting.end())
            found->second.provisional_refusal = result;
    }
}

bool quota_client::hold(const quota_result& refusal, instant now)
{
    const auto found = this->waiting.find(refusal.id);
    if (found == this->waiting.end())
        return false;
    pending_draw& entry = found->second;
    if (now >= entry.hold_until)
        return false;
    if (!entry.held_refusal)
    {
        if (this->held_count >= max_held_draws)
            return false;
        ++this->held_count;
    }
    entry.held_refusal = refusal;
    this->schedule_by(entry.last_sent_at + this->ask_interval(entry));
    this->schedule_by(entry.hold_until);
    return true;
}

duration quota_client::ask_interval(const pending_draw& entry) const
{
    if (entry.queued_at)
        return queued_resend_interval;
    if (entry.held_refusal)
        return std::clamp(
            duration(entry.hold_until - entry.created_at) / repeats_in_wait,
            this->settings.resend_interval,
            held_resend_interval);
    return this->settings.resend_interval;
}

void quota_client::resolve(const quota_result& result, instant now)
{
    const auto found = this->waiting.find(result.id);
    if (found == this->waiting.end())
        return;
    const duration max_wait = result.is_allowed
                                  ? duration(found->second.draw.max_wait_us)
                                  : max_retry_after;
    const duration wait =
        std::clamp(duration(result.wait_us), duration::zero(), max_wait);
    this->decided(found->second.draw, result.is_allowed, now);
    this->held_count -= found->second.held_refusal ? 1 : 0;
    this->waiting.erase(found);
    quota_decision decision{result.id, result.is_allowed, {}, {}};
    (result.is_allowed ? decision.wait : decision.retry_after) = wait;
    this->decisions.push_back(decision);
}

void quota_client::tick(instant now)
{
    const bool was_suspended =
        this->last_tick != instant() && now - this->next_due > max_tick_delay;
    this->last_tick = now;
    this->next_due =
        now + contact_timeout(this->settings.bounds) / messages_per_timeout;
    this->refill_local_buckets(now);
    if (this->settings.mode == quota_mode::local_share)
        return;
    if (was_suspended)
    {
        for (accountant_contact& contact : this->contacts)
            contact.unanswered_since.reset();
    }
    this->detect_unresponsive(now);
    this->choose_accountant(now);
    this->resend_draws(now);
    this->send_keepalives(now);
}

void quota_client::detect_unresponsive(instant now)
{
    for (accountant_contact& contact : this->contacts)
    {
        if (!contact.unanswered_since)
            continue;
        if (now - *contact.unanswered_since >= this->settings.failover_timeout)
        {
            contact.is_unresponsive = true;
            contact.unanswered_since.reset();
        }
        else
            this->schedule_by(
                *contact.unanswered_since + this->settings.failover_timeout);
    }
}

void quota_client::resend_draws(instant now)
{
    std::vector<std::uint64_t> timed_out;
    std::vector<quota_draw> resent;
    const bool asks_again = this->is_held_draw_due(now);
    for (auto& [id, entry] : this->waiting)
    {
        if (this->has_timed_out(entry, now))
        {
            timed_out.push_back(id);
            continue;
        }
        const duration interval = this->ask_interval(entry);
        const bool joins = asks_again && entry.held_refusal;
        if (now - entry.last_sent_at >= (joins ? interval / 2 : interval))
        {
            entry.last_sent_at = now;
            if (entry.held_refusal)
                entry.draw.max_wait_us = std::min(
                    entry.draw.max_wait_us,
                    duration(entry.hold_until - now).count());
            resent.push_back(entry.draw);
        }
        this->schedule_by(entry.last_sent_at + interval);
        if (entry.held_refusal)
            this->schedule_by(entry.hold_until);
    }
    for (const std::uint64_t id : timed_out)
    {
        const pending_draw& entry = this->waiting.at(id);
        const auto provisional_refusal =
            entry.held_refusal ? entry.held_refusal : entry.provisional_refusal;
        if (entry.queued_at)
            this->resolve({id, false, place_retry_delay.count()}, now);
        else if (provisional_refusal)
            this->resolve(*provisional_refusal, now);
        else
            this->decide_locally(id, now);
    }
    this->send_again(std::move(resent), now);
}

bool quota_client::is_held_draw_due(instant now) const
{
    return this->held_count > 0 &&
           std::ranges::any_of(
               this->waiting,
               [this, now](const auto& one)
               {
                   const pending_draw& entry = one.second;
                   return entry.held_refusal &&
                          now - entry.last_sent_at >= this->ask_interval(entry);
               });
}

void quota_client::send_again(std::vector<quota_draw> draws, instant now)
{
    if (draws.empty() || this->current_index >= this->contacts.size())
        return;
    accountant_contact& to = this->contacts[this->current_index];
    while (this->held_count > 0 && draws.size() > max_resent_draws)
    {
        const auto first_of_rest = draws.end() - max_resent_draws;
        this->send_query(to, {first_of_rest, draws.end()}, now);
        draws.erase(first_of_rest, draws.end());
    }
    this->send_query(to, std::move(draws), now);
}

bool quota_client::has_timed_out(const pending_draw& entry, instant now) const
{
    const duration waited = now - entry.created_at;
    const bool is_queued =
        entry.queued_at &&
        now - *entry.queued_at < this->settings.decision_timeout;
    if (is_queued)
        return waited >= duration(entry.draw.max_wait_us);
    if (entry.held_refusal)
        return now >= entry.hold_until;
    return waited >= this->settings.decision_timeout;
}

void quota_client::send_keepalives(instant now)
{
    const duration keepalive_interval =
        contact_timeout(this->settings.bounds) / messages_per_timeout;
    // Preferred accountants that were silent may answer again.
    for (std::size_t i = 0; i < this->contacts.size(); ++i)
    {
        accountant_contact& contact = this->contacts[i];
        const duration interval =
            contact.is_unresponsive ? probe_interval : keepalive_interval;
        if (now - contact.last_message_at >= interval)
            this->send_query(contact, {}, now);
        this->schedule_by(contact.last_message_at + interval);
        if (i == this->current_index)
            break;
    }
}

void quota_client::schedule_by(instant when)
{
    this->next_due = std::min(this->next_due, when);
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

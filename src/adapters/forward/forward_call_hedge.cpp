// Sends a late request to a second server beside the first one.
#include "adapters/forward/attempt_run.hpp"
#include "adapters/forward/forward_call.hpp"
#include "adapters/forward/quota_gate.hpp"
#include "core/quota/hedge_limits.hpp"
#include "core/quota/retry_limits.hpp"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace roseworks::forward
{

namespace
{

using end_kind = attempt_result::end;

/// An attempt that this router closed. Its server is examined like that of a
/// caller that left, because the request may have crashed it.
attempt_result closed_attempt()
{
    attempt_result result;
    result.how = end_kind::caller_left;
    return result;
}

} // namespace

/// The attempts of a request that may be hedged, while none has answered.
struct forward_call::hedge_race
{
    hedge_race(
        const asio::any_io_executor& executor, edge::call_inbox& messages)
        : call_messages(messages)
        , timer(std::make_shared<asio::steady_timer>(executor))
        , gate_inbox(std::make_shared<edge::call_inbox>(executor))
    {
        this->call_messages.on_interrupt = [this]
        {
            this->interrupt();
        };
    }

    /// Closes what is still open, also if the call ends by an exception.
    ~hedge_race()
    {
        this->call_messages.on_interrupt = nullptr;
        for (const auto& run : this->runs)
        {
            if (run)
                run->detach();
        }
        this->interrupt();
    }

    hedge_race(const hedge_race&) = delete;
    hedge_race& operator=(const hedge_race&) = delete;

    void interrupt() const
    {
        this->gate_inbox->force_end();
        for (const auto& run : this->runs)
        {
            if (run)
                run->close();
        }
    }

    std::shared_ptr<attempt_run>& run_of(race_side side)
    {
        return this->runs[static_cast<std::size_t>(side)];
    }

    /// Waits until an attempt is settled, or until the given time.
    asio::awaitable<void> wait(duration longest)
    {
        this->timer->expires_after(std::max(longest, duration::zero()));
        co_await this->timer->async_wait(edge::use_awaitable_tuple);
    }

    /// Starts an attempt. It ends a wait when it is settled.
    void start(race_side side, std::shared_ptr<attempt_run> run) const
    {
        const bool is_first = side == race_side::first;
        run->start(
            [timer = this->timer, gate = this->gate_inbox, is_first]
            {
                timer->cancel();
                if (is_first)
                    gate->force_end();
            });
    }

    edge::call_inbox& call_messages;
    std::shared_ptr<asio::steady_timer> timer;
    /// Interrupts the reservations for a hedge that isn't needed any more.
    std::shared_ptr<edge::call_inbox> gate_inbox;
    std::array<std::shared_ptr<attempt_run>, 2> runs;
    /// Attempts that were reported to `order`, or closed.
    std::array<bool, 2> handled{};
    std::optional<attempt_race> order; ///< empty: no hedge was sent
    ticket hedge_ticket;
};

hedge_request forward_call::hedge_properties() const
{
    hedge_request made;
    made.kind = {
        this->route.name, size_class_of(to_view(this->request.body).size())};
    made.service = this->service;
    made.repeatable = this->route.repeatable();
    made.output_begun = this->response.has_begun();
    made.attempts = this->attempts + 1;
    made.max_attempts = this->route.max_attempts;
    const blocked_requests_ptr known = this->context.ports.crashes.blocked();
    const auto is_suspected = [&known](fingerprint subject)
    {
        return known->suspects.contains(subject);
    };
    made.suspected =
        is_suspected(this->content) || this->blocked_for() > duration::zero() ||
        std::ranges::any_of(this->request.prompt_parts, is_suspected);
    return made;
}

std::optional<duration> forward_call::hedge_delay()
{
    if (!this->context.hedges.is_enabled())
        return std::nullopt;
    const hedge_policy::plan plan = this->context.hedges.plan_for(
        this->hedge_properties(), this->context.now());
    if (plan.refused_by == hedge_limit::none)
        return plan.delay;
    // The other limits apply to all requests of a route.
    const bool counts = plan.refused_by == hedge_limit::samples ||
                        plan.refused_by == hedge_limit::suspected;
    if (counts)
        this->refuse_hedge(plan.refused_by);
    return std::nullopt;
}

void forward_call::refuse_hedge(hedge_limit limit)
{
    this->context.metrics.hedges_refused.increment(limit);
}

void forward_call::record_latency(const attempt_result& result)
{
    const bool is_first = !std::exchange(this->latency_recorded, true);
    if (!this->context.hedges.is_enabled() || !is_first ||
        !this->route.repeatable())
        return;
    const instant now = this->context.now();
    // A caller that left early says nothing about the latency.
    const bool was_closed_for_hedge =
        result.how == end_kind::caller_left && !this->inbox->interrupted();
    const bool is_known = this->answer_began ||
                          result.how == end_kind::no_progress ||
                          was_closed_for_hedge;
    if (is_known)
        this->context.hedges.output_began(
            {this->route.name,
             size_class_of(to_view(this->request.body).size())},
            this->answer_began.value_or(now) - this->sent_at,
            now);
}

std::shared_ptr<attempt_run> forward_call::make_run(
    const grant& granted,
    const server_identity& server,
    outgoing_request outgoing)
{
    attempt_run::parameters sent;
    sent.request = std::move(outgoing);
    sent.request_id = this->request.id;
    sent.head_only = this->request.head_only;
    sent.longest_idle = this->context.options.connection_max_idle;
    sent.deadline = this->deadline;
    return std::make_shared<attempt_run>(
        this->context, this->pool, granted, server, std::move(sent));
}

asio::awaitable<attempt_result> forward_call::exchange_hedged(
    const grant& granted,
    const server_identity& server,
    outgoing_request outgoing,
    duration delay)
{
    hedge_race race(this->pool.executor, *this->inbox);
    std::shared_ptr<attempt_run>& first = race.run_of(race_side::first);
    first = this->make_run(granted, server, std::move(outgoing));
    race.start(race_side::first, first);
    const instant due = first->sent_at + delay;
    while (!first->is_settled() && this->context.now() < due)
        co_await race.wait(due - this->context.now());
    if (!first->is_settled())
        co_await this->start_hedge(race);
    const auto last = co_await this->decide_race(race);
    this->use_run(*last);
    this->count_run(race, *last);
    exchange_state state = last->state();
    if (this->inbox->interrupted())
        state = exchange_state::interrupted;
    const attempt_result result = co_await this->finish_exchange(
        last->granted, last->server, last->exchange(), state);
    const bool is_hedge = last == race.run_of(race_side::second);
    if (is_hedge && last->granted.engine)
        this->context.ports.run_ended(
            this->admission_info().target, last->server.instance);
    co_return result;
}

asio::awaitable<void> forward_call::start_hedge(hedge_race& race)
{
    const hedge_limit limit = this->context.hedges.check(
        this->hedge_properties(), true, this->context.now());
    if (limit != hedge_limit::none)
    {
        this->refuse_hedge(limit);
        co_return;
    }
    quota_port& quotas = this->context.ports.quotas;
    const std::string account = hedge_account(this->service);
    const std::string retries = retry_account(this->service);
    const bool in_budget = co_await this->reserve_for_hedge(
        race, account, hedge_limit::shared_budget);
    if (!in_budget)
        co_return;
    const bool in_retries = co_await this->reserve_for_hedge(
        race, retries, hedge_limit::retry_budget);
    if (in_retries && !race.run_of(race_side::first)->is_settled() &&
        !this->inbox->interrupted())
        this->send_hedge(race);
    if (race.order)
        co_return;
    quotas.refund(account, 1);
    if (in_retries)
        quotas.refund(retries, 1);
}

asio::awaitable<bool> forward_call::reserve_for_hedge(
    hedge_race& race, std::string account, hedge_limit limit)
{
    quota_request one;
    one.account = std::move(account);
    one.amount = 1;
    quota_gate gate(this->context.ports.quotas, this->pool.executor);
    const auto decision =
        co_await gate.acquire(std::move(one), *race.gate_inbox);
    if (decision && !decision->is_allowed)
        this->refuse_hedge(limit);
    co_return decision && decision->is_allowed;
}

void forward_call::send_hedge(hedge_race& race)
{
    std::weak_ptr<edge::call_inbox> weak_inbox = this->inbox;
    const auto granted = this->context.ports.dispatch.hedge(
        this->admission_ticket,
        [weak_inbox](const dispatch_port::reply& reply)
        {
            if (const auto live_inbox = weak_inbox.lock())
                live_inbox->post_reply(reply);
        });
    if (!granted)
    {
        this->refuse_hedge(hedge_limit::no_server);
        return;
    }
    const serving_table_ptr table = this->context.ports.table();
    const server_identity* server = table->find_server(granted->address);
    const software_version needed = this->needed_software();
    const bool is_listed = server != nullptr &&
                           server->service == this->service &&
                           (!needed || server->software == needed);
    if (!is_listed)
    {
        this->context.ports.dispatch.abandon(granted->request);
        this->refuse_hedge(hedge_limit::no_server);
        return;
    }
    const instant now = this->context.now();
    race.hedge_ticket = granted->request;
    race.order.emplace(this->route.kind == request_kind::streaming, now);
    race.run_of(race_side::second) =
        this->make_run(*granted, *server, this->outgoing(*server, now));
    if (granted->engine)
        this->context.ports.run_started(
            this->admission_info().target, server->instance);
    this->context.metrics.hedges_sent.increment();
    race.start(race_side::second, race.run_of(race_side::second));
}

asio::awaitable<std::shared_ptr<attempt_run>>
forward_call::decide_race(hedge_race& race)
{
    const std::shared_ptr<attempt_run> first = race.run_of(race_side::first);
    constexpr duration until_settled = std::chrono::hours(1);
    while (!race.order && !first->is_settled())
        co_await race.wait(until_settled);
    if (!race.order)
        co_return first;
    this->update_race(race);
    while (!race.order->winner() && !race.order->has_failed())
    {
        const auto end = race.order->overlap_ends();
        co_await race.wait(end ? *end - this->context.now() : until_settled);
        this->update_race(race);
    }
    const auto winner = race.order->winner();
    // Without a winner, the attempt that ended last stands for both.
    const race_side last =
        winner ? *winner
               : (race.handled[0] ? race_side::second : race_side::first);
    if (last == race_side::second)
    {
        this->admission_ticket = race.hedge_ticket;
        this->context.metrics.hedges.increment(
            winner ? hedge_end::won : hedge_end::failed);
    }
    co_return race.run_of(last);
}

void forward_call::update_race(hedge_race& race)
{
    const instant now = this->context.now();
    race.order->tick(now);
    for (const race_side side : {race_side::first, race_side::second})
    {
        attempt_run& run = *race.run_of(side);
        if (!run.is_settled() || !race.order->is_running(side))
            continue;
        if (run.has_output() && !this->inbox->interrupted())
            race.order->output_began(side, now);
        else
            race.order->ended(side);
        const bool other_goes_on =
            !race.order->has_failed() && !race.order->winner();
        if (other_goes_on)
            this->end_failed(race, side);
    }
    for (const race_side side : {race_side::first, race_side::second})
    {
        if (race.order->must_close(side))
            this->end_closed(race, side);
    }
}

void forward_call::use_run(attempt_run& run)
{
    this->sent_at = run.sent_at;
    this->last_server = run.server.instance;
    this->last_software = run.server.software;
    this->last_life = run.server.life;
    this->last_relay = run.exchange().relay();
}

void forward_call::count_run(const hedge_race& race, const attempt_run& run)
{
    const bool is_hedge = race.runs[1].get() == &run;
    const bool was_sent = run.may_be_sent();
    this->sends += was_sent ? 1 : 0;
    if (!is_hedge)
    {
        this->retry_reserved = this->retry_reserved && !was_sent;
        return;
    }
    if (was_sent)
        return;
    this->context.ports.quotas.refund(hedge_account(this->service), 1);
    this->context.ports.quotas.refund(retry_account(this->service), 1);
}

void forward_call::end_failed(hedge_race& race, race_side side)
{
    attempt_run& run = *race.run_of(side);
    const bool is_hedge = side == race_side::second;
    race.handled[static_cast<std::size_t>(side)] = true;
    this->use_run(run);
    this->count_run(race, run);
    const auto failed =
        this->failure_of(run.granted, run.server, run.exchange(), run.state());
    const attempt_result result = failed.value_or(closed_attempt());
    if (!is_hedge)
        this->record_latency(result);
    const bool ran = may_have_reached_a_run(result.how);
    this->may_have_run = this->may_have_run || ran;
    this->attempts += ran ? 1 : 0;
    if (run.granted.engine && result.how == end_kind::refused_not_run &&
        !this->is_last_paused)
        this->context.ports.run_refused(
            this->admission_info().target, run.server.instance);
    if (is_hedge && run.granted.engine)
        this->context.ports.run_ended(
            this->admission_info().target, run.server.instance);
    if (is_hedge)
        this->context.metrics.hedges.increment(hedge_end::failed);
    const ticket ended = is_hedge ? race.hedge_ticket : this->admission_ticket;
    const dispatcher::finish finish =
        this->context.ports.dispatch.finished(ended, result);
    if (!finish.final_answer)
        this->context.ports.dispatch.abandon(ended);
}

void forward_call::end_closed(hedge_race& race, race_side side)
{
    bool& handled = race.handled[static_cast<std::size_t>(side)];
    if (std::exchange(handled, true))
        return;
    attempt_run& run = *race.run_of(side);
    const bool is_hedge = side == race_side::second;
    run.detach();
    run.close();
    this->use_run(run);
    const bool has_response =
        run.is_settled() && run.state() == exchange_state::ok;
    if (has_response)
        this->report_notice(
            run.granted, run.server, run.exchange(), std::nullopt);
    // A lower bound: without it, the known latencies would only be those of
    // attempts that were in time.
    if (!is_hedge)
        this->record_latency(closed_attempt());
    else
        this->context.metrics.hedges.increment(hedge_end::lost);
    this->count_run(race, run);
    if (run.may_be_sent())
    {
        this->report_run(run.server, run.granted.address, closed_attempt());
        this->context.metrics.hedge_tokens.add(
            this->request.tokens.value_or(0));
        this->may_have_run = true;
        ++this->attempts;
    }
    if (is_hedge && run.granted.engine)
        this->context.ports.run_ended(
            this->admission_info().target, run.server.instance);
    this->context.ports.dispatch.abandon(
        is_hedge ? race.hedge_ticket : this->admission_ticket);
}

} // namespace roseworks::forward

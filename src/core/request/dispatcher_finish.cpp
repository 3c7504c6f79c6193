#include "core/request/dispatcher_impl.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace roseworks
{

namespace
{

using end_kind = attempt_result::end;

/// A request under which so many backend servers broke isn't sent again.
constexpr std::uint32_t crash_limit = 2;

constexpr duration block_retry = std::chrono::seconds(60);

bool is_not_run(end_kind how)
{
    return how == end_kind::refused_not_run || how == end_kind::not_sent;
}

/// @return Whether an answer that was coming reached the request's own
///         deadline: that says nothing against its backend server.
bool ran_out_of_time(
    const detail::queue_item& item, const attempt_result& result, instant now)
{
    return result.how == end_kind::no_progress && result.answer_started &&
           now >= item.deadline;
}

refusal_reason reason_of(const attempt_result& result)
{
    if (result.answer_started)
    {
        return refusal_reason::stream_cut;
    }
    return result.how == end_kind::no_progress ? refusal_reason::backend_timeout
                                               : refusal_reason::backend_failed;
}

} // namespace

dispatcher::finish
dispatcher::impl::finished(ticket id, const attempt_result& result, instant now)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end() || found->second.at != stage::granted)
    {
        // Nothing runs for it here: nothing may be promised either.
        assert(found == this->requests.end());
        return {true, verdict::may_have_run, refusal_reason::none};
    }

    pending& request = found->second;
    detail::target& where = *request.where;
    detail::backend* used = where.find(request.replica, request.address);
    finish outcome;
    if (result.how == end_kind::answered)
    {
        if (used != nullptr)
        {
            used->health.succeeded(now);
        }
        if (!request.resumed)
        {
            where.estimator.served(
                result.total,
                result.first_byte,
                request.info.prompt_bytes,
                result.tokens,
                now);
        }
        where.breaker.close();
        where.budget.deposit(now);
        where.resume_budget.deposit(now);
        this->release_slot(request);
        outcome = this->end(id, {});
    }
    else if (result.how == end_kind::caller_left)
    {
        this->release_slot(request);
        outcome =
            this->end(id, {true, verdict::may_have_run, refusal_reason::none});
    }
    else
    {
        // A run that was told to stop says nothing against its server.
        const bool stopped = result.how == end_kind::stopped ||
                             ran_out_of_time(request.item, result, now);
        if (used != nullptr && !stopped)
        {
            used->health.failed(now);
        }
        outcome = this->failed(request, result, now);
    }

    where.last_used = now;
    this->pump(where, now);
    this->ask_for_replicas(where, now);
    return outcome;
}

void dispatcher::impl::note_crash(
    pending& request, engine_id engine, bool resumable)
{
    // A stream that got this far is the least likely cause, and all streams of
    // a dead server would wait for each other if each had to run alone.
    request.suspect = request.suspect || !resumable;
    // A kept connection to a server that died breaks, too: one crash, not two.
    if (request.crashes.broke(engine, request.address))
    {
        this->commands.emplace_back(crash_seen{
            request.info.content, engine, request.address, request.item.id});
    }
}

void dispatcher::impl::note_failure(
    pending& request, const attempt_result& result)
{
    if (result.how == end_kind::broken && request.info.content)
    {
        const detail::backend* used =
            request.where->find(request.replica, request.address);
        const engine_id engine =
            used == nullptr ? engine_id{} : used->where.engine;
        this->note_crash(request, engine, result.resumable);
    }
    request.failure = reason_of(result);
    request.resumed = request.resumed || result.resumable;
    if (result.resumable && result.tokens > 0)
    {
        // The caller got further: what was tried before says little now.
        request.fruitless = 1;
        request.tried.clear();
    }
}

bool dispatcher::impl::may_retry(
    const pending& request, const attempt_result& result) const
{
    const bool not_run = is_not_run(result.how) && !result.answer_started;
    const bool whole_or_resumed = !result.answer_started || result.resumable;
    const bool too_many_crashes =
        request.crashes.total() >= crash_limit && request.crashes.settled();
    return whole_or_resumed && (not_run || request.info.repeatable) &&
           request.fruitless < this->settings.max_attempts && !too_many_crashes;
}

dispatcher::finish dispatcher::impl::failed(
    pending& request, const attempt_result& result, instant now)
{
    const ticket id = request.item.id;
    const bool not_run = is_not_run(result.how) && !result.answer_started;
    request.may_have_run = request.may_have_run || !not_run;
    this->note_failure(request, result);
    this->release_slot(request);

    const verdict outcome =
        request.may_have_run ? verdict::may_have_run : verdict::not_run;
    const bool another_try = this->may_retry(request, result);
    const bool recoverable =
        result.how == end_kind::not_sent && this->may_recover(request, now);
    const bool given_up = !another_try || request.where->breaker.is_open();
    if (recoverable && given_up)
    {
        return this->wait_for_recovery(request, now);
    }
    if (!another_try)
    {
        const duration back = this->expected_back(request, now);
        return this->end(id, {true, outcome, request.failure, back});
    }
    if (this->draining)
    {
        return this->end(id, {true, outcome, refusal_reason::draining});
    }
    if (now >= request.item.deadline)
    {
        return this->end(id, {true, outcome, refusal_reason::deadline});
    }
    if (request.info.content && this->table->is_blocked(request.info.content))
    {
        return this->end(
            id, {true, outcome, refusal_reason::blocked, block_retry});
    }
    const bool spares =
        result.resumable && request.item.level != priority::urgent;
    detail::retry_budget& budget =
        result.resumable ? request.where->resume_budget : request.where->budget;
    if (!budget.withdraw(now, spares))
    {
        if (recoverable)
        {
            return this->wait_for_recovery(request, now);
        }
        const duration back = this->expected_back(request, now);
        return this->end(
            id, {true, outcome, refusal_reason::retries_exhausted, back});
    }

    request.tried.push_back(request.server);
    request.awaits_findings = request.crashes.total() >= crash_limit;
    this->enqueue(request);
    this->due_by(
        std::min(request.item.deadline, now + this->settings.demand_interval));
    return {false, outcome, request.failure};
}

bool dispatcher::impl::may_recover(const pending& request, instant now) const
{
    const detail::target& where = *request.where;
    const bool loadable = !where.is_service && where.max_replicas != 0 &&
                          this->table->log_available();
    if (!loadable || request.suspect || this->draining ||
        now >= request.item.deadline)
    {
        return false;
    }
    const auto usable = detail::balancer::usable(where.backends, now);
    const auto is_untried = [&](std::size_t i)
    {
        const detail::server_key server = where.backends[i].server;
        return server != request.server &&
               std::ranges::find(request.tried, server) == request.tried.end();
    };
    return std::ranges::none_of(usable, is_untried);
}

dispatcher::finish
dispatcher::impl::wait_for_recovery(pending& request, instant now)
{
    detail::target& where = *request.where;
    const refusal_reason reason = request.failure;
    if (where.breaker.failed(now))
    {
        // No attempt reached a server: as many as at first may follow.
        request.fruitless = 0;
        request.tried.clear();
        this->enqueue(request);
        this->due_by(
            std::min(request.item.deadline, *where.breaker.opens_at()));
        const verdict outcome =
            request.may_have_run ? verdict::may_have_run : verdict::not_run;
        return {false, outcome, reason};
    }
    const duration back = this->expected_back(request, now);
    this->refuse_all(where, reason, back);
    const verdict outcome =
        request.may_have_run ? verdict::may_have_run : verdict::not_run;
    return this->end(request.item.id, {true, outcome, reason, back});
}

duration dispatcher::impl::expected_back(const pending& request, instant now)
{
    const detail::target& where = *request.where;
    const auto usable = detail::balancer::usable(where.backends, now);
    const auto is_another = [&](std::size_t i)
    {
        return where.backends[i].server != request.server;
    };
    if (std::ranges::any_of(usable, is_another))
    {
        const std::size_t slots = where.slots(usable, false, this->loads, now);
        return this->spread(
            where.estimator.queue_wait(where.waiting(), slots, now));
    }
    // The lone replica has to be loaded again, here or elsewhere.
    const bool loadable = !where.is_service && where.max_replicas != 0;
    return loadable ? this->spread(this->remaining_cold(where, now))
                    : duration::zero();
}

void dispatcher::impl::crash_examined(
    const crash_seen& what, crash_finding finding, instant now)
{
    const auto found = this->requests.find(what.under);
    if (found == this->requests.end())
    {
        return;
    }
    pending& request = found->second;
    if (!request.crashes.examined(what.engine, what.address, finding))
    {
        return;
    }
    const std::uint32_t crashes = request.crashes.total();
    request.suspect = request.suspect && crashes != 0;
    if (!request.awaits_findings)
    {
        return;
    }
    detail::target& where = *request.where;
    if (crashes < crash_limit)
    {
        this->dequeue(request);
        request.awaits_findings = false;
        this->enqueue(request);
    }
    else if (request.crashes.settled())
    {
        this->refuse(
            what.under, request.failure, this->expected_back(request, now));
    }
    this->pump(where, now);
    this->ask_for_replicas(where, now);
}

void dispatcher::impl::abandon(ticket id, instant now)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
    {
        return;
    }
    pending& request = found->second;
    detail::target& where = *request.where;
    if (request.at == stage::granted)
    {
        this->release_slot(request);
    }
    else
    {
        this->dequeue(request);
    }
    this->forget(id);
    this->pump(where, now);
}

void dispatcher::impl::release_slot(pending& request)
{
    detail::target& where = *request.where;
    if (detail::backend* used = where.find(request.replica, request.address))
    {
        --used->in_flight;
    }
    --where.in_flight;
    where.long_in_flight -= request.item.long_prompt ? 1 : 0;
    where.drop_unlisted();

    detail::server_state& server = this->loads.at(request.server);
    --server.own;
    if (server.exclusive == request.item.id)
    {
        server.exclusive = ticket{};
        --where.suspects_running;
        this->shared_server_free = true;
    }
    else if (server.reserved_by && server.own == 0)
    {
        this->shared_server_free = true;
    }
}

dispatcher::finish dispatcher::impl::end(ticket id, finish outcome)
{
    this->forget(id);
    return outcome;
}

void dispatcher::impl::enqueue(pending& request)
{
    detail::target& where = *request.where;
    if (request.suspect || request.awaits_findings)
    {
        request.at = stage::suspect;
        where.suspects.push_back(request.item.id);
    }
    else
    {
        request.at = stage::queued;
        where.queue.push(request.item);
    }
    ++this->queued_count;
    this->queued_bytes[static_cast<std::size_t>(request.item.level)] +=
        request.info.held_bytes;
    this->note_waiting(where);
}

void dispatcher::impl::dequeue(pending& request)
{
    detail::target& where = *request.where;
    if (request.at == stage::suspect)
    {
        if (request.hold)
        {
            this->release_hold(request.item.id);
            this->shared_server_free = true;
        }
        std::erase(where.suspects, request.item.id);
    }
    else
    {
        where.queue.erase(request.item.id);
    }
    --this->queued_count;
    this->queued_bytes[static_cast<std::size_t>(request.item.level)] -=
        request.info.held_bytes;
    this->note_waiting(where);
}

void dispatcher::impl::forget(ticket id)
{
    const auto found = this->requests.find(id);
    assert(found != this->requests.end());
    this->held_bytes -= found->second.info.held_bytes;
    this->limits.release(found->second.item.caller);
    this->requests.erase(found);
}

void dispatcher::impl::refuse(
    ticket id, refusal_reason reason, duration retry_after)
{
    pending& request = this->requests.at(id);
    const verdict outcome =
        request.may_have_run ? verdict::may_have_run : verdict::not_run;
    this->dequeue(request);
    this->forget(id);
    this->commands.emplace_back(refusal{id, reason, outcome, retry_after});
}

std::vector<dispatch_command> dispatcher::impl::take_commands()
{
    return std::exchange(this->commands, {});
}

} // namespace roseworks

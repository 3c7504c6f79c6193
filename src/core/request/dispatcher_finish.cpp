#include "core/request/dispatcher_impl.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace roseworks
{

namespace
{

using end_kind = attempt_result::end;

/// A request with this many crashes, as counted by `crash_count`, is not sent
/// again.
constexpr std::uint32_t max_crashes = 2;

constexpr duration blocked_retry_after = std::chrono::seconds(60);

bool is_not_run(end_kind how)
{
    return how == end_kind::refused_not_run || how == end_kind::not_sent ||
           how == end_kind::withheld;
}

/// @return Whether an answer that had started was cut by the request's own
///         deadline. This is not a failure of the backend server.
bool cut_by_own_deadline(
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
    if (found == this->requests.end() ||
        found->second.current_stage != stage::granted)
    {
        // No attempt of this request is known here, so `not_run` can't be
        // guaranteed.
        assert(found == this->requests.end());
        return {true, verdict::may_have_run, refusal_reason::none};
    }

    pending& request = found->second;
    detail::target& destination = *request.destination;
    detail::backend* used = destination.find(request.replica, request.address);
    finish outcome;
    if (result.how == end_kind::answered)
    {
        if (used != nullptr)
        {
            used->health.succeeded(now);
        }
        if (!request.resumed)
        {
            destination.estimator.record_answer(
                result.total,
                result.first_byte,
                request.info.prompt_bytes,
                result.tokens,
                now);
        }
        destination.breaker.close();
        destination.budgets->retries.deposit(now);
        destination.budgets->resumes.deposit(now);
        this->release_slot(request);
        outcome = this->finalize(id, {});
    }
    else if (result.how == end_kind::caller_left)
    {
        this->release_slot(request);
        outcome = this->finalize(
            id, {true, verdict::may_have_run, refusal_reason::none});
    }
    else
    {
        // A run that was cancelled, never began, or was cut by its own
        // deadline, is not a failure of its server.
        const bool stopped = result.how == end_kind::stopped ||
                             result.how == end_kind::withheld ||
                             cut_by_own_deadline(request.item, result, now);
        if (used != nullptr && !stopped)
        {
            used->health.failed(now);
        }
        outcome = this->attempt_failed(request, result, now);
    }

    destination.last_used = now;
    this->pass_on_places(now);
    this->grant_waiting(destination, now);
    this->request_replicas(destination, now);
    const auto retried = this->requests.find(id);
    if (retried != this->requests.end() &&
        retried->second.destination != &destination)
    {
        detail::target& next_destination = *retried->second.destination;
        this->grant_waiting(next_destination, now);
        this->request_replicas(next_destination, now);
    }
    return outcome;
}

void dispatcher::impl::record_crash(
    pending& request, engine_id engine, bool resumable)
{
    // A request whose stream can be resumed is the least likely cause of the
    // crash. Also, if all streams of a dead server had to run alone, they would
    // wait for each other.
    request.suspect = request.suspect || !resumable;
    // A reused connection to a server that died breaks as well. Both breaks
    // are one crash.
    if (request.crashes.record_break(engine, request.address))
    {
        this->commands.emplace_back(crash_seen{
            request.info.content, engine, request.address, request.item.id});
    }
}

void dispatcher::impl::update_after_failure(
    pending& request, const attempt_result& result)
{
    if (result.how == end_kind::broken && request.info.content)
    {
        const detail::backend* used =
            request.destination->find(request.replica, request.address);
        const engine_id engine =
            used == nullptr ? engine_id{} : used->where.engine;
        this->record_crash(request, engine, result.resumable);
    }
    if (result.how == end_kind::withheld)
    {
        // No attempt was made. The server isn't granted while it takes none.
        --request.attempts_without_progress;
        return;
    }
    request.last_failure = reason_of(result);
    request.resumed = request.resumed || result.resumable;
    if (result.resumable && result.tokens > 0)
    {
        // The caller received new tokens, so earlier attempts no longer count.
        request.attempts_without_progress = 1;
        request.tried.clear();
    }
}

bool dispatcher::impl::may_retry(
    const pending& request, const attempt_result& result) const
{
    const bool not_run = is_not_run(result.how) && !result.answer_started;
    const bool can_continue = !result.answer_started || result.resumable;
    const bool too_many_crashes = request.crashes.total() >= max_crashes &&
                                  request.crashes.all_examined();
    return can_continue && (not_run || request.info.repeatable) &&
           request.attempts_without_progress < this->settings.max_attempts &&
           !too_many_crashes;
}

dispatcher::finish dispatcher::impl::attempt_failed(
    pending& request, const attempt_result& result, instant now)
{
    const ticket id = request.item.id;
    const bool not_run = is_not_run(result.how) && !result.answer_started;
    request.may_have_run = request.may_have_run || !not_run;
    this->update_after_failure(request, result);
    this->release_slot(request, result.no_room);

    const verdict outcome =
        request.may_have_run ? verdict::may_have_run : verdict::not_run;
    const bool retry = this->may_retry(request, result);
    const bool recoverable =
        result.how == end_kind::not_sent && this->may_recover(request, now);
    const bool cannot_retry = !retry || request.destination->breaker.is_open();
    if (recoverable && cannot_retry)
    {
        return this->wait_for_recovery(request, now);
    }
    if (!retry)
    {
        const duration retry_delay =
            this->retry_delay_after_failure(request, now);
        return this->finalize(
            id, {true, outcome, request.last_failure, retry_delay});
    }
    if (this->draining)
    {
        return this->finalize(id, {true, outcome, refusal_reason::draining});
    }
    if (now >= request.item.deadline)
    {
        return this->finalize(id, {true, outcome, refusal_reason::deadline});
    }
    if (request.info.content && this->table->is_blocked(request.info.content))
    {
        return this->finalize(
            id, {true, outcome, refusal_reason::blocked, blocked_retry_after});
    }
    if (const auto wait = this->hopeless_wait(request, now))
    {
        return this->finalize(
            id,
            {true, outcome, refusal_reason::deadline, this->add_jitter(*wait)});
    }
    detail::retry_budgets& budgets = *request.destination->budgets;
    detail::retry_budget& budget =
        result.resumable ? budgets.resumes : budgets.retries;
    if (result.resumable && !this->need_software(request, result.software, now))
    {
        return this->finalize(id, {true, outcome, request.last_failure});
    }
    const bool leave_reserve =
        result.resumable && request.item.level != priority::urgent;
    // An attempt that sent nothing has loaded no server.
    const bool was_sent =
        result.how != end_kind::not_sent && result.how != end_kind::withheld;
    if (was_sent && !budget.withdraw(now, leave_reserve))
    {
        const duration retry_delay =
            this->retry_delay_after_failure(request, now);
        return this->finalize(
            id,
            {true, outcome, refusal_reason::retries_exhausted, retry_delay});
    }

    if (result.how != end_kind::withheld)
    {
        request.tried.push_back(request.server);
    }
    request.awaits_crash_findings = request.crashes.total() >= max_crashes;
    this->enqueue(request);
    this->schedule_tick_for_queued(
        std::min(request.item.deadline, now + this->settings.demand_interval));
    return {false, outcome, request.last_failure};
}

std::optional<duration>
dispatcher::impl::hopeless_wait(const pending& request, instant now) const
{
    const detail::target& destination = *request.destination;
    const auto usable =
        detail::balancer::usable(destination.backends, this->loads, now);
    const duration wait =
        this->until_a_server_takes_requests(destination, usable, now);
    const bool is_in_time =
        wait == duration::zero() ||
        this->can_meet_deadline(destination, request.item, wait, now);
    return is_in_time ? std::nullopt : std::optional(wait);
}

bool dispatcher::impl::need_software(
    pending& request, software_version software, instant now)
{
    if (software && software != request.info.software)
    {
        request.info.software = software;
        detail::target* const destination =
            this->find_or_add_target(request.info, now);
        if (destination == nullptr)
        {
            return false;
        }
        request.destination = destination;
    }
    if (!request.info.software)
    {
        return true;
    }
    this->refresh(*request.destination, now);
    return this->check_target(*request.destination, now) ==
           refusal_reason::none;
}

bool dispatcher::impl::may_recover(const pending& request, instant now) const
{
    const detail::target& destination = *request.destination;
    const bool loadable = !destination.is_service &&
                          destination.max_replicas != 0 &&
                          this->table->log_available();
    if (!loadable || request.suspect || this->draining ||
        now >= request.item.deadline)
    {
        return false;
    }
    const auto usable =
        detail::balancer::usable(destination.backends, this->loads, now);
    const auto is_untried = [&](std::size_t i)
    {
        const detail::server_key server = destination.backends[i].server;
        return server != request.server &&
               std::ranges::find(request.tried, server) == request.tried.end();
    };
    return std::ranges::none_of(usable, is_untried);
}

dispatcher::finish
dispatcher::impl::wait_for_recovery(pending& request, instant now)
{
    detail::target& destination = *request.destination;
    const refusal_reason reason = request.last_failure;
    if (destination.breaker.record_failure(now))
    {
        // This attempt reached no server, so the attempt limit starts again.
        request.attempts_without_progress = 0;
        request.tried.clear();
        this->enqueue(request);
        this->schedule_tick_for_queued(std::min(
            request.item.deadline, *destination.breaker.next_probe_at()));
        const verdict outcome =
            request.may_have_run ? verdict::may_have_run : verdict::not_run;
        return {false, outcome, reason};
    }
    const duration retry_delay = this->retry_delay_after_failure(request, now);
    this->refuse_all(destination, reason, retry_delay);
    const verdict outcome =
        request.may_have_run ? verdict::may_have_run : verdict::not_run;
    return this->finalize(
        request.item.id, {true, outcome, reason, retry_delay});
}

duration
dispatcher::impl::retry_delay_after_failure(const pending& request, instant now)
{
    const detail::target& destination = *request.destination;
    const auto usable =
        detail::balancer::usable(destination.backends, this->loads, now);
    const auto is_other_server = [&](std::size_t i)
    {
        return destination.backends[i].server != request.server;
    };
    if (std::ranges::any_of(usable, is_other_server))
    {
        const std::size_t slots =
            destination.slots(usable, false, this->loads, now);
        return this->add_jitter(destination.estimator.queue_wait(
            destination.waiting(), slots, now));
    }
    // The only replica must be loaded again, on this engine or another.
    const bool loadable =
        !destination.is_service && destination.max_replicas != 0;
    return loadable
               ? this->add_jitter(this->remaining_cold_start(destination, now))
               : duration::zero();
}

void dispatcher::impl::crash_examined(
    const crash_seen& crash, crash_finding finding, instant now)
{
    const auto found = this->requests.find(crash.under);
    if (found == this->requests.end())
    {
        return;
    }
    pending& request = found->second;
    if (!request.crashes.record_finding(crash.engine, crash.address, finding))
    {
        return;
    }
    const std::uint32_t crashes = request.crashes.total();
    request.suspect = request.suspect && crashes != 0;
    if (!request.awaits_crash_findings)
    {
        return;
    }
    detail::target& destination = *request.destination;
    if (crashes < max_crashes)
    {
        this->dequeue(request);
        request.awaits_crash_findings = false;
        this->enqueue(request);
    }
    else if (request.crashes.all_examined())
    {
        this->refuse(
            crash.under,
            request.last_failure,
            this->retry_delay_after_failure(request, now));
    }
    this->grant_waiting(destination, now);
    this->request_replicas(destination, now);
}

void dispatcher::impl::abandon(ticket id, instant now)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
    {
        return;
    }
    pending& request = found->second;
    detail::target& destination = *request.destination;
    if (request.current_stage == stage::granted)
    {
        this->release_slot(request);
    }
    else
    {
        this->dequeue(request);
    }
    this->forget(id);
    this->pass_on_places(now);
    this->grant_waiting(destination, now);
}

void dispatcher::impl::release_slot(pending& request, bool rejected)
{
    if (std::exchange(request.holds_place, false))
    {
        this->freed_places.push_back(
            {{request.engine, request.address}, rejected});
    }
    detail::target& destination = *request.destination;
    if (detail::backend* used =
            destination.find(request.replica, request.address))
    {
        --used->in_flight;
    }
    --destination.in_flight;
    destination.long_in_flight -= request.item.long_prompt ? 1 : 0;
    destination.drop_unlisted();

    detail::server_state& server = this->loads.at(request.server);
    --server.own;
    if (server.exclusive == request.item.id)
    {
        server.exclusive = ticket{};
        --destination.suspects_running;
        this->shared_server_freed = true;
    }
    else if (server.reserved_by && server.own == 0)
    {
        this->shared_server_freed = true;
    }
}

dispatcher::finish dispatcher::impl::finalize(ticket id, finish outcome)
{
    this->forget(id);
    return outcome;
}

void dispatcher::impl::enqueue(pending& request)
{
    detail::target& destination = *request.destination;
    if (request.suspect || request.awaits_crash_findings)
    {
        request.current_stage = stage::suspect;
        destination.suspects.push_back(request.item.id);
    }
    else
    {
        request.current_stage = stage::queued;
        destination.queue.push(request.item);
    }
    ++this->queued_count;
    this->queued_bytes[static_cast<std::size_t>(request.item.level)] +=
        request.info.held_bytes;
    this->update_waiting_set(destination);
}

void dispatcher::impl::dequeue(pending& request)
{
    detail::target& destination = *request.destination;
    if (request.current_stage == stage::suspect)
    {
        if (request.reserved_server)
        {
            this->release_reservation(request.item.id);
            this->shared_server_freed = true;
        }
        std::erase(destination.suspects, request.item.id);
    }
    else
    {
        destination.queue.erase(request.item.id);
    }
    --this->queued_count;
    this->queued_bytes[static_cast<std::size_t>(request.item.level)] -=
        request.info.held_bytes;
    this->update_waiting_set(destination);
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

#include "adapters/edge/shared_dispatcher.hpp"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>

namespace roseworks::edge
{

namespace asio = boost::asio;

std::shared_ptr<shared_dispatcher> shared_dispatcher::make(
    dispatcher core,
    const asio::any_io_executor& executor,
    const clock_port& clock,
    callbacks notify)
{
    return std::shared_ptr<shared_dispatcher>(new shared_dispatcher(
        std::move(core), executor, clock, std::move(notify)));
}

shared_dispatcher::shared_dispatcher(
    dispatcher owned,
    const asio::any_io_executor& executor,
    const clock_port& time,
    callbacks listener)
    : core(std::move(owned))
    , clock(time)
    , notify(std::move(listener))
    , timer_executor(asio::make_strand(executor))
    , timer(this->timer_executor)
{
}

template <class Step>
void shared_dispatcher::with_lock(Step step)
{
    pending_output what;
    {
        const std::lock_guard lock(this->mutex);
        step(this->clock.now());
        what = this->collect();
    }
    this->deliver(what);
}

ticket shared_dispatcher::submit(request_info info, reply_handler handler)
{
    ticket request;
    this->with_lock(
        [&](instant time)
        {
            request = this->core.submit(std::move(info), time);
            this->waiters.emplace(request, std::move(handler));
        });
    return request;
}

dispatcher::finish
shared_dispatcher::finished(ticket request, const attempt_result& result)
{
    dispatcher::finish outcome;
    this->with_lock(
        [&](instant time)
        {
            outcome = this->core.finished(request, result, time);
            if (outcome.final_answer)
                this->waiters.erase(request);
        });
    return outcome;
}

std::optional<grant>
shared_dispatcher::hedge(ticket running, reply_handler handler)
{
    std::optional<grant> granted;
    this->with_lock(
        [&](instant time)
        {
            granted = this->core.hedge(running, time);
            if (granted)
                this->waiters.emplace(granted->request, std::move(handler));
        });
    return granted;
}

void shared_dispatcher::server_stated(
    const server_place& place,
    std::string_view instance,
    const server_notice& notice)
{
    // A shorter pause, even one of no length, ends no longer one.
    const duration pause = notice.pause.value_or(duration::zero());
    const bool is_pause = pause > duration::zero();
    const bool is_gone = notice.leaving || notice.replaced;
    if (!is_gone && !is_pause && !this->had_pauses)
        return;
    this->with_lock(
        [&](instant time)
        {
            if (is_gone)
                this->core.vm_leaving(instance, true, time);
            if (is_pause)
                this->core.server_paused(place, pause, time);
            else if (!notice.replaced && !notice.is_queueing())
                this->core.server_took_request(place, notice.no_room, time);
        });
    if (is_pause)
        this->had_pauses = true;
}

void shared_dispatcher::pause_ended(const server_place& server)
{
    this->with_lock(
        [&](instant time)
        {
            this->core.server_paused(server, duration::zero(), time);
        });
}

bool shared_dispatcher::takes_requests(
    const server_place& place, std::string_view instance) const
{
    const std::lock_guard lock(this->mutex);
    return this->core.takes_requests(place, instance, this->clock.now());
}

void shared_dispatcher::abandon(ticket request)
{
    this->with_lock(
        [&](instant time)
        {
            // Without an entry the request was refused in the meantime, and
            // the dispatcher has forgotten it.
            if (this->waiters.erase(request) != 0)
                this->core.abandon(request, time);
        });
}

void shared_dispatcher::drain()
{
    this->with_lock(
        [this](instant time)
        {
            this->core.drain(time);
        });
}

void shared_dispatcher::table_changed(routing_table_ptr table)
{
    this->with_lock(
        [&](instant time)
        {
            this->core.table_changed(std::move(table), time);
        });
}

void shared_dispatcher::load_reported(const load_report& report)
{
    this->with_lock(
        [&](instant time)
        {
            this->core.load_reported(report, time);
        });
}

void shared_dispatcher::pace_estimated(
    engine_id engine, std::uint32_t percent, duration lifetime)
{
    this->with_lock(
        [&](instant time)
        {
            this->core.pace_estimated(engine, percent, time + lifetime);
        });
}

void shared_dispatcher::routers_alive(std::size_t count)
{
    this->with_lock(
        [&](instant time)
        {
            this->core.routers_alive(count, time);
        });
}

void shared_dispatcher::cache_reported(const cache_report& report)
{
    this->with_lock(
        [&](instant time)
        {
            this->core.cache_reported(report, time);
        });
}

void shared_dispatcher::vm_leaving(std::string_view vm, bool leaving)
{
    this->with_lock(
        [&](instant time)
        {
            this->core.vm_leaving(vm, leaving, time);
        });
}

void shared_dispatcher::crash_examined(
    const crash_seen& what, crash_finding finding)
{
    this->with_lock(
        [&](instant time)
        {
            this->core.crash_examined(what, finding, time);
        });
}

void shared_dispatcher::server_limited(
    const server_place& server, double per_second)
{
    this->with_lock(
        [&](instant time)
        {
            this->core.server_limited(server, per_second, time);
        });
}

void shared_dispatcher::server_counted(const server_place& server, bool counted)
{
    this->with_lock(
        [&](instant time)
        {
            this->core.server_counted(server, counted, time);
        });
}

void shared_dispatcher::permit_given(const server_place& server, duration wait)
{
    this->with_lock(
        [&](instant time)
        {
            this->core.permit_given(server, time + wait, time);
        });
}

void shared_dispatcher::permit_refused(
    const server_place& server, duration retry_after)
{
    this->with_lock(
        [&](instant time)
        {
            this->core.permit_refused(server, retry_after, time);
        });
}

bool shared_dispatcher::permit_withdrawn(const server_place& server)
{
    const std::lock_guard lock(this->mutex);
    return this->core.permit_withdrawn(server);
}

std::size_t shared_dispatcher::queued() const
{
    const std::lock_guard lock(this->mutex);
    return this->core.queued();
}

std::size_t shared_dispatcher::in_flight() const
{
    const std::lock_guard lock(this->mutex);
    return this->core.in_flight();
}

void shared_dispatcher::stop()
{
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
    asio::post(
        this->timer_executor,
        [self = this->shared_from_this()]
        {
            self->timer.cancel();
        });
}

shared_dispatcher::pending_output shared_dispatcher::collect()
{
    pending_output what;
    for (const dispatch_command& command : this->core.take_commands())
        this->collect(what, command);
    const std::optional<instant> next = this->core.next_tick();
    const bool is_earlier =
        next && (!this->timer_due || *next < *this->timer_due);
    if (is_earlier && !this->stopped)
    {
        this->timer_due = next;
        what.restart_timer_needed = true;
    }
    return what;
}

void shared_dispatcher::collect(
    pending_output& into, const dispatch_command& command)
{
    if (const auto* start = std::get_if<grant>(&command))
        this->collect_reply(into, *start, start->request);
    else if (const auto* refused = std::get_if<refusal>(&command))
        this->collect_reply(into, *refused, refused->request);
    else if (const auto* wanted = std::get_if<demand>(&command))
        into.demands.push_back(*wanted);
    else if (const auto* crash = std::get_if<crash_seen>(&command))
        into.crashes.push_back(*crash);
    else if (const auto* permit = std::get_if<permit_wanted>(&command))
        into.permits.push_back(*permit);
    else if (const auto* place = std::get_if<place_released>(&command))
        into.places.push_back(*place);
    else if (const auto* cancelled = std::get_if<permit_cancelled>(&command))
        into.cancelled_permits.push_back(*cancelled);
}

void shared_dispatcher::collect_reply(
    pending_output& into, const reply& answer, ticket request)
{
    const auto waiter = this->waiters.find(request);
    if (waiter == this->waiters.end())
        return;
    into.replies.emplace_back(waiter->second, answer);
    if (std::holds_alternative<refusal>(answer))
        this->waiters.erase(waiter);
}

void shared_dispatcher::deliver(const pending_output& what)
{
    for (const auto& [handler, answer] : what.replies)
        handler(answer);
    for (const demand& wanted : what.demands)
        this->notify.on_demand(wanted);
    for (const crash_seen& crash : what.crashes)
        this->notify.on_crash(crash);
    for (const permit_wanted& permit : what.permits)
        this->notify.on_permit_wanted(permit);
    for (const place_released& place : what.places)
        this->notify.on_place_released(place);
    for (const permit_cancelled& cancelled : what.cancelled_permits)
        this->notify.on_permit_cancelled(cancelled);
    if (what.restart_timer_needed)
        this->schedule_timer_restart();
}

void shared_dispatcher::schedule_timer_restart()
{
    // `armed` is read on the strand of the timer, because two threads may post
    // in another order than they held the lock.
    asio::post(
        this->timer_executor,
        [weak = this->weak_from_this()]
        {
            if (const auto self = weak.lock())
                self->restart_timer();
        });
}

void shared_dispatcher::restart_timer()
{
    duration wait{};
    {
        const std::lock_guard lock(this->mutex);
        if (!this->timer_due || this->stopped)
            return;
        wait = *this->timer_due - this->clock.now();
    }
    this->timer.expires_after(std::max(wait, duration::zero()));
    this->timer.async_wait(
        [weak = this->weak_from_this()](boost::system::error_code error)
        {
            const auto self = weak.lock();
            if (!error && self)
                self->tick();
        });
}

void shared_dispatcher::tick()
{
    this->with_lock(
        [this](instant time)
        {
            this->timer_due.reset();
            this->core.tick(time);
        });
}

} // namespace roseworks::edge

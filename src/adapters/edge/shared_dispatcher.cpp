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
    notices tell)
{
    return std::shared_ptr<shared_dispatcher>(new shared_dispatcher(
        std::move(core), executor, clock, std::move(tell)));
}

shared_dispatcher::shared_dispatcher(
    dispatcher owned,
    const asio::any_io_executor& executor,
    const clock_port& time,
    notices listener)
    : core(std::move(owned))
    , clock(time)
    , tell(std::move(listener))
    , timer_executor(asio::make_strand(executor))
    , timer(this->timer_executor)
{
}

template <class Step>
void shared_dispatcher::locked(Step step)
{
    handout what;
    {
        const std::lock_guard lock(this->mutex);
        step(this->clock.now());
        what = this->collect();
    }
    this->hand_out(what);
}

ticket shared_dispatcher::submit(request_info info, reply_handler handler)
{
    ticket request;
    this->locked(
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
    this->locked(
        [&](instant time)
        {
            outcome = this->core.finished(request, result, time);
            if (outcome.final_answer)
                this->waiters.erase(request);
        });
    return outcome;
}

void shared_dispatcher::abandon(ticket request)
{
    this->locked(
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
    this->locked(
        [this](instant time)
        {
            this->core.drain(time);
        });
}

void shared_dispatcher::table_changed(routing_table_ptr table)
{
    this->locked(
        [&](instant time)
        {
            this->core.table_changed(std::move(table), time);
        });
}

void shared_dispatcher::load_reported(const load_report& report)
{
    this->locked(
        [&](instant time)
        {
            this->core.load_reported(report, time);
        });
}

void shared_dispatcher::routers_alive(std::size_t count)
{
    this->locked(
        [&](instant time)
        {
            this->core.routers_alive(count, time);
        });
}

void shared_dispatcher::cache_reported(const cache_report& report)
{
    this->locked(
        [&](instant time)
        {
            this->core.cache_reported(report, time);
        });
}

void shared_dispatcher::vm_leaving(std::string_view vm, bool leaving)
{
    this->locked(
        [&](instant time)
        {
            this->core.vm_leaving(vm, leaving, time);
        });
}

void shared_dispatcher::crash_examined(
    const crash_seen& what, crash_finding finding)
{
    this->locked(
        [&](instant time)
        {
            this->core.crash_examined(what, finding, time);
        });
}

void shared_dispatcher::server_limited(
    const server_place& server, double per_second)
{
    this->locked(
        [&](instant time)
        {
            this->core.server_limited(server, per_second, time);
        });
}

void shared_dispatcher::permit_given(const server_place& server, duration wait)
{
    this->locked(
        [&](instant time)
        {
            this->core.permit_given(server, time + wait, time);
        });
}

void shared_dispatcher::permit_refused(
    const server_place& server, duration retry_after)
{
    this->locked(
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

shared_dispatcher::handout shared_dispatcher::collect()
{
    handout what;
    for (const dispatch_command& command : this->core.take_commands())
        this->collect(what, command);
    const std::optional<instant> next = this->core.next_tick();
    const bool sooner = next && (!this->armed || *next < *this->armed);
    if (sooner && !this->stopped)
    {
        this->armed = next;
        what.rearm = true;
    }
    return what;
}

void shared_dispatcher::collect(handout& into, const dispatch_command& command)
{
    if (const auto* start = std::get_if<grant>(&command))
        this->collect_reply(into, *start, start->request);
    else if (const auto* no = std::get_if<refusal>(&command))
        this->collect_reply(into, *no, no->request);
    else if (const auto* wanted = std::get_if<demand>(&command))
        into.demands.push_back(*wanted);
    else if (const auto* crash = std::get_if<crash_seen>(&command))
        into.crashes.push_back(*crash);
    else if (const auto* permit = std::get_if<permit_wanted>(&command))
        into.permits.push_back(*permit);
}

void shared_dispatcher::collect_reply(
    handout& into, const reply& answer, ticket request)
{
    const auto waiter = this->waiters.find(request);
    if (waiter == this->waiters.end())
        return;
    into.replies.emplace_back(waiter->second, answer);
    if (std::holds_alternative<refusal>(answer))
        this->waiters.erase(waiter);
}

void shared_dispatcher::hand_out(const handout& what)
{
    for (const auto& [handler, answer] : what.replies)
        handler(answer);
    for (const demand& wanted : what.demands)
        this->tell.on_demand(wanted);
    for (const crash_seen& crash : what.crashes)
        this->tell.on_crash(crash);
    for (const permit_wanted& permit : what.permits)
        this->tell.on_permit_wanted(permit);
    if (what.rearm)
        this->arm();
}

void shared_dispatcher::arm()
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
        if (!this->armed || this->stopped)
            return;
        wait = *this->armed - this->clock.now();
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
    this->locked(
        [this](instant time)
        {
            this->armed.reset();
            this->core.tick(time);
        });
}

} // namespace roseworks::edge

#include "core/request/dispatcher_impl.hpp"

#include <roseworks/dispatcher.hpp>

#include <utility>

namespace roseworks
{

dispatcher::dispatcher(options settings)
    : self(std::make_unique<impl>(std::move(settings)))
{
}

dispatcher::~dispatcher() = default;
dispatcher::dispatcher(dispatcher&&) noexcept = default;
dispatcher& dispatcher::operator=(dispatcher&&) noexcept = default;

ticket dispatcher::submit(request_info info, instant now)
{
    return this->self->submit(std::move(info), now);
}

dispatcher::finish
dispatcher::finished(ticket request, const attempt_result& result, instant now)
{
    return this->self->finished(request, result, now);
}

void dispatcher::abandon(ticket request, instant now)
{
    this->self->abandon(request, now);
}

std::optional<grant> dispatcher::hedge(ticket running, instant now)
{
    return this->self->hedge(running, now);
}

void dispatcher::crash_examined(
    const crash_seen& what, crash_finding finding, instant now)
{
    this->self->crash_examined(what, finding, now);
}

void dispatcher::table_changed(routing_table_ptr table, instant now)
{
    this->self->table_changed(std::move(table), now);
}

void dispatcher::load_reported(const load_report& report, instant now)
{
    this->self->load_reported(report, now);
}

void dispatcher::pace_estimated(
    engine_id engine, std::uint32_t percent, instant until)
{
    this->self->pace_estimated(engine, percent, until);
}

void dispatcher::server_limited(
    const server_place& server, double per_second, instant now)
{
    this->self->server_limited(server, per_second, now);
}

void dispatcher::server_counted(
    const server_place& server, bool counted, instant now)
{
    this->self->server_counted(server, counted, now);
}

void dispatcher::permit_given(
    const server_place& server, instant from, instant now)
{
    this->self->permit_given(server, from, now);
}

void dispatcher::permit_refused(
    const server_place& server, duration retry_after, instant now)
{
    this->self->permit_refused(server, retry_after, now);
}

bool dispatcher::permit_withdrawn(const server_place& server)
{
    return this->self->permit_withdrawn(server);
}

void dispatcher::cache_reported(const cache_report& report, instant now)
{
    this->self->cache_reported(report, now);
}

void dispatcher::routers_alive(std::size_t count, instant now)
{
    this->self->routers_alive(count, now);
}

void dispatcher::vm_leaving(std::string_view vm, bool leaving, instant now)
{
    this->self->vm_leaving(vm, leaving, now);
}

void dispatcher::server_paused(
    const server_place& server, duration length, instant now)
{
    this->self->server_paused(server, length, now);
}

void dispatcher::server_took_request(
    const server_place& server, bool rejected, instant now)
{
    this->self->server_took_request(server, rejected, now);
}

bool dispatcher::takes_requests(
    const server_place& server, std::string_view vm, instant now) const
{
    return this->self->takes_requests(server, vm, now);
}

void dispatcher::drain(instant)
{
    this->self->drain();
}

void dispatcher::tick(instant now)
{
    this->self->tick(now);
}

std::vector<dispatch_command> dispatcher::take_commands()
{
    return this->self->take_commands();
}

std::optional<instant> dispatcher::next_tick() const
{
    return this->self->next_tick();
}

std::size_t dispatcher::queued() const
{
    return this->self->queued();
}

std::size_t dispatcher::in_flight() const
{
    return this->self->in_flight();
}

} // namespace roseworks

#include "core/placement/controller_impl.hpp"

#include <utility>

namespace roseworks
{

controller::controller(options settings)
    : self(std::make_unique<impl>(std::move(settings)))
{
}

controller::~controller() = default;
controller::controller(controller&&) noexcept = default;
controller& controller::operator=(controller&&) noexcept = default;

void controller::start(fleet_state state, stamp_ms wall, instant now)
{
    this->self->start(std::move(state), wall, now);
}

void controller::log_read(
    std::span<const log_entry> entries,
    log_offset next,
    stamp_ms wall,
    instant now)
{
    this->self->read(entries, next, wall, now);
}

void controller::log_kept(log_offset first)
{
    this->self->log_kept(first);
}

void controller::log_unreachable(instant now)
{
    this->self->unreachable(now);
}

void controller::append_answered(
    std::uint64_t batch, append_outcome outcome, instant now)
{
    this->self->append_answered(batch, outcome, now);
}

void controller::order_answered(
    std::uint64_t order, order_outcome outcome, instant now)
{
    this->self->order_answered(order, outcome, now);
}

void controller::engine_read(const engine_report& report, instant now)
{
    this->self->engine_read(report, now);
}

void controller::vms_listed(std::span<const vm_entry> vms, instant now)
{
    this->self->vms_listed(vms, now);
}

void controller::peers_changed(std::span<const session_id> alive, instant now)
{
    this->self->peers_changed(alive, now);
}

void controller::visited(const caller_visit& what, instant now)
{
    this->self->visited(what, now);
}

void controller::demanded(const servable_demand& what, instant now)
{
    this->self->demanded(what, now);
}

void controller::used(servable_id servable, instant now, std::uint32_t caller)
{
    this->self->used(servable, now, caller);
}

void controller::claim(const claim_request& asked, instant now)
{
    this->self->claim(asked, now);
}

void controller::close_claim(claim_close what, instant now)
{
    this->self->close_claim(std::move(what), now);
}

void controller::crash_seen(fingerprint request, engine_id engine, instant now)
{
    this->self->crash_seen(request, engine, now);
}

void controller::leave(instant now)
{
    this->self->leave(now);
}

void controller::tick(stamp_ms wall, instant now)
{
    this->self->tick(wall, now);
}

std::vector<control_command> controller::take_commands()
{
    return this->self->take_commands();
}

bool controller::may_send(const engine_order& order, instant now) const
{
    return this->self->may_send(order, now);
}

instant controller::next_tick() const
{
    return this->self->next_tick();
}

const fleet_state& controller::state() const
{
    return this->self->folded_state();
}

bool controller::log_available(instant now) const
{
    return this->self->available(now);
}

bool controller::joined() const
{
    return this->self->joined();
}

session_id controller::session() const
{
    return this->self->session();
}

} // namespace roseworks

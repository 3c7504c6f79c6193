#include "core/membership/membership_impl.hpp"

#include <utility>

namespace roseworks
{

membership::membership(options settings)
    : self(std::make_unique<impl>(settings))
{
}

membership::~membership() = default;
membership::membership(membership&&) noexcept = default;
membership& membership::operator=(membership&&) noexcept = default;

void membership::members_changed(
    session_id own, std::span<const member> members, instant now)
{
    this->self->members_changed(own, members, now);
}

void membership::received(const peer_message& message, instant now)
{
    this->self->received(message, now);
}

void membership::tick(instant now)
{
    this->self->tick(now);
}

void membership::send_demand(session_id to, const servable_demand& what)
{
    this->self->send_demand(to, what);
}

void membership::send_visit(session_id to, const caller_visit& what)
{
    this->self->send_visit(to, what);
}

std::vector<membership::outgoing> membership::take_outgoing()
{
    return std::exchange(this->self->datagrams, {});
}

std::vector<servable_demand> membership::take_demands()
{
    return std::exchange(this->self->demands, {});
}

std::vector<caller_visit> membership::take_visits()
{
    return std::exchange(this->self->visits, {});
}

bool membership::take_changed()
{
    return std::exchange(this->self->changed, false);
}

std::vector<session_id> membership::alive() const
{
    return this->self->alive();
}

std::optional<liveness> membership::state_of(session_id session) const
{
    return this->self->state_of(session);
}

instant membership::next_tick() const
{
    return this->self->next_tick();
}

} // namespace roseworks

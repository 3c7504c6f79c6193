#include "app/control_loop.hpp"

#include <roseworks/rendezvous.hpp>

#include <boost/asio/error.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace roseworks::app
{

namespace
{

/// A tick that is due again at once doesn't keep the thread busy.
constexpr duration shortest_tick = std::chrono::milliseconds(1);

constexpr duration longest_tick = std::chrono::hours(1);

constexpr std::chrono::seconds look_interval{1};

/// A number that stands for the caller among this router's hints.
std::uint32_t number_of(std::string_view caller)
{
    return static_cast<std::uint32_t>(author_of(caller).value);
}

} // namespace

control_loop::control_loop(
    boost::asio::any_io_executor on,
    controller::options wanted,
    const control_ports& with,
    control_notices tell)
    : executor(std::move(on))
    , settings(std::move(wanted))
    , ports(with)
    , notices(std::move(tell))
    , reporter(with.events)
    , tick_timer(this->executor)
    , look_timer(this->executor)
    , witness(
          this->executor,
          with.engines,
          [this](const crash_seen& what, crash_finding finding)
          {
              this->crash_examined(what, finding);
          })
{
}

void control_loop::start(std::string http_address)
{
    this->settings.http_address = std::move(http_address);
    this->arm_look();
    this->ports.log.start(*this);
    this->ports.peers.start(*this);
    if (this->ports.vms != nullptr)
        this->ports.vms->start(*this);
}

void control_loop::leave()
{
    if (this->leaving || this->stopped)
        return;
    this->leaving = true;
    if (!this->core)
    {
        this->notices.left(true);
        return;
    }
    this->core->leave(this->ports.clock.now());
    this->pump();
}

void control_loop::stop()
{
    this->stopped = true;
    this->tick_timer.cancel();
    this->look_timer.cancel();
    this->witness.stop();
    this->ports.log.stop();
    this->ports.peers.stop();
    if (this->ports.vms != nullptr)
        this->ports.vms->stop();
    this->ports.engines.cancel_all();
    this->notices.claims_dropped();
}

// From the traffic threads.

void control_loop::demanded(const demand& what)
{
    if (!this->core || this->stopped)
        return;
    // The caller waits for records of others: of the replica's load.
    this->ports.log.expedite_reads();
    const session_id this_router;
    this->core->demanded(
        {what.servable, what.urgency, what.waiting, this_router},
        this->ports.clock.now());
    this->pump();
}

void control_loop::crashed(const crash_seen& what)
{
    if (!this->stopped)
        this->witness.examine(what);
}

void control_loop::crash_examined(const crash_seen& what, crash_finding finding)
{
    if (this->stopped)
        return;
    this->notices.crash_examined(what, finding);
    if (!this->core || finding != crash_finding::crashed)
        return;
    this->core->crash_seen(what.request, what.engine, this->ports.clock.now());
    this->pump();
}

void control_loop::used(std::string_view servable, std::string_view caller)
{
    if (!this->core || this->stopped)
        return;
    const servable_id id = this->core->state().find_servable(servable);
    if (!id)
        return;
    this->core->used(id, this->ports.clock.now(), number_of(caller));
    this->pump();
}

bool control_loop::claim(const claim_request& asked)
{
    if (!this->core || this->stopped)
        return false;
    this->core->claim(asked, this->ports.clock.now());
    this->pump();
    return true;
}

void control_loop::close_claim(claim_close what)
{
    if (!this->core || this->stopped)
        return;
    what.session = this->core->session();
    this->core->close_claim(std::move(what), this->ports.clock.now());
    this->pump();
}

// Commands.

void control_loop::pump()
{
    if (this->pumping || this->stopped || !this->core)
        return;
    this->pumping = true;
    for (auto commands = this->core->take_commands(); !commands.empty();
         commands = this->core->take_commands())
    {
        for (control_command& command : commands)
            std::visit(
                [this](auto& what)
                {
                    this->carry_out(what);
                },
                command);
    }
    this->pumping = false;

    if (this->sessions_moved)
        this->tell_sessions();
    this->refresh_availability();
    this->note_caught_up();
    this->arm_tick();
}

void control_loop::refresh_availability()
{
    if (this->caught_up && this->log_available() != this->published_available)
        this->carry_out(publish_table());
}

void control_loop::note_caught_up()
{
    const std::uint64_t next = this->core->state().folded().value + 1;
    if (this->caught_up || next < this->catch_up_end.value)
        return;
    this->caught_up = true;
    this->carry_out(publish_table());
    this->notices.caught_up();
}

void control_loop::arm_tick()
{
    const instant now = this->ports.clock.now();
    const instant due = std::clamp(
        this->core->next_tick(), now + shortest_tick, now + longest_tick);
    this->tick_timer.expires_after(due - now);
    this->tick_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error != boost::asio::error::operation_aborted)
                this->tick();
        });
}

void control_loop::arm_look()
{
    this->look_timer.expires_after(look_interval);
    this->look_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error == boost::asio::error::operation_aborted || this->stopped)
                return;
            this->watch_leases();
            this->notices.look(*this);
            this->arm_look();
        });
}

void control_loop::tick()
{
    if (!this->core || this->stopped)
        return;
    this->core->tick(this->ports.clock.wall(), this->ports.clock.now());
    this->pump();
}

// What it knows.

const controller* control_loop::driven() const
{
    return this->core.get();
}

bool control_loop::is_caught_up() const
{
    return this->caught_up;
}

std::uint64_t control_loop::lag() const
{
    const std::uint64_t folded =
        this->core ? this->core->state().folded().value : 0;
    const std::uint64_t next = folded + 1;
    return this->known_end.value > next ? this->known_end.value - next : 0;
}

bool control_loop::log_available() const
{
    return this->core && this->core->log_available(this->ports.clock.now());
}

const control_counts& control_loop::counts() const
{
    return this->counted;
}

const idle_meter& control_loop::idle_accelerators() const
{
    return this->idle;
}

} // namespace roseworks::app

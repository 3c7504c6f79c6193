#include "app/control_loop.hpp"
#include "app/whole_ms.hpp"

#include <roseworks/names.hpp>

#include <utility>

// The control loop's part that hears from the VM list, the peers and the
// engines, and reports what they say.

namespace roseworks::app
{

void control_loop::vms_listed(std::span<const vm_entry> vms)
{
    const instant now = this->ports.clock.now();
    if (const auto lasted = this->vm_list_outage.succeeded(now))
    {
        this->ports.events.report(
            event_id::vm_list_back, {{"elapsed_ms", whole_ms(*lasted)}});
    }

    std::map<std::string, bool, std::less<>> listed;
    for (const vm_entry& vm : vms)
    {
        listed[vm.vm] = vm.leaving;
        const auto before = this->vms_leaving.find(vm.vm);
        const bool known = before != this->vms_leaving.end();
        if (known && before->second == vm.leaving)
            continue;
        this->notices.vm_leaving(vm.vm, vm.leaving);
        if (!vm.leaving)
            continue;
        this->ports.events.report(
            event_id::vm_leaving,
            {{"vm", vm.vm},
             {"address", vm.address},
             {"role", std::string_view(vm.is_router ? "router" : "backend")}});
    }
    // What is no longer listed is gone.
    for (const auto& [vm, was_leaving] : this->vms_leaving)
    {
        if (!was_leaving && !listed.contains(vm))
            this->notices.vm_leaving(vm, true);
    }
    this->vms_leaving = std::move(listed);

    if (!this->core)
        return;
    this->core->vms_listed(vms, now);
    this->pump();
}

void control_loop::vm_list_failed()
{
    if (this->vm_list_outage.failed(this->ports.clock.now()))
        this->ports.events.report(event_id::vm_list_unreachable);
}

void control_loop::demand_received(const servable_demand& what)
{
    if (!this->core || this->stopped)
        return;
    this->ports.log.expedite_reads();
    this->core->demanded(what, this->ports.clock.now());
    this->pump();
}

void control_loop::visit_received(const caller_visit& what)
{
    if (!this->core || this->stopped)
        return;
    this->core->visited(what, this->ports.clock.now());
}

void control_loop::peers_alive(std::span<const session_id> alive)
{
    if (this->notices.routers_alive && !this->stopped)
        this->notices.routers_alive(alive.size());
    if (!this->core || this->stopped)
        return;
    this->core->peers_changed(alive, this->ports.clock.now());
    this->pump();
}

/// For the events only: the lease is checked anew before each order.
void control_loop::watch_leases()
{
    if (!this->core)
        return;
    const instant now = this->ports.clock.now();
    std::set<engine_id> in_force;
    this->core->state().for_each_engine(
        [&](const engine_view& engine)
        {
            if (!engine.holder || engine.holder != this->core->session())
                return;
            engine_order probe;
            probe.engine = engine.id;
            probe.held = engine.held;
            if (this->core->may_send(probe, now))
                in_force.insert(engine.id);
            else if (this->leases_in_force.contains(engine.id))
                this->ports.events.report(
                    event_id::lease_lapsed,
                    {{"engine", engine.name},
                     {"term_ms", whole_ms(this->settings.lease_term)}});
        });
    this->leases_in_force = std::move(in_force);
}

void control_loop::order_answered(
    const engine_order& order, std::uint64_t issued_in, order_outcome outcome)
{
    if (issued_in != this->run || !this->core || this->stopped)
        return;
    if (outcome == order_outcome::unknown)
        ++this->counted.orders_lost;
    this->report_order(order, outcome);
    this->core->order_answered(order.order, outcome, this->ports.clock.now());
    this->pump();
}

void control_loop::report_order(
    const engine_order& order, order_outcome outcome)
{
    const std::string engine = this->engine_name(order.engine);
    switch (outcome)
    {
    case order_outcome::accepted:
    case order_outcome::not_found:
        return;
    case order_outcome::stale_fence:
        this->ports.events.report(
            event_id::order_refused_stale_fence,
            {{"engine", engine},
             {"order_id", order.order_id},
             {"fence", order.held.value}});
        return;
    case order_outcome::unknown:
        this->ports.events.report(
            event_id::order_answer_lost,
            {{"engine", engine},
             {"order_id", order.order_id},
             {"action", to_string(order.action)},
             {"replica", order.replica.value}});
        return;
    case order_outcome::out_of_memory:
    case order_outcome::refused:
    case order_outcome::not_sent:
        this->ports.events.report(
            event_id::order_refused,
            {{"engine", engine},
             {"order_id", order.order_id},
             {"action", to_string(order.action)},
             {"replica", order.replica.value},
             {"reason", to_string(outcome)}});
        return;
    }
}

void control_loop::engine_answered(
    const read_engine& what,
    const engine_report& report,
    std::uint64_t issued_in)
{
    if (issued_in != this->run || !this->core || this->stopped)
        return;
    this->note_engine(report);
    if (report.reachable)
        this->read_cache_events(what, report.incarnation);
    this->core->engine_read(report, this->ports.clock.now());
    this->pump();
}

void control_loop::read_cache_events(
    const read_engine& what, std::uint64_t incarnation)
{
    if (!this->notices.cache_reported)
        return;
    this->ports.engines.read_cache_events(
        what,
        incarnation,
        [this](const cache_report& report)
        {
            if (this->core && !this->stopped)
                this->cache_events_read(report);
        });
}

void control_loop::cache_events_read(const cache_report& report)
{
    // One line a read is enough, also when more is missing.
    std::uint64_t wanted = report.from;
    for (const cache_event& event : report.events)
    {
        if (wanted != 0 && event.sequence > wanted)
        {
            this->ports.events.report(
                event_id::cache_events_missed,
                {{"engine", this->engine_name(report.engine)},
                 {"wanted", wanted},
                 {"got", event.sequence}});
            break;
        }
        wanted = event.sequence + 1;
    }
    this->notices.cache_reported(report);
}

void control_loop::note_engine(const engine_report& report)
{
    const instant now = this->ports.clock.now();
    if (report.reachable)
        this->witness.engine_seen(report.engine, report.incarnation);
    if (const auto engine = this->core->state().engine(report.engine))
    {
        const session_id self = this->core->session();
        const bool held = self && engine->holder == self;
        this->idle.reported(report, engine->spec->accelerators, held, now);
    }
    outage_watch& watch = this->engine_outages[report.engine];
    if (!report.reachable)
    {
        if (watch.failed(now))
        {
            this->ports.events.report(
                event_id::engine_unreachable,
                {{"engine", this->engine_name(report.engine)},
                 {"reason", std::string_view("state can't be read")}});
        }
        return;
    }
    if (const auto lasted = watch.succeeded(now))
    {
        this->ports.events.report(
            event_id::engine_back,
            {{"engine", this->engine_name(report.engine)},
             {"elapsed_ms", whole_ms(*lasted)},
             {"incarnation", report.incarnation}});
    }
    this->notices.load_reported(
        {report.engine, report.running, report.waiting});
}

} // namespace roseworks::app

#include "app/router_gauges.hpp"

#include <roseworks/fleet_state.hpp>

#include <fstream>
#include <unistd.h>

namespace roseworks::app
{

namespace
{

/// @return Bytes of memory that the process holds; 0 when unknown.
std::int64_t resident_memory()
{
    std::ifstream in("/proc/self/statm");
    std::int64_t whole_pages = 0;
    std::int64_t resident_pages = 0;
    if (!(in >> whole_pages >> resident_pages))
        return 0;
    return resident_pages * sysconf(_SC_PAGESIZE);
}

std::int64_t as_gauge(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

} // namespace

router_gauges::router_gauges(metrics::metrics_registry& registry)
    : folded(registry.add_gauge(
          "roseworks_log_folded_offset", "Offset of the last record folded."))
    , lag(registry.add_gauge(
          "roseworks_log_lag_records", "Records known and not yet folded."))
    , available(registry.add_gauge(
          "roseworks_log_available", "1 when the log was read lately."))
    , servables(registry.add_gauge(
          "roseworks_servables", "Models and adapters declared."))
    , replicas(registry.add_gauge<replica_state>(
          "roseworks_replicas", "Replicas of the fleet by state."))
    , residents(registry.add_gauge(
          "roseworks_engine_residents",
          "Replicas that the engines this router leases reported."))
    , idle_seconds(registry.add_gauge(
          "roseworks_idle_accelerator_seconds",
          "Accelerator time that loaded replicas held without a request, on "
          "the engines this router leases."))
    , accepted(registry.add_gauge(
          "roseworks_records_accepted", "Records accepted since the start."))
    , rejected(registry.add_gauge(
          "roseworks_records_rejected", "Records rejected since the start."))
    , duplicate(registry.add_gauge(
          "roseworks_records_duplicate", "Records folded before."))
    , appends(registry.add_gauge(
          "roseworks_log_appends", "Appends sent since the start."))
    , append_bytes(registry.add_gauge(
          "roseworks_log_append_bytes", "Bytes of records appended."))
    , appends_lost(registry.add_gauge(
          "roseworks_log_appends_lost", "Appends whose answer was lost."))
    , orders(registry.add_gauge(
          "roseworks_engine_orders", "Orders issued since the start."))
    , orders_lost(registry.add_gauge(
          "roseworks_engine_orders_lost", "Orders whose answer was lost."))
    , granted_memory(registry.add_gauge(
          "roseworks_granted_memory_mib",
          "Memory that standing grants of the fleet reserve, in MiB."))
    , granted_models(registry.add_gauge(
          "roseworks_granted_models",
          "Models that standing grants of the fleet name."))
    , granted_orders(registry.add_gauge(
          "roseworks_granted_orders",
          "Loads ordered under standing grants since the start."))
    , tables(registry.add_gauge(
          "roseworks_routing_tables", "Routing tables published."))
    , queued(registry.add_gauge(
          "roseworks_requests_queued", "Requests that wait at this router."))
    , in_flight(registry.add_gauge(
          "roseworks_requests_in_flight", "Requests with a backend server."))
    , control_cpu(registry.add_gauge(
          "roseworks_control_cpu_microseconds",
          "Processor time of the control thread."))
    , control_sent(registry.add_gauge(
          "roseworks_control_bytes_sent",
          "Bytes sent to the log, engines, VM list and other routers."))
    , control_received(registry.add_gauge(
          "roseworks_control_bytes_received",
          "Bytes received from the log, engines, VM list and other "
          "routers."))
    , resident_bytes(registry.add_gauge(
          "roseworks_resident_memory_bytes", "Memory the process holds."))
    , budget_used(registry.add_gauge<control_resource>(
          "roseworks_control_budget_permille",
          "Thousandths of control's budget used over the last minute; memory "
          "is the whole process's."))
{
}

void router_gauges::update(const control_loop& loop)
{
    const control_counts& counts = loop.counts();
    this->lag.set(as_gauge(loop.lag()));
    this->available.set(loop.log_available() ? 1 : 0);
    this->accepted.set(as_gauge(counts.accepted));
    this->rejected.set(as_gauge(counts.rejected));
    this->duplicate.set(as_gauge(counts.duplicate));
    this->appends.set(as_gauge(counts.appends));
    this->append_bytes.set(as_gauge(counts.append_bytes));
    this->appends_lost.set(as_gauge(counts.appends_lost));
    this->orders.set(as_gauge(counts.orders));
    this->orders_lost.set(as_gauge(counts.orders_lost));
    this->granted_orders.set(as_gauge(counts.granted_orders));
    this->tables.set(as_gauge(counts.tables));
    const idle_meter& idle = loop.idle_accelerators();
    this->residents.set(as_gauge(idle.residents()));
    this->idle_seconds.set(idle.idle() / std::chrono::seconds(1));
    if (loop.driven() == nullptr)
        return;

    const fleet_state& state = loop.driven()->state();
    this->folded.set(as_gauge(state.folded().value));
    std::
        array<std::int64_t, metrics::label_traits<replica_state>::values.size()>
            by_state{};
    state.for_each_replica(
        [&](const replica_view& replica)
        {
            ++by_state[static_cast<std::size_t>(replica.state)];
        });
    for (std::size_t at = 0; at < by_state.size(); ++at)
        this->replicas.set(by_state[at], static_cast<replica_state>(at));
    this->update_grants(state);
    if (this->counted_changes == counts.config_changes)
        return;
    this->counted_changes = counts.config_changes;
    std::int64_t declared = 0;
    state.for_each_servable(
        [&](const servable_view&)
        {
            ++declared;
        });
    this->servables.set(declared);
}

void router_gauges::update_grants(const fleet_state& state)
{
    std::int64_t memory_mib = 0;
    state.for_each_engine(
        [&](const engine_view& engine)
        {
            const auto grant = state.standing_grant(engine.id);
            memory_mib += grant ? grant->memory_mib : 0;
        });
    std::int64_t models = 0;
    state.for_each_granted_model(
        [&](const granted_model_view&)
        {
            ++models;
        });
    this->granted_memory.set(memory_mib);
    this->granted_models.set(models);
}

void router_gauges::update(const process_figures& figures)
{
    this->queued.set(as_gauge(figures.queued));
    this->in_flight.set(as_gauge(figures.in_flight));
    this->control_cpu.set(as_gauge(figures.control_cpu_us));
    this->control_sent.set(as_gauge(figures.control_bytes_sent));
    this->control_received.set(as_gauge(figures.control_bytes_received));
    this->resident_bytes.set(resident_memory());
}

void router_gauges::meter(const process_figures& figures, instant now)
{
    if (!this->budget.due(now))
        return;
    budget_meter::reading reading;
    reading.cpu_us = figures.control_cpu_us;
    reading.bytes = figures.control_bytes_sent + figures.control_bytes_received;
    reading.memory = static_cast<std::uint64_t>(resident_memory());
    this->budget.note(reading, now);
    const budget_meter::shares used = this->budget.used();
    this->budget_used.set(as_gauge(used.cpu), control_resource::processor);
    this->budget_used.set(as_gauge(used.bytes), control_resource::bytes);
    this->budget_used.set(as_gauge(used.memory), control_resource::memory);
}

} // namespace roseworks::app

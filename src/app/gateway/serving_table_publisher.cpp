#include "app/gateway/serving_table_publisher.hpp"

#include "core/serving/organisation_changes.hpp"
#include "core/serving/server_software.hpp"
#include "ports/hex_text.hpp"

#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;

serving_table_publisher::serving_table_publisher(
    asio::io_context& context,
    options initial_settings,
    const clock_port& time,
    event_sink& sink,
    newest_table<serving_table_ptr>& holder,
    edge::shared_dispatcher& dispatcher,
    callbacks handlers)
    : loop(context)
    , settings(initial_settings)
    , clock(time)
    , events(sink)
    , tables(holder)
    , dispatch(dispatcher)
    , notify(std::move(handlers))
    , deployment_view(initial_settings.view)
    , publish_timer(context)
    , tick_timer(context)
{
}

void serving_table_publisher::start()
{
    this->schedule_tick();
}

void serving_table_publisher::stop()
{
    this->stopped = true;
    this->publish_timer.cancel();
    this->tick_timer.cancel();
}

void serving_table_publisher::deployment_read(
    std::shared_ptr<const deployment> configuration)
{
    const std::shared_ptr<const deployment> before =
        this->deployment_view.config();
    if (!this->deployment_view.deployment_read(configuration))
        return;
    this->events.report(
        event_id::deployment_in_force,
        {{"version", configuration->version},
         {"routes", configuration->routes.size()},
         {"services", configuration->services.size()}});
    // Without delay: the time limit for applying a configuration starts
    // when the store acknowledges it.
    this->publish();
    this->log_organisation_changes(before.get(), *configuration);
    this->notify.on_deployment(std::move(configuration));
}

void serving_table_publisher::log_organisation_changes(
    const deployment* before, const deployment& now)
{
    const organisation_changes changes = compare_organisations(before, now);
    if (changes.any())
        this->events.report(
            event_id::organisations_changed,
            {{"version", now.version},
             {"keys_added", changes.keys_added},
             {"keys_dropped", changes.keys_dropped},
             {"limits_changed", changes.limits_changed},
             {"dropped", changes.dropped_fingerprints}});
}

void serving_table_publisher::servers_listed(std::vector<server_entry> all)
{
    this->registry_read = this->registry_read || !all.empty();
    for (const server_entry& entry : all)
        this->log_server(entry);
    if (this->deployment_view.entries_listed(std::move(all), this->clock.now()))
        this->schedule_publish();
}

void serving_table_publisher::server_read(server_entry entry)
{
    this->registry_read = true;
    this->log_server(entry);
    if (this->deployment_view.entry_read(std::move(entry)))
        this->schedule_publish();
}

void serving_table_publisher::log_server(const server_entry& entry)
{
    const auto found = this->deployment_view.servers().find(entry.id);
    if (found != this->deployment_view.servers().end())
    {
        const server_entry& before = found->second.entry;
        if (before.born_ms == entry.born_ms &&
            found->second.registered_leaving == entry.leaving &&
            before.address == entry.address &&
            before.service == entry.service && before.version == entry.version)
            return;
    }
    this->events.report(
        event_id::server_seen,
        {{"server", entry.id},
         {"service", entry.service},
         {"version", entry.version},
         {"software", to_hex(software_of(entry.service, entry.version).value)},
         {"address", entry.address},
         {"data_centre", entry.data_centre},
         {"state", entry.leaving ? "leaving" : "ready"},
         {"born_ms", entry.born_ms}});
}

void serving_table_publisher::server_removed(std::string_view id)
{
    if (this->deployment_view.servers().contains(id))
        this->events.report(event_id::server_gone, {{"server", id}});
    if (this->deployment_view.entry_removed(id, this->clock.now()))
        this->schedule_publish();
}

void serving_table_publisher::set_leaving(server_life life, bool leaving)
{
    if (this->deployment_view.set_leaving(life, leaving))
        this->schedule_publish();
}

void serving_table_publisher::store_outage_ended(instant end)
{
    this->deployment_view.registry_back(end);
}

void serving_table_publisher::store_outage_refuted()
{
    if (this->deployment_view.registry_was_not_out())
        this->schedule_publish();
}

void serving_table_publisher::residency_announced(engine_residency residency)
{
    if (this->deployment_view.update_residency(
            std::move(residency), this->clock.now()))
        this->schedule_publish();
}

void serving_table_publisher::forecast_announced(
    const std::string& model, instant ready)
{
    if (this->deployment_view.update_expected_load(
            model, ready, this->clock.now()))
        this->schedule_publish();
}

void serving_table_publisher::servable_refused(
    std::string_view engine, std::string_view servable)
{
    if (this->deployment_view.mark_refused(engine, servable, this->clock.now()))
        this->publish();
}

bool serving_table_publisher::server_unreachable(std::string_view server)
{
    const instant now = this->clock.now();
    const auto retry_at = this->deployment_view.mark_unreachable(server, now);
    if (!retry_at)
        return false;
    this->events.report(
        event_id::engine_unreached,
        {{"engine", server},
         {"for_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(*retry_at - now)
              .count()}});
    this->publish();
    return true;
}

void serving_table_publisher::set_loading_possible(bool possible)
{
    if (std::exchange(this->can_load, possible) != possible)
        this->schedule_publish();
}

void serving_table_publisher::schedule_publish()
{
    if (std::exchange(this->publish_scheduled, true))
        return;
    this->publish_timer.expires_after(this->publish_delay());
    this->publish_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error || this->stopped)
                return;
            this->publish();
            this->notify.on_change();
        });
}

duration serving_table_publisher::publish_delay() const
{
    const auto servers =
        static_cast<duration::rep>(this->deployment_view.servers().size());
    return this->settings.publish_delay +
           this->settings.publish_delay_per_server * servers;
}

void serving_table_publisher::publish()
{
    this->publish_scheduled = false;
    serving_table_ptr table =
        this->deployment_view.make_table(this->can_load, this->clock.now());
    if (!table)
        return;
    this->tables.put(table);
    this->dispatch.table_changed(std::move(table));
    if (this->registry_read)
        this->is_ready = true;
}

void serving_table_publisher::schedule_tick()
{
    this->tick_timer.expires_after(this->settings.tick_interval);
    this->tick_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error || this->stopped)
                return;
            if (this->deployment_view.tick(this->clock.now()))
                this->schedule_publish();
            this->schedule_tick();
        });
}

} // namespace roseworks::app

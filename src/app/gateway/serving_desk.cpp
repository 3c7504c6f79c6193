#include "app/gateway/serving_desk.hpp"

#include "core/serving/organisation_changes.hpp"

#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;

serving_desk::serving_desk(
    asio::io_context& context,
    options chosen,
    const clock_port& time,
    event_sink& sink,
    newest_table<serving_table_ptr>& holder,
    edge::shared_dispatcher& dispatcher,
    notices told)
    : loop(context)
    , settings(chosen)
    , clock(time)
    , events(sink)
    , tables(holder)
    , dispatch(dispatcher)
    , tell(std::move(told))
    , known(chosen.view)
    , publish_timer(context)
    , tick_timer(context)
{
}

void serving_desk::start()
{
    this->arm_tick();
}

void serving_desk::stop()
{
    this->stopped = true;
    this->publish_timer.cancel();
    this->tick_timer.cancel();
}

void serving_desk::deployment_read(
    std::shared_ptr<const deployment> configuration)
{
    const std::shared_ptr<const deployment> before = this->known.config();
    if (!this->known.deployment_read(configuration))
        return;
    this->events.report(
        event_id::deployment_in_force,
        {{"version", configuration->version},
         {"routes", configuration->routes.size()},
         {"services", configuration->services.size()}});
    // Without the pause: the time limit for applying a configuration starts
    // when the store acknowledges it.
    this->publish();
    this->tell_organisations(before.get(), *configuration);
    this->tell.on_deployment(std::move(configuration));
}

void serving_desk::tell_organisations(
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
             {"dropped", changes.dropped}});
}

void serving_desk::servers_listed(std::vector<server_entry> all)
{
    this->listed = this->listed || !all.empty();
    for (const server_entry& entry : all)
        this->tell_server(entry);
    if (this->known.entries_listed(std::move(all), this->clock.now()))
        this->changed();
}

void serving_desk::server_read(server_entry entry)
{
    this->listed = true;
    this->tell_server(entry);
    if (this->known.entry_read(std::move(entry)))
        this->changed();
}

void serving_desk::tell_server(const server_entry& entry)
{
    const auto found = this->known.servers().find(entry.id);
    if (found != this->known.servers().end())
    {
        const server_entry& before = found->second.entry;
        if (before.born_ms == entry.born_ms &&
            before.leaving == entry.leaving &&
            before.address == entry.address && before.service == entry.service)
            return;
    }
    this->events.report(
        event_id::server_seen,
        {{"server", entry.id},
         {"service", entry.service},
         {"address", entry.address},
         {"data_centre", entry.data_centre},
         {"state", entry.leaving ? "leaving" : "ready"},
         {"born_ms", entry.born_ms}});
}

void serving_desk::server_removed(std::string_view id)
{
    if (this->known.servers().contains(id))
        this->events.report(event_id::server_gone, {{"server", id}});
    if (this->known.entry_removed(id, this->clock.now()))
        this->changed();
}

void serving_desk::store_back()
{
    this->known.registry_back(this->clock.now());
}

void serving_desk::residency_heard(engine_residency residency)
{
    if (this->known.residency_heard(std::move(residency), this->clock.now()))
        this->changed();
}

void serving_desk::outlook_heard(const std::string& model, instant ready)
{
    if (this->known.outlook_heard(model, ready, this->clock.now()))
        this->changed();
}

void serving_desk::contradicted(
    std::string_view engine, std::string_view servable)
{
    if (this->known.contradicted(engine, servable, this->clock.now()))
        this->publish();
}

bool serving_desk::unreached(std::string_view server)
{
    const instant now = this->clock.now();
    const auto retry_at = this->known.unreached(server, now);
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

void serving_desk::orders_possible(bool possible)
{
    if (std::exchange(this->can_order, possible) != possible)
        this->changed();
}

void serving_desk::blocked_changed(std::unordered_set<fingerprint> requests)
{
    this->blocked = std::move(requests);
    this->changed();
}

void serving_desk::changed()
{
    if (std::exchange(this->publishing, true))
        return;
    this->publish_timer.expires_after(this->publish_pause());
    this->publish_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error || this->stopped)
                return;
            this->publish();
            this->tell.on_change();
        });
}

duration serving_desk::publish_pause() const
{
    const auto servers =
        static_cast<duration::rep>(this->known.servers().size());
    return this->settings.publish_pause +
           this->settings.publish_pause_per_server * servers;
}

void serving_desk::publish()
{
    this->publishing = false;
    serving_table_ptr table = this->known.make_table(
        this->can_order, this->blocked, this->clock.now());
    if (!table)
        return;
    this->tables.put(table);
    this->dispatch.table_changed(std::move(table));
    if (this->listed)
        this->is_ready = true;
}

void serving_desk::arm_tick()
{
    this->tick_timer.expires_after(this->settings.tick);
    this->tick_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error || this->stopped)
                return;
            if (this->known.tick(this->clock.now()))
                this->changed();
            this->arm_tick();
        });
}

} // namespace roseworks::app

#include "app/gateway/gateway_control.hpp"

#include "app/gateway/gateway_options.hpp"
#include "core/pacing/update_kinds.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;

namespace
{

/// An owner that hasn't announced itself for this time is considered gone.
constexpr duration owner_timeout = std::chrono::milliseconds(1200);

/// How long a router listens for an owner after its start before it concludes
/// that there is none. An owner sends a beacon every 250 ms.
constexpr duration initial_listen_period = std::chrono::milliseconds(350);

/// After this time without an owner, requests don't wait for models to be
/// loaded. A new owner takes over within its predecessor's term plus a second.
constexpr duration max_ownerless_period = std::chrono::milliseconds(4000);

/// `TCP_USER_TIMEOUT` of connections that only test whether an engine accepts
/// them.
constexpr std::chrono::milliseconds engine_user_timeout{1000};

asio::ip::udp::endpoint udp_endpoint(const settings::socket_address& address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

} // namespace

gateway_control::gateway_control(
    const settings::gateway_settings& initial_settings,
    const clock_port& time,
    event_sink& sink,
    newest_table<serving_table_ptr>& tables,
    std::shared_ptr<edge::shared_dispatcher> dispatch,
    callbacks handlers)
    : settings(initial_settings)
    , clock(time)
    , events(sink)
    , notify(std::move(handlers))
    , loop(1)
    , work_guard(this->loop.get_executor())
    , serving(std::make_unique<serving_table_publisher>(
          this->loop,
          serving_table_publisher::options(),
          time,
          sink,
          tables,
          *dispatch,
          serving_table_publisher::callbacks{
              [this](std::shared_ptr<const deployment> configuration)
              {
                  this->placement->deployment_changed(configuration);
                  this->quotas->deployment_changed(*configuration);
                  this->origins->deployment_changed(*configuration);
                  this->notify.on_deployment(std::move(configuration));
              },
              [this]
              {
                  this->placement->servers_changed();
                  this->limit_controller->servers_changed();
                  this->notices.servers_changed();
                  this->crashes->servers_changed();
                  this->origins->servers_changed();
                  this->paces.servers_changed();
              }}))
    , paces(time, this->serving->view(), *dispatch)
    , copies(std::make_unique<copy_exchange>(
          this->loop, copy_options(initial_settings), this->meter))
    , directory(std::make_unique<users_platform::store_directory>(
          this->loop,
          directory_options(initial_settings),
          time,
          sink,
          this->meter,
          *this->copies))
    , peers(std::make_unique<gateway_peers>(
          this->loop,
          udp_endpoint(initial_settings.listen.peers),
          sink,
          this->meter))
    , quotas(std::make_unique<quota_controller>(
          this->loop,
          quota_options(initial_settings, this->notify.on_class_usage),
          time,
          sink,
          *this->peers))
    , opinions(this->loop, opinion_options())
    , crash_archive(std::make_unique<users_platform::store_crash_archive>(
          this->loop,
          archive_options(initial_settings, time.wall()),
          this->meter))
    , crashes(std::make_unique<crash_controller>(
          this->loop,
          crash_options(initial_settings),
          time,
          sink,
          *this->peers,
          *this->crash_archive,
          this->opinions,
          this->serving->view(),
          this->notify.on_request_blocked))
    , origins(std::make_unique<origin_controller>(
          this->loop,
          origin_options(initial_settings),
          time,
          *this->peers,
          this->serving->view(),
          *this->directory))
    , limit_controller(std::make_unique<server_limit_controller>(
          this->loop,
          server_limit_options(initial_settings),
          time,
          sink,
          this->serving->view(),
          *dispatch,
          *this->quotas,
          server_limit_controller::callbacks{
              [this](const server_limit_update& message)
              {
                  this->peers->send(this->other_addresses(), message);
              },
              [this](std::map<std::string, double, std::less<>> rates)
              {
                  this->placement->rate_limits_changed(std::move(rates));
              }}))
    , notices(
          this->loop,
          initial_settings.vm.name,
          time,
          sink,
          this->serving->view(),
          *dispatch,
          {[this](const server_limit_update& message)
           {
               this->peers->send(this->other_addresses(), message);
           },
           [this](server_life life, bool leaving)
           {
               this->serving->set_leaving(life, leaving);
           }})
    , commands(std::make_unique<users_platform::engine_commands>(
          this->loop, command_options(initial_settings), this->meter))
    , direct(engine_user_timeout)
    , engines(
          this->loop,
          engine_reach::options(),
          time,
          *this->commands,
          this->direct,
          this->opinions,
          {[this](bool)
           {
               this->update_may_own();
           },
           [this](const std::string& engine)
           {
               this->notices.engine_leaves(engine);
           }})
    , placement(std::make_unique<placement_controller>(
          this->loop,
          placement_options(initial_settings),
          initial_settings.vm.name,
          time,
          sink,
          this->engines,
          this->serving->view(),
          [this]
          {
              return this->router_names();
          },
          [this](
              const owner_announcement& message,
              std::span<const std::string> routers)
          {
              this->send_announcement(message, routers);
          }))
    , reporter(
          this->loop,
          initial_settings.vm.name,
          time,
          this->usage,
          [this](router_report message)
          {
              this->send_to_owner(std::move(message));
          })
    , usage_report_timer(this->loop)
{
}

gateway_control::~gateway_control()
{
    this->stop();
}

void gateway_control::start()
{
    asio::post(
        this->loop,
        [this]
        {
            this->owner_missing_since = this->clock.now();
            this->serving->start();
            this->peers->start(*this);
            this->engines.start();
            this->placement->start();
            this->quotas->start();
            this->crashes->start();
            this->copies->serve(*this->directory);
            this->directory->start(*this);
            this->schedule_usage_report();
        });
    this->thread = std::thread(
        [this]
        {
            this->run();
        });
}

void gateway_control::run()
{
    try
    {
        this->loop.run();
    }
    catch (const std::exception& error)
    {
        this->notify.on_failure(error.what());
    }
}

void gateway_control::resign()
{
    asio::post(
        this->loop,
        [this]
        {
            this->directory->resign();
        });
}

void gateway_control::demand_waiting(const demand& waiting)
{
    asio::post(
        this->loop,
        [this, waiting]
        {
            this->reporter.update_demand(waiting);
        });
}

void gateway_control::schedule_usage_report()
{
    this->usage_report_timer.expires_after(
        usage_report_interval(this->live_routers));
    this->usage_report_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error)
                return;
            this->reporter.tick();
            this->report_paces();
            this->check_owner();
            this->schedule_usage_report();
        });
}

void gateway_control::report_paces()
{
    // Without an owner, the samples are kept for the next one.
    if (!this->settings.pace.estimate || !this->owner)
        return;
    std::vector<pace_sample> samples = this->paces.take_samples();
    if (samples.empty())
        return;
    router_report message = this->reporter.make_report();
    message.pace_samples = std::move(samples);
    this->send_to_owner(std::move(message));
}

void gateway_control::send_to_owner(router_report message)
{
    if (!this->owner)
        return;
    if (this->owner->address.empty())
    {
        this->placement->handle_router_report(message);
        return;
    }
    const std::string addresses[] = {this->owner->address};
    this->peers->send(addresses, message);
}

void gateway_control::check_owner()
{
    const instant now = this->clock.now();
    if (this->owner && now - this->owner->last_heard > owner_timeout)
        this->owner_lost(now);
    const duration missing =
        this->owner ? duration::zero() : now - this->owner_missing_since;
    this->serving->set_loading_possible(missing <= max_ownerless_period);
    if (missing >= initial_listen_period)
        this->directory->set_owner_known(false);
}

void gateway_control::owner_lost(instant now)
{
    this->owner.reset();
    // The loss is certain, so the initial listening period is skipped.
    this->owner_missing_since = now - initial_listen_period;
    this->directory->set_owner_known(false);
}

std::vector<std::string> gateway_control::router_names() const
{
    std::vector<std::string> names{this->settings.vm.name};
    for (const auto& [name, address] : this->router_addresses)
    {
        if (name != this->settings.vm.name)
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> gateway_control::other_addresses() const
{
    std::vector<std::string> addresses;
    for (const auto& [name, address] : this->router_addresses)
    {
        if (name != this->settings.vm.name)
            addresses.push_back(address);
    }
    return addresses;
}

void gateway_control::send_announcement(
    const owner_announcement& message, std::span<const std::string> routers)
{
    std::vector<std::string> addresses;
    for (const std::string& name : routers)
    {
        const auto found = this->router_addresses.find(name);
        if (name == this->settings.vm.name)
            this->apply_announcement(message, {});
        else if (found != this->router_addresses.end())
            addresses.push_back(found->second);
    }
    this->peers->send(addresses, message);
}

void gateway_control::router_report_received(const router_report& message)
{
    this->placement->handle_router_report(message);
}

void gateway_control::owner_announcement_received(
    const owner_announcement& message, std::string_view from)
{
    this->placement->other_owner_announced(message.tenure);
    this->directory->other_owner_detected(message.tenure);
    this->apply_announcement(message, from);
}

void gateway_control::apply_announcement(
    const owner_announcement& message, std::string_view from)
{
    if (this->owner && message.tenure < this->owner->fence)
        return;
    const bool is_new_owner =
        !this->owner || this->owner->name != message.owner;
    const instant now = this->clock.now();
    if (message.ownership_released)
    {
        this->owner_lost(now);
        return;
    }
    this->owner = {message.owner, std::string(from), message.tenure, now};
    this->directory->set_owner_known(!message.term_expired);
    this->live_routers = std::max<std::size_t>(message.routers, 1);
    for (const engine_residency& engine : message.engines)
        this->serving->residency_announced(engine);
    if (this->settings.pace.estimate)
        this->paces.announced(message);
    for (const announced_load_forecast& one : message.load_forecasts)
        this->serving->forecast_announced(
            one.model, now + duration(one.ready_in_us));
    if (is_new_owner)
        this->reporter.report_all();
}

void gateway_control::crash_report_received(
    const crash_report& message, std::string_view from)
{
    this->crashes->report_received(message, from);
}

void gateway_control::part_crash_report_received(
    const part_crash_report& message, std::string_view from)
{
    this->crashes->report_received(message, from);
}

void gateway_control::origin_message_received(
    const origin_message& message, std::string_view from)
{
    this->origins->message_received(message, from);
}

void gateway_control::directory_update_received(const directory_update& message)
{
    this->directory->apply_peer_update(message);
}

void gateway_control::quota_query_received(
    const quota_query& query, std::string_view from)
{
    this->quotas->query_received(query, from);
}

void gateway_control::quota_reply_received(const quota_reply& reply)
{
    this->quotas->reply_received(reply);
}

void gateway_control::server_limit_update_received(
    const server_limit_update& message)
{
    const update_kinds kinds = split_by_kind(message);
    this->limit_controller->limits_received(kinds);
    this->notices.update_received(kinds.leaving_servers);
}

void gateway_control::request_ended(
    const std::string& servable, const std::string& engine)
{
    if (!this->usage.ended(servable, engine))
        return;
    asio::post(
        this->loop,
        [this]
        {
            this->reporter.usage_ended();
        });
}

void gateway_control::engine_refused(
    const std::string& servable, const std::string& engine)
{
    asio::post(
        this->loop,
        [this, servable, engine]
        {
            this->serving->servable_refused(engine, servable);
        });
}

void gateway_control::server_unreachable(const std::string& server)
{
    asio::post(
        this->loop,
        [this, server]
        {
            if (!this->serving->server_unreachable(server))
                return;
            router_report message = this->reporter.make_report();
            message.unreachable_engines.push_back(server);
            this->send_to_owner(std::move(message));
        });
}

void gateway_control::servers_cut_off(bool cut_off)
{
    asio::post(
        this->loop,
        [this, cut_off]
        {
            this->traffic_cut_off = cut_off;
            this->update_may_own();
        });
}

void gateway_control::update_may_own()
{
    const bool is_cut_off = this->traffic_cut_off || this->engines.is_cut_off();
    this->directory->set_may_own(!is_cut_off);
}

void gateway_control::stop()
{
    if (!this->thread.joinable())
        return;
    asio::post(
        this->loop,
        [this]
        {
            this->copies->stop();
            this->directory->stop();
            this->peers->stop();
            this->engines.stop();
            this->placement->stop();
            this->limit_controller->stop();
            this->notices.stop();
            this->crashes->stop();
            this->origins->stop();
            this->opinions.stop();
            this->quotas->stop();
            this->serving->stop();
            this->reporter.stop();
            this->usage_report_timer.cancel();
            this->work_guard.reset();
            this->loop.stop();
        });
    this->thread.join();
}

void gateway_control::deployment_read(
    std::shared_ptr<const deployment> configuration)
{
    this->serving->deployment_read(std::move(configuration));
}

void gateway_control::deployment_staleness_changed(bool stale)
{
    this->deployment_stale = stale;
}

void gateway_control::servers_listed(std::vector<server_entry> all)
{
    this->serving->servers_listed(std::move(all));
}

void gateway_control::server_read(server_entry entry)
{
    this->serving->server_read(std::move(entry));
}

void gateway_control::server_removed(std::string_view id)
{
    this->serving->server_removed(id);
}

void gateway_control::routers_listed(std::vector<router_address> all)
{
    this->quotas->routers_listed(all);
    this->crashes->routers_listed(all);
    this->origins->routers_listed(all);
    const relay_routers relays = find_relay_routers(
        all, this->settings.vm.name, this->settings.listen.relay().port);
    this->opinions.set_routers(relays.routers);
    this->notify.on_routers(relays);
    this->router_addresses.clear();
    for (router_address& router : all)
        this->router_addresses[router.name] = std::move(router.address);
}

void gateway_control::tenure_changed(std::optional<placement_tenure> held)
{
    this->placement->tenure_changed(held);
}

void gateway_control::ownership_ended()
{
    if (!this->owner || this->owner->name != this->settings.vm.name)
        return;
    owner_announcement message;
    message.owner = this->settings.vm.name;
    message.tenure = this->owner->fence;
    message.routers = static_cast<std::uint32_t>(this->live_routers);
    message.ownership_released = true;
    const std::vector<std::string> all = this->router_names();
    this->send_announcement(message, all);
}

void gateway_control::term_ended()
{
    // Engines that check fencing numbers accept this owner's orders until a
    // later owner sends one, so placement continues after the term.
    if (!this->settings.bounds.fences_checked)
        this->placement->term_ended();
}

void gateway_control::store_unreachable()
{
    this->store_lost_at = this->clock.now();
    this->events.report(event_id::store_lost);
}

void gateway_control::store_reachable()
{
    const auto away = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->clock.now() - this->store_lost_at);
    this->events.report(event_id::store_back, {{"away_ms", away.count()}});
}

void gateway_control::store_outage_ended(instant end)
{
    this->serving->store_outage_ended(end);
}

void gateway_control::store_outage_refuted()
{
    this->serving->store_outage_refuted();
}

void gateway_control::store_read(const directory_update& message)
{
    this->peers->send(this->other_addresses(), message);
}

} // namespace roseworks::app

#include "app/gateway/gateway_control.hpp"

#include "app/gateway/gateway_options.hpp"

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
constexpr duration owner_lifetime = std::chrono::milliseconds(1200);

/// How long a router listens for an owner after its start before it concludes
/// that there is none. An owner sends a beacon every 250 ms.
constexpr duration first_listening = std::chrono::milliseconds(350);

/// After this time without an owner, requests don't wait for models to be
/// loaded. A new owner takes over within its predecessor's term plus a second.
constexpr duration longest_vacancy = std::chrono::milliseconds(4000);

asio::ip::udp::endpoint udp_endpoint(const settings::socket_address& address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

} // namespace

gateway_control::gateway_control(
    const settings::gateway_settings& wanted,
    const clock_port& time,
    event_sink& sink,
    newest_table<serving_table_ptr>& tables,
    std::shared_ptr<edge::shared_dispatcher> dispatch,
    notices told)
    : settings(wanted)
    , clock(time)
    , events(sink)
    , tell(std::move(told))
    , loop(1)
    , work(this->loop.get_executor())
    , desk(std::make_unique<serving_desk>(
          this->loop,
          serving_desk::options(),
          time,
          sink,
          tables,
          *dispatch,
          serving_desk::notices{
              [this](std::shared_ptr<const deployment> configuration)
              {
                  this->placement->configured(configuration);
                  this->quotas->configured(*configuration);
                  this->tell.on_deployment(std::move(configuration));
              },
              [this]
              {
                  this->placement->servers_changed();
                  this->pace->servers_changed();
              }}))
    , copies(std::make_unique<copy_exchange>(
          this->loop, copy_options(wanted), this->meter))
    , directory(std::make_unique<users_platform::store_directory>(
          this->loop,
          directory_options(wanted),
          time,
          sink,
          this->meter,
          *this->copies))
    , peers(std::make_unique<gateway_peers>(
          this->loop, udp_endpoint(wanted.listen.peers), sink, this->meter))
    , quotas(std::make_unique<quota_desk>(
          this->loop, quota_options(wanted), time, sink, *this->peers))
    , pace(std::make_unique<pace_desk>(
          this->loop,
          pace_desk::options{wanted.vm.name},
          time,
          sink,
          this->desk->view(),
          *dispatch,
          *this->quotas,
          pace_desk::notices{
              [this](const server_limit_word& word)
              {
                  this->peers->send(this->other_addresses(), word);
              },
              [this](std::map<std::string, double, std::less<>> rates)
              {
                  this->placement->limits_named(std::move(rates));
              }}))
    , commands(std::make_unique<users_platform::engine_commands>(
          this->loop, command_options(wanted), this->meter))
    , placement(std::make_unique<placement_desk>(
          this->loop,
          placement_options(wanted),
          wanted.vm.name,
          time,
          sink,
          *this->commands,
          this->desk->view(),
          [this]
          {
              return this->router_names();
          },
          [this](
              const owner_announcement& word,
              std::span<const std::string> routers)
          {
              this->tell_routers(word, routers);
          }))
    , teller(
          this->loop,
          wanted.vm.name,
          time,
          this->usage,
          [this](router_report word)
          {
              this->send_to_owner(std::move(word));
          })
    , uses_timer(this->loop)
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
            this->desk->start();
            this->peers->start(*this);
            this->placement->start();
            this->quotas->start();
            this->copies->serve(*this->directory);
            this->directory->start(*this);
            this->arm_uses();
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
        this->tell.on_failure(error.what());
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

void gateway_control::demand_arose(const demand& waiting)
{
    asio::post(
        this->loop,
        [this, waiting]
        {
            this->teller.arose(waiting);
        });
}

void gateway_control::arm_uses()
{
    this->uses_timer.expires_after(usage_report_interval(this->alive));
    this->uses_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error)
                return;
            this->teller.tick();
            this->look_for_owner();
            if (this->crashes.tick(this->clock.now()))
                this->desk->blocked_changed(this->crashes.blocked());
            this->arm_uses();
        });
}

void gateway_control::send_to_owner(router_report word)
{
    if (!this->owner)
        return;
    if (this->owner->address.empty())
    {
        this->placement->word_heard(word);
        return;
    }
    const std::string addresses[] = {this->owner->address};
    this->peers->send(addresses, word);
}

void gateway_control::look_for_owner()
{
    const instant now = this->clock.now();
    if (this->owner && now - this->owner->heard > owner_lifetime)
        this->owner_lost(now);
    const duration missing =
        this->owner ? duration::zero() : now - this->owner_missing_since;
    this->desk->orders_possible(missing <= longest_vacancy);
    if (missing >= first_listening)
        this->directory->owner_heard(false);
}

void gateway_control::owner_lost(instant now)
{
    this->owner.reset();
    // The loss is certain, so the initial listening period is skipped.
    this->owner_missing_since = now - first_listening;
    this->directory->owner_heard(false);
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

void gateway_control::tell_routers(
    const owner_announcement& word, std::span<const std::string> routers)
{
    std::vector<std::string> addresses;
    for (const std::string& name : routers)
    {
        const auto found = this->router_addresses.find(name);
        if (name == this->settings.vm.name)
            this->take_owner_word(word, {});
        else if (found != this->router_addresses.end())
            addresses.push_back(found->second);
    }
    this->peers->send(addresses, word);
}

void gateway_control::router_word_heard(const router_report& word)
{
    this->placement->word_heard(word);
}

void gateway_control::owner_word_heard(
    const owner_announcement& word, std::string_view from)
{
    this->placement->other_owner_heard(word.tenure);
    this->directory->another_owns(word.tenure);
    this->take_owner_word(word, from);
}

void gateway_control::take_owner_word(
    const owner_announcement& word, std::string_view from)
{
    if (this->owner && word.tenure < this->owner->fence)
        return;
    const bool is_new_owner = !this->owner || this->owner->name != word.owner;
    const instant now = this->clock.now();
    if (word.ownership_released)
    {
        this->owner_lost(now);
        return;
    }
    this->owner = {word.owner, std::string(from), word.tenure, now};
    this->directory->owner_heard(!word.term_expired);
    this->alive = std::max<std::size_t>(word.routers, 1);
    for (const engine_residency& engine : word.engines)
        this->desk->residency_heard(engine);
    for (const announced_load_forecast& one : word.load_forecasts)
        this->desk->outlook_heard(one.model, now + duration(one.ready_in_us));
    if (is_new_owner)
        this->teller.tell_all();
}

void gateway_control::break_word_heard(const connection_loss_report& word)
{
    this->take_break(word);
}

void gateway_control::directory_word_heard(const directory_word& word)
{
    this->directory->word_heard(word);
}

void gateway_control::quota_ask_heard(
    const quota_ask& ask, std::string_view from)
{
    this->quotas->ask_heard(ask, from);
}

void gateway_control::quota_answer_heard(const quota_answer& answer)
{
    this->quotas->answer_heard(answer);
}

void gateway_control::server_limit_word_heard(const server_limit_word& word)
{
    this->pace->word_heard(word);
}

void gateway_control::run_ended(
    const std::string& servable, const std::string& engine)
{
    if (!this->usage.ended(servable, engine))
        return;
    asio::post(
        this->loop,
        [this]
        {
            this->teller.use_ended();
        });
}

void gateway_control::engine_refused(
    const std::string& servable, const std::string& engine)
{
    asio::post(
        this->loop,
        [this, servable, engine]
        {
            this->desk->contradicted(engine, servable);
        });
}

void gateway_control::server_unreached(const std::string& server)
{
    asio::post(
        this->loop,
        [this, server]
        {
            if (!this->desk->unreached(server))
                return;
            router_report word = this->teller.make_word();
            word.unreachable_engines.push_back(server);
            this->send_to_owner(std::move(word));
        });
}

void gateway_control::connection_broke(
    const std::string& server, fingerprint request)
{
    asio::post(
        this->loop,
        [this, server, request]
        {
            const connection_loss_report word{
                this->settings.vm.name, request.value, server};
            this->peers->send(this->other_addresses(), word);
            this->take_break(word);
        });
}

void gateway_control::take_break(const connection_loss_report& word)
{
    this->crashes.record_break(
        fingerprint(word.request), word.server, this->clock.now());
}

void gateway_control::server_lost(std::string_view server)
{
    if (this->crashes.server_lost(server, this->clock.now()))
        this->desk->blocked_changed(this->crashes.blocked());
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
            this->placement->stop();
            this->pace->stop();
            this->quotas->stop();
            this->desk->stop();
            this->teller.stop();
            this->uses_timer.cancel();
            this->work.reset();
            this->loop.stop();
        });
    this->thread.join();
}

void gateway_control::deployment_read(
    std::shared_ptr<const deployment> configuration)
{
    this->desk->deployment_read(std::move(configuration));
}

void gateway_control::deployment_behind(bool stale)
{
    this->behind = stale;
}

void gateway_control::servers_listed(std::vector<server_entry> all)
{
    this->desk->servers_listed(std::move(all));
}

void gateway_control::server_read(server_entry entry)
{
    const auto known = this->desk->view().servers().find(entry.id);
    if (known != this->desk->view().servers().end() &&
        known->second.entry.born_ms != entry.born_ms)
        this->server_lost(entry.id);
    this->desk->server_read(std::move(entry));
}

void gateway_control::server_removed(std::string_view id)
{
    this->server_lost(id);
    this->desk->server_removed(id);
}

void gateway_control::routers_listed(std::vector<router_address> all)
{
    this->quotas->routers_listed(all);
    this->router_addresses.clear();
    for (router_address& router : all)
        this->router_addresses[router.name] = std::move(router.address);
}

void gateway_control::tenure_changed(std::optional<placement_tenure> held)
{
    this->placement->tenure_changed(held);
}

void gateway_control::ownership_left()
{
    if (!this->owner || this->owner->name != this->settings.vm.name)
        return;
    owner_announcement word;
    word.owner = this->settings.vm.name;
    word.tenure = this->owner->fence;
    word.routers = static_cast<std::uint32_t>(this->alive);
    word.ownership_released = true;
    const std::vector<std::string> all = this->router_names();
    this->tell_routers(word, all);
}

void gateway_control::term_ended()
{
    // Engines that check fencing numbers accept this owner's orders until a
    // later owner sends one, so placement continues after the term.
    if (!this->settings.bounds.fences_checked)
        this->placement->term_ended();
}

void gateway_control::directory_lost()
{
    this->lost_at = this->clock.now();
    this->events.report(event_id::store_lost);
}

void gateway_control::directory_back()
{
    const auto away = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->clock.now() - this->lost_at);
    this->events.report(event_id::store_back, {{"away_ms", away.count()}});
    this->registry_back();
}

void gateway_control::registry_back()
{
    this->desk->store_back();
}

void gateway_control::store_read(const directory_word& word)
{
    this->peers->send(this->other_addresses(), word);
}

} // namespace roseworks::app

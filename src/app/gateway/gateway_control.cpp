#include "app/gateway/gateway_control.hpp"

#include "adapters/peers/copy_exchange.hpp"
#include "platform/engine_commands.hpp"
#include "platform/store_directory.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <exception>
#include <random>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;

namespace
{

asio::ip::tcp::endpoint tcp_endpoint(const settings::socket_address& address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

/// A VM of capacity 1; the owner's words and the store's answers to it take
/// some Mbit/s, its planning some hundredths of a core.
constexpr double usual_cores = 0.25;
constexpr double usual_link = 100;

/// Of an owner's link, for words to routers that don't wait for them: callers'
/// requests have the rest.
constexpr double words_share_of_link = 0.025;
constexpr double bytes_per_mbit = 125'000;

/// Of a second of a router's link, for one word to all others of what it read.
constexpr double told_share_of_link = 0.2;

/// An owner that wasn't heard so long is gone; another may be there by then.
constexpr duration owner_lifetime = std::chrono::milliseconds(1200);

/// A router that was started just now listens so long for an owner, which tells
/// something every 250 ms, before it holds that there is none.
constexpr duration first_listening = std::chrono::milliseconds(350);

/// Without an owner for so long, nothing cold is waited for any more: a new
/// one takes over within its predecessor's term and a second.
constexpr duration longest_vacancy = std::chrono::milliseconds(4000);

asio::ip::udp::endpoint udp_endpoint(const settings::socket_address& address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

placement_desk::options
placement_options(const settings::gateway_settings& settings)
{
    placement_desk::options made;
    made.lease = settings.bounds.lease;
    made.fences_checked = settings.bounds.fences_checked;
    made.words.spare_bytes_per_second =
        settings.vm.link_mbps * bytes_per_mbit * words_share_of_link;
    made.planner.store.window = settings.bounds.load_window;
    made.planner.store.factor = settings.bounds.load_factor;
    return made;
}

users_platform::engine_commands::options
command_options(const settings::gateway_settings& settings)
{
    users_platform::engine_commands::options made;
    made.holder = settings.vm.name;
    return made;
}

quota_desk::options quota_options(const settings::gateway_settings& settings)
{
    quota_desk::options made;
    made.router = settings.vm.name;
    constexpr std::chrono::milliseconds shortest_window{100};
    made.bounds.window =
        std::max(settings.bounds.limit_window, shortest_window);
    made.bounds.excess = settings.bounds.limit_excess;
    made.bounds.slack = settings.bounds.limit_slack;
    std::random_device device;
    made.seed = std::uint64_t(device()) << 32;
    return made;
}

copy_exchange::options copy_options(const settings::gateway_settings& settings)
{
    /// Of a link, for one router that is given a copy.
    constexpr double mbps_for_each = 25;
    constexpr double fewest = 1;
    constexpr double most = 8;
    copy_exchange::options made;
    made.listen = tcp_endpoint(settings.listen.peers);
    made.most_at_once = static_cast<std::size_t>(
        std::clamp(settings.vm.link_mbps / mbps_for_each, fewest, most));
    return made;
}

users_platform::store_directory::options
directory_options(const settings::gateway_settings& settings)
{
    users_platform::store_directory::options made;
    made.server = tcp_endpoint(settings.store.address);
    made.self = {
        settings.vm.name,
        settings.listen.peers.to_string(),
        std::min(
            settings.vm.cores / usual_cores,
            settings.vm.link_mbps / usual_link),
        settings.vm.data_centre};
    made.term = std::max(made.term, settings.store.shortest_term);
    // One read may be lost, and one takes its time.
    constexpr std::chrono::milliseconds shortest_age{100};
    made.registry_age =
        std::max(settings.bounds.leaving * 9 / 20, shortest_age);
    made.config_age = std::max(settings.bounds.configuration / 2, shortest_age);
    made.most_told_bytes = static_cast<std::size_t>(
        settings.vm.link_mbps * bytes_per_mbit * told_share_of_link);
    made.lease = settings.bounds.lease;
    made.first_start = settings.vm.first_start;
    made.seed = std::random_device()();
    return made;
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
          [this](const owner_word& word, std::span<const std::string> routers)
          {
              this->tell_routers(word, routers);
          }))
    , teller(
          this->loop,
          wanted.vm.name,
          time,
          this->usage,
          [this](router_word word)
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

void gateway_control::demand_arose(const demand& what)
{
    asio::post(
        this->loop,
        [this, what]
        {
            this->teller.arose(what);
        });
}

void gateway_control::arm_uses()
{
    this->uses_timer.expires_after(use_word_pause(this->alive));
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

void gateway_control::send_to_owner(router_word word)
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
    // That there is none is known: nothing to listen for.
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
    const owner_word& word, std::span<const std::string> routers)
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

void gateway_control::router_word_heard(const router_word& word)
{
    this->placement->word_heard(word);
}

void gateway_control::owner_word_heard(
    const owner_word& word, std::string_view from)
{
    this->placement->other_owner_heard(word.tenure);
    this->directory->another_owns(word.tenure);
    this->take_owner_word(word, from);
}

void gateway_control::take_owner_word(
    const owner_word& word, std::string_view from)
{
    if (this->owner && word.tenure < this->owner->fence)
        return;
    const bool another = !this->owner || this->owner->name != word.owner;
    const instant now = this->clock.now();
    if (word.leaves)
    {
        this->owner_lost(now);
        return;
    }
    this->owner = {word.owner, std::string(from), word.tenure, now};
    this->directory->owner_heard(!word.lapsed);
    this->alive = std::max<std::size_t>(word.routers, 1);
    for (const engine_residency& engine : word.engines)
        this->desk->residency_heard(engine);
    for (const servable_outlook& one : word.outlooks)
        this->desk->outlook_heard(one.model, now + duration(one.ready_in_us));
    if (another)
        this->teller.tell_all();
}

void gateway_control::break_word_heard(const break_word& word)
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
            router_word word = this->teller.make_word();
            word.unreached.push_back(server);
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
            const break_word word{
                this->settings.vm.name, request.value, server};
            this->peers->send(this->other_addresses(), word);
            this->take_break(word);
        });
}

void gateway_control::take_break(const break_word& word)
{
    this->crashes.broke(
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

void gateway_control::deployment_behind(bool is_so)
{
    this->behind = is_so;
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
    owner_word word;
    word.owner = this->settings.vm.name;
    word.tenure = this->owner->fence;
    word.routers = static_cast<std::uint32_t>(this->alive);
    word.leaves = true;
    const std::vector<std::string> all = this->router_names();
    this->tell_routers(word, all);
}

void gateway_control::term_ended()
{
    // Engines that check fencing numbers let it order until a later owner does.
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

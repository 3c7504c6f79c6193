#include "app/gateway/quota_controller.hpp"

#include <boost/asio/post.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;

namespace
{

/// Number of routers that may be the accountant; no other router is asked.
constexpr std::size_t max_accountants = 8;

/// Minimum capacity of an accountant's VM, relative to the largest one: an
/// accountant gets the messages of all other routers and answers each at once.
constexpr double min_relative_capacity = 0.5;

/// Interval between log lines about refusals of an account.
constexpr duration log_interval = std::chrono::seconds(1);

/// @return The rank of a router as accountant. It is the same on all routers,
///         and hashed so that the order differs from that of the names: a VM
///         that comes first by name doesn't get every single-router role.
std::uint64_t rank_of(std::string_view name)
{
    constexpr std::uint64_t seed = 0x71756F7461;
    return XXH64(name.data(), name.size(), seed);
}

std::vector<std::string> select_accountants(std::span<const router_address> all)
{
    double strongest = 0;
    for (const router_address& one : all)
        strongest = std::max(strongest, one.capacity);
    std::vector<std::string> names;
    for (const router_address& one : all)
    {
        if (one.capacity >= strongest * min_relative_capacity)
            names.push_back(one.name);
    }
    std::ranges::sort(names, std::ranges::greater(), rank_of);
    names.resize(std::min(names.size(), max_accountants));
    return names;
}

std::int64_t to_integer(double amount)
{
    return static_cast<std::int64_t>(amount);
}

quota_client::options client_options(const quota_controller::options& settings)
{
    quota_client::options made;
    made.router = settings.router;
    made.bounds = settings.bounds;
    made.mode = settings.way;
    made.seed = settings.seed;
    return made;
}

} // namespace

quota_controller::quota_controller(
    asio::io_context& context,
    options initial_settings,
    const clock_port& time,
    event_sink& sink,
    gateway_peer_port& others)
    : loop(context)
    , settings(std::move(initial_settings))
    , clock(time)
    , events(sink)
    , peers(others)
    , accountant(
          this->settings.router,
          this->settings.bounds,
          {this->settings.order_by_urgency, this->settings.seed})
    , client(client_options(this->settings))
    , timer(context)
{
}

void quota_controller::start()
{
    this->last_log = this->clock.now();
    this->schedule_tick();
}

void quota_controller::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

void quota_controller::deployment_changed(const deployment& configuration)
{
    this->organisation_limits = limits_of(configuration, this->settings.bounds);
    this->retry_limits = retry_limits_of(configuration, this->settings.retries);
    this->hedge_limits = hedge_limits_of(
        configuration,
        this->settings.hedge_share,
        this->settings.retries.window);
    this->limits_changed();
}

void quota_controller::server_limits_changed(std::span<const server_limit> all)
{
    this->backend_limits.clear();
    for (const server_limit& one : all)
        this->backend_limits[server_account(one.server)] =
            limit_of_server(one.per_second);
    this->limits_changed();
}

void quota_controller::server_places_changed(
    const std::map<std::string, double, std::less<>>& all)
{
    this->backend_places.clear();
    for (const auto& [account, slots] : all)
        this->backend_places[account] = limit_of_places(slots);
    this->limits_changed();
}

void quota_controller::release_place(std::string_view account, bool rejected)
{
    this->client.release_place(account, rejected, this->clock.now());
    this->flush();
}

void quota_controller::cancel_place(std::string_view account)
{
    this->client.cancel_place(account, this->clock.now());
    this->flush();
}

void quota_controller::reorder_place(
    std::string_view account, const draw_order& order)
{
    this->client.reorder_place(account, order, this->clock.now());
    this->flush();
}

void quota_controller::limits_changed()
{
    global_limits all = this->organisation_limits;
    all.insert(this->backend_limits.begin(), this->backend_limits.end());
    all.insert(this->backend_places.begin(), this->backend_places.end());
    all.insert(this->retry_limits.begin(), this->retry_limits.end());
    all.insert(this->hedge_limits.begin(), this->hedge_limits.end());
    this->has_limits = !all.empty();
    std::erase_if(
        this->logged_totals,
        [&all](const auto& one)
        {
            return !all.contains(one.first);
        });
    this->accountant.set_limits(all, this->clock.now());
    this->client.set_limits(std::move(all));
    this->tick();
}

void quota_controller::routers_listed(std::span<const router_address> all)
{
    this->addresses.clear();
    for (const router_address& one : all)
        this->addresses[one.name] = one.address;
    this->accountant.set_router_count(all.size());
    this->client.set_accountants(select_accountants(all), all.size());
    this->tick();
}

void quota_controller::query_received(
    const quota_query& query, std::string_view from)
{
    this->peers.send(
        from, this->accountant.handle_query(query, this->clock.now()));
    this->send_late_replies();
}

void quota_controller::send_late_replies()
{
    for (const quota_accountant::late_reply& one :
         this->accountant.take_late_replies())
    {
        if (one.router == this->settings.router)
        {
            this->reply_received(one.reply);
            continue;
        }
        const auto address = this->addresses.find(one.router);
        if (address != this->addresses.end())
            this->peers.send(address->second, one.reply);
    }
}

void quota_controller::reply_received(const quota_reply& reply)
{
    this->client.handle_reply(reply, this->clock.now());
    this->flush();
}

void quota_controller::draw(quota_request request, handler on_decision)
{
    asio::post(
        this->loop,
        [this,
         request = std::move(request),
         on_decision = std::move(on_decision)]
        {
            this->process_draw(request, on_decision);
        });
}

void quota_controller::process_draw(
    const quota_request& request, handler on_decision)
{
    if (!this->has_limits)
    {
        // The limit has been removed since the request arrived. A service that
        // isn't configured any more gets no retries.
        on_decision({0, !is_retry_account(request.account), {}, {}});
        return;
    }
    const std::uint64_t id = this->client.draw(
        request.account,
        request.amount,
        request.longest_wait,
        this->clock.now(),
        request.order);
    this->pending_draws.emplace(id, std::move(on_decision));
    this->flush();
}

void quota_controller::count_request(std::string service)
{
    asio::post(
        this->loop,
        [this, service = std::move(service)]
        {
            this->client.count_request(
                retry_account(service), this->clock.now());
        });
}

void quota_controller::refund(std::string account, double amount)
{
    asio::post(
        this->loop,
        [this, account = std::move(account), amount]
        {
            this->client.return_tokens(account, amount, this->clock.now());
        });
}

void quota_controller::flush()
{
    for (auto messages = this->client.take_messages(); !messages.empty();
         messages = this->client.take_messages())
    {
        for (const quota_message& message : messages)
            this->send(message);
    }
    this->send_late_replies();
    for (const quota_decision& decision : this->client.take_decisions())
        this->deliver(decision);
    this->schedule_tick();
}

void quota_controller::send(const quota_message& message)
{
    if (message.to == this->settings.router)
    {
        const instant now = this->clock.now();
        this->client.handle_reply(
            this->accountant.handle_query(message.query, now), now);
        return;
    }
    const auto address = this->addresses.find(message.to);
    if (address != this->addresses.end())
        this->peers.send(address->second, message.query);
}

void quota_controller::deliver(const quota_decision& decision)
{
    const auto found = this->pending_draws.find(decision.id);
    if (found == this->pending_draws.end())
        return;
    const handler on_decision = std::move(found->second);
    this->pending_draws.erase(found);
    on_decision(decision);
}

bool quota_controller::has_work() const
{
    return this->has_limits || !this->pending_draws.empty();
}

void quota_controller::schedule_tick()
{
    if (this->stopped || !this->has_work())
        return;
    const duration wait = this->client.next_tick() - this->clock.now();
    this->timer.expires_after(std::max(wait, duration::zero()));
    this->timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error && !this->stopped)
                this->tick();
        });
}

void quota_controller::tick()
{
    const instant now = this->clock.now();
    if (!this->has_work())
        return;
    this->accountant.tick(now);
    this->client.tick(now);
    if (now - this->last_log >= log_interval)
        this->log_usage();
    this->flush();
}

void quota_controller::log_usage()
{
    this->last_log = this->clock.now();
    if (this->logged_accountant != this->client.accountant())
    {
        this->logged_accountant = this->client.accountant();
        this->events.report(
            event_id::accountant_changed,
            {{"accountant", this->logged_accountant}});
    }
    this->log_refused_accounts();
}

void quota_controller::log_refused_accounts()
{
    for (const auto& [name, one] : this->accountant.accounts())
    {
        // A refused hedge is no failure: the request's first attempt runs on.
        if (is_hedge_account(name))
            continue;
        account_totals& before = this->logged_totals[name];
        const class_usage totals =
            one.order ? one.order->totals : class_usage();
        const class_usage by_class = usage_since(before.by_class, totals);
        if (one.order)
            this->count_usage(by_class);
        if (one.refused > before.refused)
            this->log_refusals(
                name,
                one,
                one.used - before.used,
                one.refused - before.refused,
                by_class);
        before = {one.used, one.refused, totals};
    }
}

void quota_controller::log_refusals(
    std::string_view name,
    const quota_accountant::account& one,
    double used,
    double refused,
    const class_usage& by_class)
{
    constexpr double seconds_per_minute = 60;
    const std::int64_t share = this->share_percent();
    if (is_retry_account(name))
    {
        this->events.report(
            event_id::retries_limited,
            {{"service", service_of_account(name)},
             {"requests", to_integer(one.requests)},
             {"used", to_integer(used)},
             {"refused", to_integer(refused)},
             {"left", to_integer(one.bucket.level())},
             {"share_percent", share}});
        return;
    }
    if (is_server_account(name))
    {
        this->events.report(
            event_id::server_limit_reached,
            {{"server", server_of_account(name)},
             {"per_minute",
              to_integer(one.limit.total.per_second * seconds_per_minute)},
             {"used", to_integer(used)},
             {"refused", to_integer(refused)},
             {"share_percent", share}});
        return;
    }
    if (one.order)
        this->log_ordered_limit(name, one, used, refused, by_class);
    else
        this->events.report(
            event_id::limit_reached,
            {{"organisation", name},
             {"per_second", to_integer(one.limit.total.per_second)},
             {"burst", to_integer(one.limit.total.burst)},
             {"used", to_integer(used)},
             {"refused", to_integer(refused)},
             {"left", to_integer(one.bucket.level())},
             {"share_percent", share}});
}

void quota_controller::log_ordered_limit(
    std::string_view name,
    const quota_accountant::account& one,
    double used,
    double refused,
    const class_usage& by_class)
{
    const auto& [urgent, normal, deferrable] = by_class;
    this->events.report(
        event_id::limit_reached,
        {{"organisation", name},
         {"per_second", to_integer(one.limit.total.per_second)},
         {"burst", to_integer(one.limit.total.burst)},
         {"used", to_integer(used)},
         {"refused", to_integer(refused)},
         {"left", to_integer(one.bucket.level())},
         {"share_percent", this->share_percent()},
         {"used_urgent", to_integer(urgent.used)},
         {"refused_urgent", to_integer(urgent.refused)},
         {"used_normal", to_integer(normal.used)},
         {"refused_normal", to_integer(normal.refused)},
         {"used_deferrable", to_integer(deferrable.used)},
         {"refused_deferrable", to_integer(deferrable.refused)}});
}

std::int64_t quota_controller::share_percent() const
{
    constexpr double percent = 100;
    return to_integer(this->accountant.share() * percent);
}

quota_controller::class_usage
quota_controller::usage_since(const class_usage& before, const class_usage& now)
{
    class_usage since{};
    for (std::size_t i = 0; i < since.size(); ++i)
        since[i] = {
            now[i].used - before[i].used, now[i].refused - before[i].refused};
    return since;
}

void quota_controller::count_usage(const class_usage& used) const
{
    if (!this->settings.on_class_usage)
        return;
    for (std::size_t i = 0; i < used.size(); ++i)
        this->settings.on_class_usage(
            static_cast<std::uint8_t>(i), used[i].used, used[i].refused);
}

} // namespace roseworks::app

#include "app/gateway/quota_desk.hpp"

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
constexpr std::size_t most_accountants = 8;

/// Minimum capacity of an accountant's VM, relative to the largest one: an
/// accountant gets the messages of all other routers and answers each at once.
constexpr double strong_enough = 0.5;

/// Interval between log lines about refusals of an account.
constexpr duration log_pause = std::chrono::seconds(1);

/// @return The rank of a router as accountant. It is the same on all routers,
///         and hashed so that the order differs from that of the names: a VM
///         that comes first by name doesn't get every single-router role.
std::uint64_t weight_of(std::string_view name)
{
    constexpr std::uint64_t seed = 0x71756F7461;
    return XXH64(name.data(), name.size(), seed);
}

std::vector<std::string> accountants_among(std::span<const router_address> all)
{
    double strongest = 0;
    for (const router_address& one : all)
        strongest = std::max(strongest, one.capacity);
    std::vector<std::string> names;
    for (const router_address& one : all)
    {
        if (one.capacity >= strongest * strong_enough)
            names.push_back(one.name);
    }
    std::ranges::sort(names, std::ranges::greater(), weight_of);
    names.resize(std::min(names.size(), most_accountants));
    return names;
}

std::int64_t whole(double amount)
{
    return static_cast<std::int64_t>(amount);
}

quota_client::options client_options(const quota_desk::options& settings)
{
    quota_client::options made;
    made.router = settings.router;
    made.bounds = settings.bounds;
    made.way = settings.way;
    made.seed = settings.seed;
    return made;
}

} // namespace

quota_desk::quota_desk(
    asio::io_context& context,
    options chosen,
    const clock_port& time,
    event_sink& sink,
    gateway_peer_port& others)
    : loop(context)
    , settings(std::move(chosen))
    , clock(time)
    , events(sink)
    , peers(others)
    , accountant(this->settings.router, this->settings.bounds)
    , client(client_options(this->settings))
    , timer(context)
{
}

void quota_desk::start()
{
    this->logged = this->clock.now();
    this->arm();
}

void quota_desk::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

void quota_desk::configured(const deployment& configuration)
{
    this->of_organisations = limits_of(configuration, this->settings.bounds);
    this->limits_changed();
}

void quota_desk::servers_limited(std::span<const server_limit> all)
{
    this->of_servers.clear();
    for (const server_limit& one : all)
        this->of_servers[server_account(one.server)] =
            limit_of_server(one.per_second);
    this->limits_changed();
}

void quota_desk::limits_changed()
{
    counted_limits all = this->of_organisations;
    all.insert(this->of_servers.begin(), this->of_servers.end());
    this->is_limited = !all.empty();
    std::erase_if(
        this->told,
        [&all](const auto& one)
        {
            return !all.contains(one.first);
        });
    this->accountant.limits_changed(all, this->clock.now());
    this->client.limits_changed(std::move(all));
    this->tick();
}

void quota_desk::routers_listed(std::span<const router_address> all)
{
    this->addresses.clear();
    for (const router_address& one : all)
        this->addresses[one.name] = one.address;
    this->accountant.routers_known(all.size());
    this->client.accountants_known(accountants_among(all), all.size());
    this->tick();
}

void quota_desk::ask_heard(const quota_ask& ask, std::string_view from)
{
    this->peers.send(from, this->accountant.heard(ask, this->clock.now()));
}

void quota_desk::answer_heard(const quota_answer& answer)
{
    this->client.heard(answer, this->clock.now());
    this->flush();
}

void quota_desk::draw(quota_request request, handler on_decision)
{
    asio::post(
        this->loop,
        [this,
         request = std::move(request),
         on_decision = std::move(on_decision)]
        {
            this->draw_now(request, on_decision);
        });
}

void quota_desk::draw_now(const quota_request& request, handler on_decision)
{
    if (!this->is_limited)
    {
        // The limit has been removed since the request arrived.
        on_decision({0, true, {}, {}});
        return;
    }
    const std::uint64_t id = this->client.draw(
        request.organisation,
        request.amount,
        request.longest_wait,
        this->clock.now());
    this->waiting.emplace(id, std::move(on_decision));
    this->flush();
}

void quota_desk::give_back(std::string organisation, double amount)
{
    asio::post(
        this->loop,
        [this, organisation = std::move(organisation), amount]
        {
            this->client.give_back(organisation, amount, this->clock.now());
        });
}

void quota_desk::flush()
{
    for (auto messages = this->client.take_messages(); !messages.empty();
         messages = this->client.take_messages())
    {
        for (const quota_message& message : messages)
            this->send(message);
    }
    for (const quota_decision& decision : this->client.take_decisions())
        this->tell(decision);
    this->arm();
}

void quota_desk::send(const quota_message& message)
{
    if (message.to == this->settings.router)
    {
        const instant now = this->clock.now();
        this->client.heard(this->accountant.heard(message.ask, now), now);
        return;
    }
    const auto address = this->addresses.find(message.to);
    if (address != this->addresses.end())
        this->peers.send(address->second, message.ask);
}

void quota_desk::tell(const quota_decision& decision)
{
    const auto found = this->waiting.find(decision.id);
    if (found == this->waiting.end())
        return;
    const handler on_decision = std::move(found->second);
    this->waiting.erase(found);
    on_decision(decision);
}

bool quota_desk::has_work() const
{
    return this->is_limited || !this->waiting.empty();
}

void quota_desk::arm()
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

void quota_desk::tick()
{
    const instant now = this->clock.now();
    if (!this->has_work())
        return;
    this->accountant.tick(now);
    this->client.tick(now);
    if (now - this->logged >= log_pause)
        this->log_use();
    this->flush();
}

void quota_desk::log_use()
{
    this->logged = this->clock.now();
    if (this->asked != this->client.accountant())
    {
        this->asked = this->client.accountant();
        this->events.report(
            event_id::accountant_changed, {{"accountant", this->asked}});
    }
    this->log_limits();
}

void quota_desk::log_limits()
{
    for (const auto& [name, one] : this->accountant.accounts())
    {
        tally& before = this->told[name];
        if (one.refused > before.refused)
            this->log_refusals(
                name,
                one,
                one.used - before.used,
                one.refused - before.refused);
        before = {one.used, one.refused};
    }
}

void quota_desk::log_refusals(
    std::string_view name,
    const quota_accountant::account& one,
    double used,
    double refused)
{
    constexpr double percent = 100;
    constexpr double seconds_per_minute = 60;
    const std::int64_t share = whole(this->accountant.share() * percent);
    if (is_server_account(name))
    {
        this->events.report(
            event_id::server_limit_reached,
            {{"server", server_of_account(name)},
             {"per_minute", whole(one.limit.per_second * seconds_per_minute)},
             {"used", whole(used)},
             {"refused", whole(refused)},
             {"share_percent", share}});
        return;
    }
    this->events.report(
        event_id::limit_reached,
        {{"organisation", name},
         {"per_second", whole(one.limit.per_second)},
         {"burst", whole(one.limit.burst)},
         {"used", whole(used)},
         {"refused", whole(refused)},
         {"left", whole(one.bucket.level())},
         {"share_percent", share}});
}

} // namespace roseworks::app

#include "hedging_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace roseworks::testing
{

namespace
{

constexpr const char* service = "s";
constexpr duration message_interval = 100ms;

/// Of each request. One without an event counts with this time.
constexpr duration time_limit = 5s;

/// Requests that wait at a server, as a multiple of its slots.
constexpr std::uint32_t queue_factor = 3;

std::uint32_t share_of_slots(std::size_t slots, std::size_t routers)
{
    return std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(slots / routers));
}

} // namespace

hedging_fleet::hedging_fleet(options config)
    : settings(config)
    , random(config.seed)
    , accountant("r0", {})
    , servers(config.servers)
{
    const retry_allowance retries{0.2, 54, 10s};
    global_limits limits{{retry_account(service), limit_of_retries(retries)}};
    if (config.share > 0)
        limits[hedge_account(service)] =
            limit_of_hedges(service, config.share, retries.window);
    this->accountant.set_limits(limits, this->now());
    this->accountant.set_router_count(config.routers);
    for (std::size_t i = 0; i < config.routers; ++i)
    {
        router& added = this->routers.emplace_back();
        added.policy = std::make_unique<hedge_policy>(config.share);
        quota_client::options client_options;
        client_options.router = "r" + std::to_string(i);
        client_options.seed = this->random() << 20;
        added.client = std::make_unique<quota_client>(client_options);
        added.client->set_limits(limits);
        added.client->set_accountants({"r0"}, config.routers);
        added.in_flight.resize(config.servers);
    }
}

double hedging_fleet::random_unit()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void hedging_fleet::run(duration length)
{
    const instant end = this->now() + length;
    while (this->now() < end)
    {
        for (std::size_t i = 0; i < this->routers.size(); ++i)
        {
            this->routers[i].client->tick(this->now());
            this->exchange_messages(i);
        }
        this->accountant.tick(this->now());
        const instant next = std::min(end, this->now() + message_interval);
        for (instant at = this->now();;)
        {
            const double gap = -std::log(1 - this->random_unit()) /
                               this->settings.requests_per_second;
            at += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(gap));
            if (at >= next)
                break;
            this->queue.schedule(
                at,
                [this]
                {
                    this->arrive(this->random() % this->routers.size());
                });
        }
        this->queue.run_until(next);
    }
}

void hedging_fleet::exchange_messages(std::size_t number)
{
    quota_client& client = *this->routers[number].client;
    for (auto messages = client.take_messages(); !messages.empty();
         messages = client.take_messages())
    {
        for (const quota_message& message : messages)
            client.handle_reply(
                this->accountant.handle_query(message.query, this->now()),
                this->now());
    }
}

bool hedging_fleet::draw(std::size_t number, const std::string& account)
{
    quota_client& client = *this->routers[number].client;
    client.take_decisions();
    const std::uint64_t id = client.draw(account, 1, {}, this->now());
    this->exchange_messages(number);
    for (const quota_decision& decision : client.take_decisions())
    {
        if (decision.id == id)
            return decision.is_allowed;
    }
    return false;
}

std::optional<std::size_t>
hedging_fleet::choose(std::size_t number, std::optional<std::size_t> except)
{
    const router& from = this->routers[number];
    std::vector<std::size_t> candidates;
    const std::uint32_t limit =
        share_of_slots(this->settings.slots, this->settings.routers);
    for (std::size_t i = 0; i < this->servers.size(); ++i)
    {
        if (from.in_flight[i] < limit && i != except)
            candidates.push_back(i);
    }
    if (candidates.empty())
        return std::nullopt;
    const std::size_t one = candidates[this->random() % candidates.size()];
    const std::size_t other = candidates[this->random() % candidates.size()];
    return from.in_flight[other] < from.in_flight[one] ? other : one;
}

hedge_request hedging_fleet::request_of(const call& one)
{
    hedge_request made;
    made.kind = {"notes", 0};
    made.service = service;
    made.repeatable = true;
    made.output_begun = one.answered;
    made.attempts = 1;
    made.max_attempts = 2;
    return made;
}

void hedging_fleet::arrive(std::size_t number)
{
    router& at = this->routers[number];
    at.client->count_request(retry_account(service), this->now());
    ++this->request_count;
    auto to = this->choose(number, {});
    if (!to)
        to = this->random() % this->servers.size();
    const auto made = std::make_shared<call>();
    made->router = number;
    made->sent_at = this->now();
    this->send(made, race_side::first, *to);
    this->queue.schedule(
        this->now() + time_limit,
        [this, made]
        {
            this->give_up(made);
        });
    const auto plan = at.policy->plan_for(request_of(*made), this->now());
    if (plan.refused_by != hedge_limit::none)
        return;
    this->queue.schedule(
        this->now() + plan.delay,
        [this, made]
        {
            this->hedge(made);
        });
}

void hedging_fleet::send(
    const std::shared_ptr<call>& one, race_side side, std::size_t to)
{
    const auto sent = std::make_shared<attempt>();
    sent->owner = one;
    sent->side = side;
    sent->server = to;
    one->attempts[static_cast<std::size_t>(side)] = sent;
    server& at = this->servers[to];
    if (at.running >= this->settings.slots &&
        at.waiting.size() >= queue_factor * this->settings.slots)
    {
        ++this->rejection_count;
        this->routers[one->router].policy->rejected(service, this->now());
        sent->ended = true;
        if (one->race)
            one->race->ended(side);
        return;
    }
    ++this->routers[one->router].in_flight[to];
    if (at.running < this->settings.slots)
        this->begin(sent);
    else
        at.waiting.push_back(sent);
}

void hedging_fleet::begin(const std::shared_ptr<attempt>& one)
{
    one->running = true;
    ++this->servers[one->server].running;
    // Half of the time is the same for all, the rest varies.
    const double varied = 0.5 - 0.5 * std::log(1 - this->random_unit());
    const double factor = this->slowness(one->server, this->now());
    const auto time = std::chrono::duration_cast<duration>(
        this->settings.usual_time * varied * factor);
    this->queue.schedule(
        this->now() + time,
        [this, one]
        {
            if (!one->ended)
                this->event_arrives(one);
        });
}

void hedging_fleet::leave_server(attempt& one)
{
    server& at = this->servers[one.server];
    --this->routers[one.owner->router].in_flight[one.server];
    if (!one.running)
    {
        std::erase_if(
            at.waiting,
            [&one](const auto& other)
            {
                return other.get() == &one;
            });
        return;
    }
    --at.running;
    if (at.waiting.empty())
        return;
    const auto next = at.waiting.front();
    at.waiting.erase(at.waiting.begin());
    this->begin(next);
}

void hedging_fleet::end(attempt& one)
{
    if (std::exchange(one.ended, true))
        return;
    this->leave_server(one);
}

void hedging_fleet::event_arrives(const std::shared_ptr<attempt>& one)
{
    const std::shared_ptr<call> owner = one->owner;
    this->end(*one);
    if (owner->race && !owner->race->output_began(one->side, this->now()))
        return;
    owner->answered = true;
    const duration time = this->now() - owner->sent_at;
    this->times.push_back(time);
    // Where the hedge wins, this is when the first attempt is closed.
    this->routers[owner->router].policy->output_began(
        request_of(*owner).kind, time, this->now());
    for (const auto& other : owner->attempts)
    {
        if (other)
            this->end(*other);
    }
}

void hedging_fleet::give_up(const std::shared_ptr<call>& one)
{
    const bool was_rejected = one->attempts[0]->ended && !one->race;
    if (one->answered || was_rejected)
        return;
    one->answered = true;
    this->times.push_back(time_limit);
    this->routers[one->router].policy->output_began(
        request_of(*one).kind, time_limit, this->now());
    for (const auto& other : one->attempts)
    {
        if (other)
            this->end(*other);
    }
}

void hedging_fleet::hedge(const std::shared_ptr<call>& one)
{
    if (one->answered || one->attempts[0]->ended)
        return;
    router& at = this->routers[one->router];
    const auto to = this->choose(one->router, one->attempts[0]->server);
    const hedge_limit limit =
        at.policy->check(request_of(*one), to.has_value(), this->now());
    if (limit != hedge_limit::none)
        return;
    const bool in_budget = this->draw(one->router, hedge_account(service)) &&
                           this->draw(one->router, retry_account(service));
    if (!in_budget)
        return;
    ++this->hedge_count;
    this->latest_hedge = this->now();
    one->race.emplace(true, this->now());
    this->send(one, race_side::second, *to);
    this->queue.schedule(
        this->now() + attempt_race::max_stream_overlap,
        [this, one]
        {
            this->end_overlap(one);
        });
}

void hedging_fleet::end_overlap(const std::shared_ptr<call>& one)
{
    one->race->tick(this->now());
    if (one->race->must_close(race_side::first))
        this->end(*one->attempts[0]);
}

void hedging_fleet::reset()
{
    this->times.clear();
    this->request_count = 0;
    this->hedge_count = 0;
    this->rejection_count = 0;
}

duration hedging_fleet::percentile(double fraction) const
{
    std::vector<duration> sorted = this->times;
    const auto rank = static_cast<std::ptrdiff_t>(
        fraction * static_cast<double>(sorted.size() - 1));
    std::ranges::nth_element(sorted, sorted.begin() + rank);
    return sorted[static_cast<std::size_t>(rank)];
}

double hedging_fleet::extra_share() const
{
    return static_cast<double>(this->hedge_count) /
           static_cast<double>(this->request_count);
}

} // namespace roseworks::testing

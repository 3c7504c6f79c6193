#include "quota_fleet.hpp"

#include <algorithm>
#include <iterator>

namespace roseworks::testing
{

quota_fleet::quota_fleet(options config)
    : settings(config)
    , random(config.seed)
    , ideal_refilled_at(this->now())
{
    for (std::size_t i = 0; i < this->settings.routers; ++i)
        this->routers.emplace_back().name = "r" + std::to_string(i);
    for (std::size_t i = 0; i < this->settings.accountant_candidates; ++i)
        this->candidate_names.push_back(this->routers[i].name);
    for (router& target : this->routers)
    {
        this->start(target);
        this->set_routers(target);
    }
    for (std::size_t i = 0; i < this->routers.size(); ++i)
        this->flush(i);
}

std::string quota_fleet::account() const
{
    if (this->settings.hedge_share > 0)
        return hedge_account("s");
    return this->settings.retries ? retry_account("s") : organisation_name;
}

global_limits quota_fleet::limits() const
{
    if (this->settings.retries)
    {
        global_limits all{
            {retry_account("s"), limit_of_retries(*this->settings.retries)}};
        if (this->settings.hedge_share > 0)
            all[hedge_account("s")] = limit_of_hedges(
                "s",
                this->settings.hedge_share,
                this->settings.retries->window);
        return all;
    }
    deployment configuration;
    organisation entry;
    entry.name = organisation_name;
    entry.counts_tokens = true;
    if (this->settings.limit.per_second > 0)
        entry.limit = this->settings.limit;
    configuration.organisations = {entry};
    for (const auto& [name, limit] : this->settings.other_limits)
    {
        entry.name = name;
        entry.limit = limit;
        configuration.organisations->push_back(entry);
    }
    quota_bounds bounds;
    bounds.slack = this->settings.slack;
    return limits_of(configuration, bounds);
}

void quota_fleet::start(router& target)
{
    ++target.run;
    quota_client::options client_options;
    client_options.router = target.name;
    client_options.bounds.slack = this->settings.slack;
    client_options.mode = this->settings.mode;
    client_options.seed = this->random() << 20;
    target.client = std::make_unique<quota_client>(client_options);
    target.accountant = std::make_unique<quota_accountant>(
        target.name,
        client_options.bounds,
        quota_accountant::order_options{
            this->settings.order_by_urgency, this->settings.seed});
    target.scheduled_tick = instant::max();
    target.client->set_limits(this->limits());
    target.accountant->set_limits(this->limits(), this->now());
}

void quota_fleet::set_routers(router& target)
{
    target.client->set_accountants(this->candidate_names, this->routers.size());
    target.accountant->set_router_count(this->routers.size());
}

void quota_fleet::schedule_on(
    std::size_t number, instant when, std::function<void()> action)
{
    const std::uint64_t run = this->routers[number].run;
    this->queue.schedule(
        when,
        [this, number, run, action = std::move(action)]
        {
            const router& target = this->routers[number];
            if (target.run != run)
                return;
            if (target.frozen_until > this->now())
                this->schedule_on(number, target.frozen_until, action);
            else
                action();
        });
}

void quota_fleet::advance(duration length)
{
    this->queue.run_until(this->now() + length);
}

void quota_fleet::send(
    duration length,
    double tokens_per_second,
    double amount,
    duration max_wait,
    std::vector<double> weights)
{
    this->repeat_randomly(
        length,
        tokens_per_second / amount,
        std::move(weights),
        [this, amount, max_wait](std::size_t router)
        {
            this->handle_request(amount, max_wait, router);
        });
}

void quota_fleet::repeat_randomly(
    duration length,
    double per_second,
    std::vector<double> weights,
    const std::function<void(std::size_t router)>& action)
{
    if (weights.empty())
        weights.assign(this->routers.size(), 1.0);
    std::discrete_distribution<std::size_t> place(
        weights.begin(), weights.end());
    std::exponential_distribution<double> pause(per_second);
    const instant end = this->now() + length;
    const auto next = [&]
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(pause(this->random)));
    };
    for (instant when = this->now() + next(); when < end; when += next())
    {
        const std::size_t router = place(this->random);
        this->queue.schedule(
            when,
            [action, router]
            {
                action(router);
            });
    }
    this->queue.run_until(end);
}

void quota_fleet::send_kinds(
    duration length, std::vector<load_kind>& kinds, std::vector<double> weights)
{
    std::vector<double> rates;
    double total = 0;
    for (const load_kind& kind : kinds)
        total += rates.emplace_back(kind.per_second);
    std::discrete_distribution<std::size_t> choice(rates.begin(), rates.end());
    this->repeat_randomly(
        length,
        total,
        std::move(weights),
        [this, &kinds, choice](std::size_t router) mutable
        {
            load_kind& kind = kinds[choice(this->random)];
            this->draw_kind(
                router,
                {kind.amount, kind.account, &kind, this->now(), 0, kind.round});
        });
}

void quota_fleet::draw_kind(std::size_t number, open_draw request)
{
    this->schedule_on(
        number,
        this->now(),
        [this, number, request]
        {
            constexpr int wait_divisor = 4; // forward_options
            const load_kind& kind = *request.kind;
            draw_order order;
            if (this->settings.order_by_urgency)
            {
                order.objective_in_us = kind.objective.count();
                order.urgency_class = kind.urgency;
            }
            const std::uint64_t id = this->routers[number].client->draw(
                kind.account,
                kind.amount,
                kind.objective / wait_divisor,
                this->now(),
                order);
            this->open_draws[id] = request;
            this->flush(number);
        });
}

void quota_fleet::finish_kind(
    std::size_t number,
    const open_draw& request,
    const quota_decision& decision)
{
    load_kind& kind = *request.kind;
    if (request.round != kind.round)
        return;
    kind.sent += request.amount;
    const duration waited = this->now() - request.began;
    kind.longest_wait = std::max(kind.longest_wait, waited + decision.wait);
    if (decision.is_allowed)
    {
        kind.served += request.amount;
        return;
    }
    kind.shortest_retry_after =
        std::min(kind.shortest_retry_after, decision.retry_after);
    kind.longest_retry_after =
        std::max(kind.longest_retry_after, decision.retry_after);
    if (request.refusals + 1 >= kind.max_refusals)
        return;
    open_draw next = request;
    ++next.refusals;
    const std::size_t router = (number + 1) % this->routers.size();
    this->queue.schedule(
        this->now() + kind.retry_delay,
        [this, router, next]
        {
            this->draw_kind(router, next);
        });
}

bool quota_fleet::happens(double probability)
{
    std::uniform_real_distribution<double> chance(0, 1);
    return chance(this->random) < probability;
}

void quota_fleet::handle_request(
    double amount, duration max_wait, std::size_t number)
{
    this->ideal_bucket.refill(
        this->now() - this->ideal_refilled_at, this->settings.limit);
    this->ideal_refilled_at = this->now();
    if (this->ideal_bucket.take(amount, duration::zero(), this->settings.limit))
        this->ideal_served += amount;
    this->draw(number, amount, max_wait);
}

void quota_fleet::draw(std::size_t number, double amount, duration max_wait)
{
    this->schedule_on(
        number,
        this->now(),
        [this, number, amount, max_wait]
        {
            const std::uint64_t id = this->routers[number].client->draw(
                this->account(), amount, max_wait, this->now());
            this->open_draws[id] = {
                amount, this->account(), nullptr, this->now(), 0};
            this->flush(number);
        });
}

void quota_fleet::flush(std::size_t number)
{
    quota_client& client = *this->routers[number].client;
    for (const quota_message& message : client.take_messages())
        this->send_query(number, message);
    for (const quota_decision& decision : client.take_decisions())
        this->apply_decision(number, decision);
    this->schedule_tick(number);
}

void quota_fleet::send_query(std::size_t from, const quota_message& message)
{
    const std::size_t to = this->index_of(message.to);
    const auto answered = [this, from](const quota_reply& answer)
    {
        this->routers[from].client->handle_reply(answer, this->now());
        this->flush(from);
    };
    this->deliver(
        from,
        to,
        [this, from, to, query = message.query, answered]
        {
            const quota_reply answer =
                this->routers[to].accountant->handle_query(query, this->now());
            this->deliver(
                to,
                from,
                [answered, answer]
                {
                    answered(answer);
                });
        });
}

void quota_fleet::apply_decision(
    std::size_t number, const quota_decision& decision)
{
    const auto found = this->open_draws.find(decision.id);
    if (found == this->open_draws.end())
        return;
    const open_draw request = found->second;
    this->open_draws.erase(found);
    if (request.kind != nullptr)
        this->finish_kind(number, request, decision);
    if (!decision.is_allowed)
        return;
    this->served += request.amount;
    this->schedule_on(
        number,
        this->now() + decision.wait,
        [this, request]
        {
            this->uses.push_back(
                {this->now(), request.amount, request.account});
        });
}

void quota_fleet::schedule_tick(std::size_t number)
{
    router& target = this->routers[number];
    const instant due = std::max(target.client->next_tick(), this->now());
    if (target.scheduled_tick <= due)
        return;
    target.scheduled_tick = due;
    this->schedule_on(
        number,
        due,
        [this, number, due]
        {
            router& current = this->routers[number];
            if (current.scheduled_tick != due)
                return;
            current.scheduled_tick = instant::max();
            current.accountant->tick(this->now());
            current.client->tick(this->now());
            this->flush(number);
        });
}

void quota_fleet::deliver(
    std::size_t from, std::size_t to, std::function<void()> action)
{
    ++this->messages_sent;
    if (!this->reaches(from, to))
        return;
    int copies = this->happens(this->settings.loss) ? 0 : 1;
    copies += this->happens(this->settings.duplicate) ? 1 : 0;
    std::uniform_int_distribution<duration::rep> delay(
        this->settings.shortest_delay.count(),
        this->settings.longest_delay.count());
    for (int i = 0; i < copies; ++i)
        this->schedule_on(
            to, this->now() + duration(delay(this->random)), action);
}

void quota_fleet::restart(std::size_t number)
{
    router& target = this->routers[number];
    this->start(target);
    this->set_routers(target);
    this->flush(number);
}

void quota_fleet::restart_without_list(std::size_t number)
{
    this->start(this->routers[number]);
    this->flush(number);
}

void quota_fleet::freeze(std::size_t number, duration length)
{
    this->routers[number].frozen_until = this->now() + length;
}

void quota_fleet::add(std::size_t count)
{
    const std::size_t before = this->routers.size();
    for (std::size_t i = 0; i < count; ++i)
    {
        router& target = this->routers.emplace_back();
        target.name = "r" + std::to_string(before + i);
        this->start(target);
    }
    for (router& target : this->routers)
        this->set_routers(target);
    for (std::size_t i = before; i < this->routers.size(); ++i)
        this->flush(i);
}

void quota_fleet::set_limit(usage_limit limit)
{
    this->settings.limit = limit;
    for (router& target : this->routers)
    {
        target.client->set_limits(this->limits());
        target.accountant->set_limits(this->limits(), this->now());
    }
}

void quota_fleet::reset_counters()
{
    this->ideal_served = 0;
    this->served = 0;
}

double
quota_fleet::worst_window(std::string_view of_account, instant since) const
{
    const std::string_view account =
        this->settings.retries ? std::string_view() : of_account;
    const duration window = quota_bounds().window;
    std::vector<use> all;
    std::ranges::copy_if(
        this->uses,
        std::back_inserter(all),
        [account, since](const use& one)
        {
            return one.when >= since &&
                   (account.empty() || one.account == account);
        });
    std::ranges::sort(all, {}, &use::when);
    double sum = 0;
    double worst = 0;
    std::size_t first = 0;
    for (const use& entry : all)
    {
        sum += entry.amount;
        while (all[first].when + window < entry.when)
            sum -= all[first++].amount;
        worst = std::max(worst, sum);
    }
    return worst;
}

double quota_fleet::allowed() const
{
    const quota_bounds bounds;
    const double window = std::chrono::duration<double>(bounds.window).count();
    const usage_limit& limit = this->settings.limit;
    return (limit.per_second * window + limit.burst) * (1 + bounds.excess) +
           this->settings.slack;
}

std::size_t quota_fleet::index_of(const std::string& name) const
{
    const auto found = std::ranges::find(this->routers, name, &router::name);
    return static_cast<std::size_t>(found - this->routers.begin());
}

} // namespace roseworks::testing

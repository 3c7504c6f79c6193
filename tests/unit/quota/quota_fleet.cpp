#include "quota_fleet.hpp"

#include <algorithm>

namespace roseworks::testing
{

namespace
{

constexpr const char* organisation_name = "o1";

} // namespace

quota_fleet::quota_fleet(options chosen)
    : settings(chosen)
    , random(chosen.seed)
    , filled(this->time)
{
    for (std::size_t i = 0; i < this->settings.routers; ++i)
        this->routers.emplace_back().name = "r" + std::to_string(i);
    for (std::size_t i = 0; i < this->settings.strong; ++i)
        this->order.push_back(this->routers[i].name);
    for (router& one : this->routers)
    {
        this->start(one);
        this->tell_routers(one);
    }
    for (std::size_t i = 0; i < this->routers.size(); ++i)
        this->flush(i);
}

global_limits quota_fleet::limits() const
{
    deployment made;
    organisation one;
    one.name = organisation_name;
    one.counts_tokens = true;
    if (this->settings.limit.per_second > 0)
        one.limit = this->settings.limit;
    made.organisations = {one};
    quota_bounds bounds;
    bounds.slack = this->settings.slack;
    return limits_of(made, bounds);
}

void quota_fleet::start(router& one)
{
    ++one.run;
    quota_client::options made;
    made.router = one.name;
    made.bounds.slack = this->settings.slack;
    made.mode = this->settings.mode;
    made.seed = this->random() << 20;
    one.client = std::make_unique<quota_client>(made);
    one.accountant = std::make_unique<quota_accountant>(one.name, made.bounds);
    one.armed = instant::max();
    one.client->set_limits(this->limits());
    one.accountant->set_limits(this->limits(), this->time);
}

void quota_fleet::tell_routers(router& one)
{
    one.client->set_accountants(this->order, this->routers.size());
    one.accountant->set_router_count(this->routers.size());
}

void quota_fleet::at(instant when, std::function<void()> action)
{
    this->events.push({when, ++this->last_number, std::move(action)});
}

void quota_fleet::on(
    std::size_t number, instant when, std::function<void()> action)
{
    const std::uint64_t run = this->routers[number].run;
    this->at(
        when,
        [this, number, run, action = std::move(action)]
        {
            const router& one = this->routers[number];
            if (one.run != run)
                return;
            if (one.frozen_until > this->time)
                this->on(number, one.frozen_until, action);
            else
                action();
        });
}

void quota_fleet::run_until(instant when)
{
    while (!this->events.empty() && this->events.top().at <= when)
    {
        const event next = this->events.top();
        this->events.pop();
        this->time = std::max(this->time, next.at);
        next.action();
    }
    this->time = when;
}

void quota_fleet::pass(duration length)
{
    this->run_until(this->time + length);
}

void quota_fleet::send(
    duration length,
    double tokens_per_second,
    double amount,
    duration patience,
    std::vector<double> weights)
{
    if (weights.empty())
        weights.assign(this->routers.size(), 1.0);
    std::discrete_distribution<std::size_t> place(
        weights.begin(), weights.end());
    std::exponential_distribution<double> pause(tokens_per_second / amount);
    const instant end = this->time + length;
    const auto next = [&]
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(pause(this->random)));
    };
    for (instant when = this->time + next(); when < end; when += next())
    {
        const std::size_t router = place(this->random);
        this->at(
            when,
            [this, amount, patience, router]
            {
                this->arrive(amount, patience, router);
            });
    }
    this->run_until(end);
}

void quota_fleet::arrive(double amount, duration patience, std::size_t number)
{
    this->perfect.refill(this->time - this->filled, this->settings.limit);
    this->filled = this->time;
    if (this->perfect.take(amount, duration::zero(), this->settings.limit))
        this->owed += amount;
    this->on(
        number,
        this->time,
        [this, number, amount, patience]
        {
            const std::uint64_t id = this->routers[number].client->draw(
                organisation_name, amount, patience, this->time);
            this->open[id] = amount;
            this->flush(number);
        });
}

void quota_fleet::flush(std::size_t number)
{
    quota_client& client = *this->routers[number].client;
    for (const quota_message& message : client.take_messages())
        this->ask(number, message);
    for (const quota_decision& made : client.take_decisions())
        this->decide(number, made);
    this->arm(number);
}

void quota_fleet::ask(std::size_t from, const quota_message& message)
{
    const std::size_t to = this->number_of(message.to);
    const auto answered = [this, from](const quota_reply& answer)
    {
        this->routers[from].client->handle_reply(answer, this->time);
        this->flush(from);
    };
    this->carry(
        from,
        to,
        [this, from, to, ask = message.query, answered]
        {
            const quota_reply answer =
                this->routers[to].accountant->handle_query(ask, this->time);
            this->carry(
                to,
                from,
                [answered, answer]
                {
                    answered(answer);
                });
        });
}

void quota_fleet::decide(std::size_t number, const quota_decision& made)
{
    const auto found = this->open.find(made.id);
    if (found == this->open.end())
        return;
    const double amount = found->second;
    this->open.erase(found);
    if (!made.is_allowed)
        return;
    this->served += amount;
    this->on(
        number,
        this->time + made.wait,
        [this, amount]
        {
            this->uses.push_back({this->time, amount});
        });
}

void quota_fleet::arm(std::size_t number)
{
    router& one = this->routers[number];
    const instant due = std::max(one.client->next_tick(), this->time);
    if (one.armed <= due)
        return;
    one.armed = due;
    this->on(
        number,
        due,
        [this, number, due]
        {
            router& late = this->routers[number];
            if (late.armed != due)
                return;
            late.armed = instant::max();
            late.accountant->tick(this->time);
            late.client->tick(this->time);
            this->flush(number);
        });
}

void quota_fleet::carry(
    std::size_t from, std::size_t to, std::function<void()> action)
{
    ++this->words_sent;
    if (!this->reaches(from, to))
        return;
    std::uniform_real_distribution<double> chance(0, 1);
    int copies = chance(this->random) < this->settings.loss ? 0 : 1;
    copies += chance(this->random) < this->settings.duplicate ? 1 : 0;
    std::uniform_int_distribution<duration::rep> delay(
        this->settings.shortest_delay.count(),
        this->settings.longest_delay.count());
    for (int i = 0; i < copies; ++i)
        this->on(to, this->time + duration(delay(this->random)), action);
}

void quota_fleet::restart(std::size_t number)
{
    router& one = this->routers[number];
    this->start(one);
    this->tell_routers(one);
    this->flush(number);
}

void quota_fleet::freeze(std::size_t number, duration length)
{
    this->routers[number].frozen_until = this->time + length;
}

void quota_fleet::add(std::size_t count)
{
    const std::size_t before = this->routers.size();
    for (std::size_t i = 0; i < count; ++i)
    {
        router& one = this->routers.emplace_back();
        one.name = "r" + std::to_string(before + i);
        this->start(one);
    }
    for (router& one : this->routers)
        this->tell_routers(one);
    for (std::size_t i = before; i < this->routers.size(); ++i)
        this->flush(i);
}

void quota_fleet::set_limit(usage_limit limit)
{
    this->settings.limit = limit;
    for (router& one : this->routers)
    {
        one.client->set_limits(this->limits());
        one.accountant->set_limits(this->limits(), this->time);
    }
}

void quota_fleet::forget()
{
    this->owed = 0;
    this->served = 0;
}

double quota_fleet::worst_window() const
{
    const duration window = quota_bounds().window;
    std::vector<use> all = this->uses;
    std::ranges::sort(all, {}, &use::when);
    double sum = 0;
    double worst = 0;
    std::size_t first = 0;
    for (const use& one : all)
    {
        sum += one.amount;
        while (all[first].when + window < one.when)
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

std::size_t quota_fleet::number_of(const std::string& name) const
{
    const auto found = std::ranges::find(this->routers, name, &router::name);
    return static_cast<std::size_t>(found - this->routers.begin());
}

} // namespace roseworks::testing

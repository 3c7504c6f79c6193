#include "limited_fleet.hpp"

#include "core/quota/global_limits.hpp"

#include <algorithm>

namespace roseworks::testing
{

namespace
{

/// As the gateway's desk has them.
constexpr duration permit_life = 500ms;
constexpr duration patience_for_permits = 1s;
constexpr duration longest_retry = 1s;

const engine_id limited_engine(1);
constexpr std::string_view limited_server = "i-1";

/// Routers have so long to learn of a limit.
constexpr duration excused = 500ms;
constexpr duration window = 4s;

} // namespace

limited_fleet::limited_fleet(options chosen)
    : settings(chosen)
    , random(chosen.seed)
{
    servable_routes model;
    model.id = servable_id(1);
    model.name = "m";
    model.max_streams = 24;
    model.load_estimate_ms = 1000;
    model.max_replicas = 8;
    for (std::uint32_t i = 1; i <= this->settings.engines; ++i)
    {
        const std::string number = std::to_string(i);
        model.ready.push_back(
            {replica_id(1000 + i),
             engine_id(i),
             "10.0.0." + number + ":80",
             "a",
             "vm" + number});
    }
    this->table.put(std::move(model));
    for (std::size_t i = 0; i < this->settings.routers; ++i)
        this->routers.emplace_back().name = "r" + std::to_string(i);
    for (std::size_t i = 0; i < this->settings.strong; ++i)
        this->order.push_back(this->routers[i].name);
    for (router& one : this->routers)
        this->start(one);
}

void limited_fleet::start(router& one)
{
    ++one.run;
    dispatcher::options traffic;
    traffic.affinity = prefix_affinity::none;
    traffic.data_centre = "a";
    traffic.seed = this->random();
    one.traffic = std::make_unique<dispatcher>(traffic);
    one.traffic->table_changed(this->table.publish(), this->time);
    server_limits::options known;
    known.router = one.name;
    one.limits = std::make_unique<server_limits>(known);
    quota_client::options asks;
    asks.router = one.name;
    asks.mode = this->settings.mode;
    asks.seed = this->random() << 20;
    one.client = std::make_unique<quota_client>(asks);
    one.accountant = std::make_unique<quota_accountant>(one.name, asks.bounds);
    one.client->set_accountants(this->order, this->routers.size());
    one.accountant->set_router_count(this->routers.size());
    one.draws.clear();
    one.armed = instant::max();
}

void limited_fleet::at(instant when, std::function<void()> action)
{
    this->events.push({when, ++this->last_number, std::move(action)});
}

void limited_fleet::on(
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

void limited_fleet::run_until(instant when)
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

void limited_fleet::send(
    duration length, double per_second, std::size_t at_last)
{
    const std::size_t first = at_last == 0 ? 0 : this->routers.size() - at_last;
    std::uniform_int_distribution<std::size_t> place(
        first, this->routers.size() - 1);
    std::exponential_distribution<double> pause(per_second);
    const instant end = this->time + length;
    const auto next = [&]
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(pause(this->random)));
    };
    for (instant when = this->time + next(); when < end; when += next())
    {
        const std::size_t number = place(this->random);
        this->on(
            number,
            when,
            [this, number]
            {
                this->arrive(number);
            });
    }
    this->run_until(end);
}

void limited_fleet::arrive(std::size_t number)
{
    request_info info;
    info.target = "m";
    info.deadline = this->time + this->settings.patience;
    info.objective = this->time + this->settings.patience / 4;
    this->routers[number].traffic->submit(std::move(info), this->time);
    this->flush(number);
}

void limited_fleet::flush(std::size_t number)
{
    this->take_changes(number);
    this->take_commands(number);
    this->take_draws(number);
    router& one = this->routers[number];
    if (const auto word = one.limits->take_update(this->time))
    {
        for (std::size_t to = 0; to < this->routers.size(); ++to)
        {
            if (to == number)
                continue;
            this->carry(
                number,
                to,
                [this, to, word = *word]
                {
                    this->routers[to].limits->handle_update(word, this->time);
                    this->flush(to);
                });
        }
    }
    this->arm(number);
}

void limited_fleet::take_changes(std::size_t number)
{
    router& one = this->routers[number];
    const auto changes = one.limits->take_changes();
    for (const server_limit& changed : changes)
        one.traffic->server_limited(
            {limited_engine, {}}, changed.per_second, this->time);
    if (changes.empty())
        return;
    global_limits all;
    for (const server_limit& limit : one.limits->in_force())
        all[server_account(limit.server)] = limit_of_server(limit.per_second);
    one.accountant->set_limits(all, this->time);
    one.client->set_limits(std::move(all));
    one.client->tick(this->time);
}

void limited_fleet::take_commands(std::size_t number)
{
    for (const dispatch_command& command :
         this->routers[number].traffic->take_commands())
    {
        if (const auto* given = std::get_if<grant>(&command))
            this->run_request(number, *given);
        else if (std::holds_alternative<refusal>(command))
            ++this->refused_count;
        else if (const auto* wanted = std::get_if<permit_wanted>(&command))
            this->draw_permit(number, *wanted);
    }
}

void limited_fleet::run_request(std::size_t number, const grant& given)
{
    const instant sent = this->time;
    std::uniform_int_distribution<duration::rep> length(
        this->settings.service.count(), 2 * this->settings.service.count());
    const instant end = sent + duration(length(this->random));
    if (given.engine == limited_engine)
    {
        const bool is_named = this->named_since != instant::max();
        this->arrivals.push_back(
            {sent, is_named && sent - this->named_since >= excused});
    }
    this->on(
        number,
        end,
        [this, number, given, sent]
        {
            this->answer(number, given, sent);
        });
}

void limited_fleet::answer(std::size_t number, const grant& given, instant sent)
{
    router& one = this->routers[number];
    if (given.engine == limited_engine)
    {
        const auto named = this->named_since <= this->time
                               ? std::optional(this->settings.per_second)
                               : std::nullopt;
        one.limits->handle_answer(limited_server, named, sent, this->time);
    }
    attempt_result result;
    result.total = this->time - sent;
    result.first_byte = result.total / 2;
    one.traffic->finished(given.request, result, this->time);
    ++this->answered_count;
    this->flush(number);
}

void limited_fleet::draw_permit(std::size_t number, const permit_wanted& what)
{
    router& one = this->routers[number];
    const std::uint64_t id = one.client->draw(
        server_account(limited_server),
        1,
        what.waits ? patience_for_permits : duration::zero(),
        this->time);
    one.draws[id] = what.server;
}

void limited_fleet::take_draws(std::size_t number)
{
    router& one = this->routers[number];
    for (const quota_message& message : one.client->take_messages())
        this->ask(number, message);
    for (const quota_decision& made : one.client->take_decisions())
        this->decide(number, made);
}

void limited_fleet::ask(std::size_t from, const quota_message& message)
{
    const std::size_t to = this->number_of(message.to);
    if (to == from)
    {
        router& self = this->routers[from];
        self.client->handle_reply(
            self.accountant->handle_query(message.query, this->time),
            this->time);
        this->take_draws(from);
        return;
    }
    const auto answered = [this, from](const quota_reply& made)
    {
        this->routers[from].client->handle_reply(made, this->time);
        this->flush(from);
    };
    this->carry(
        from,
        to,
        [this, from, to, ask = message.query, answered]
        {
            const quota_reply made =
                this->routers[to].accountant->handle_query(ask, this->time);
            this->carry(
                to,
                from,
                [answered, made]
                {
                    answered(made);
                });
        });
}

void limited_fleet::decide(std::size_t number, const quota_decision& made)
{
    router& one = this->routers[number];
    const auto found = one.draws.find(made.id);
    if (found == one.draws.end())
        return;
    const server_place place = found->second;
    one.draws.erase(found);
    if (!made.is_allowed)
    {
        one.traffic->permit_refused(
            place, std::min(made.retry_after, longest_retry), this->time);
        return;
    }
    one.traffic->permit_given(place, this->time + made.wait, this->time);
    this->on(
        number,
        this->time + made.wait + permit_life,
        [this, number, place]
        {
            router& later = this->routers[number];
            if (later.traffic->permit_withdrawn(place))
                later.client->return_tokens(
                    server_account(limited_server), 1, this->time);
        });
    this->take_commands(number);
}

void limited_fleet::arm(std::size_t number)
{
    router& one = this->routers[number];
    const bool counts = !one.limits->in_force().empty();
    instant due = counts ? one.client->next_tick() : instant::max();
    if (const auto next = one.limits->next_tick())
        due = std::min(due, *next);
    if (const auto next = one.traffic->next_tick())
        due = std::min(due, *next);
    if (due == instant::max())
        return;
    due = std::max(due, this->time);
    if (one.armed <= due)
        return;
    one.armed = due;
    this->on(
        number,
        due,
        [this, number, due]
        {
            router& later = this->routers[number];
            if (later.armed != due)
                return;
            later.armed = instant::max();
            later.limits->tick(this->time);
            later.accountant->tick(this->time);
            if (!later.limits->in_force().empty())
                later.client->tick(this->time);
            later.traffic->tick(this->time);
            this->flush(number);
        });
}

void limited_fleet::carry(
    std::size_t from, std::size_t to, std::function<void()> action)
{
    ++this->words_sent;
    std::uniform_real_distribution<double> chance(0, 1);
    const bool is_lost = chance(this->random) < this->settings.loss;
    if (is_lost || !this->reaches(from, to))
        return;
    std::uniform_int_distribution<duration::rep> delay(
        this->settings.shortest_delay.count(),
        this->settings.longest_delay.count());
    this->on(to, this->time + duration(delay(this->random)), std::move(action));
}

void limited_fleet::restart(std::size_t number)
{
    this->start(this->routers[number]);
    this->flush(number);
}

void limited_fleet::freeze(std::size_t number, duration length)
{
    this->routers[number].frozen_until = this->time + length;
}

std::size_t limited_fleet::worst_window() const
{
    std::size_t worst = 0;
    std::size_t first = 0;
    std::size_t count = 0;
    for (const arrival& one : this->arrivals)
    {
        count += one.is_counted ? 1 : 0;
        for (; this->arrivals[first].when + window < one.when; ++first)
            count -= this->arrivals[first].is_counted ? 1 : 0;
        worst = std::max(worst, count);
    }
    return worst;
}

double limited_fleet::allowed() const
{
    constexpr double tolerance = 1.5;
    constexpr double beside = 5;
    const double seconds = std::chrono::duration<double>(window).count();
    return tolerance * this->settings.per_second * seconds + beside;
}

std::size_t limited_fleet::arrived_within(duration length) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->arrivals,
        [this, length](const arrival& one)
        {
            return one.when > this->time - length;
        }));
}

std::size_t limited_fleet::number_of(const std::string& name) const
{
    const auto found = std::ranges::find(this->routers, name, &router::name);
    return static_cast<std::size_t>(found - this->routers.begin());
}

} // namespace roseworks::testing

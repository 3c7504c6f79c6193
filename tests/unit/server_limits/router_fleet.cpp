#include "router_fleet.hpp"

#include "core/pacing/update_kinds.hpp"
#include "core/quota/global_limits.hpp"

#include <algorithm>

namespace roseworks::testing
{

namespace
{

/// The same values as in the gateway.
constexpr duration permit_lifetime = 500ms;
constexpr duration permit_max_wait = 1s;
constexpr duration longest_retry = 1s;

constexpr std::string_view server_prefix = "i-";
constexpr std::string_view service = "s"; ///< of all engines

std::string vm_name(std::uint32_t engine)
{
    return "vm" + std::to_string(engine);
}

engine_id engine_of(std::string_view server)
{
    const std::string number(server.substr(server_prefix.size()));
    return engine_id(static_cast<std::uint32_t>(std::stoul(number)));
}

} // namespace

std::string router_fleet::server_name(engine_id engine)
{
    return std::string(server_prefix) + std::to_string(engine.value);
}

router_fleet::router_fleet(options config)
    : settings(config)
    , random(config.seed)
{
    servable_routes model;
    model.id = servable_id(1);
    model.name = "m";
    model.max_streams = this->settings.slots;
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
             vm_name(i)});
    }
    this->table.put(std::move(model));
    for (std::size_t i = 0; i < this->settings.routers; ++i)
        this->routers.emplace_back().name = "r" + std::to_string(i);
    for (std::size_t i = 0; i < this->settings.accountant_candidates; ++i)
        this->candidate_names.push_back(this->routers[i].name);
    for (router& target : this->routers)
        this->start(target);
}

void router_fleet::start(router& target)
{
    ++target.run;
    dispatcher::options traffic;
    traffic.affinity = prefix_affinity::none;
    traffic.objectives_first = this->settings.saturation.has_value();
    traffic.data_centre = "a";
    traffic.seed = this->random();
    target.traffic = std::make_unique<dispatcher>(traffic);
    target.traffic->table_changed(this->table.publish(), this->queue.now());
    server_limits::options known;
    known.router = target.name;
    target.limits = std::make_unique<server_limits>(known);
    target.brittle_services =
        std::make_unique<server_limits>(brittle_service_options(target.name));
    target.saturated_servers =
        std::make_unique<server_limits>(saturated_server_options(target.name));
    quota_client::options client_options;
    client_options.router = target.name;
    client_options.mode = this->settings.mode;
    client_options.seed = this->random() << 20;
    target.client = std::make_unique<quota_client>(client_options);
    target.accountant =
        std::make_unique<quota_accountant>(target.name, client_options.bounds);
    target.client->set_accountants(this->candidate_names, this->routers.size());
    target.accountant->set_router_count(this->routers.size());
    target.draws.clear();
    target.scheduled_tick = instant::max();
}

void router_fleet::schedule_on(
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
            if (target.frozen_until > this->queue.now())
                this->schedule_on(number, target.frozen_until, action);
            else
                action();
        });
}

void router_fleet::send(duration length, double per_second, std::size_t at_last)
{
    const std::size_t first = at_last == 0 ? 0 : this->routers.size() - at_last;
    std::uniform_int_distribution<std::size_t> place(
        first, this->routers.size() - 1);
    std::exponential_distribution<double> pause(per_second);
    const instant end = this->queue.now() + length;
    const auto next = [&]
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(pause(this->random)));
    };
    for (instant when = this->queue.now() + next(); when < end; when += next())
    {
        const std::size_t number = place(this->random);
        this->schedule_on(
            number,
            when,
            [this, number]
            {
                this->handle_request(number);
            });
    }
    this->queue.run_until(end);
}

request_info router_fleet::make_request()
{
    request_info info;
    info.target = "m";
    info.deadline = this->queue.now() + this->settings.caller_timeout;
    info.objective = this->queue.now() + this->settings.caller_timeout / 4;
    return info;
}

void router_fleet::request_submitted(std::size_t, ticket) {}

void router_fleet::request_refused(std::size_t, const refusal&) {}

void router_fleet::handle_request(std::size_t number)
{
    const ticket id = this->routers[number].traffic->submit(
        this->make_request(), this->queue.now());
    this->request_submitted(number, id);
    this->flush(number);
}

void router_fleet::flush(std::size_t number)
{
    this->take_changes(number);
    this->take_commands(number);
    this->take_draws(number);
    const router& target = this->routers[number];
    for (server_limits* known :
         {target.limits.get(),
          target.brittle_services.get(),
          target.saturated_servers.get()})
    {
        if (const auto update = known->take_update(this->queue.now()))
            this->send_limits(number, *update);
    }
    this->schedule_tick(number);
}

void router_fleet::send_limits(
    std::size_t number, const server_limit_update& update)
{
    for (std::size_t to = 0; to < this->routers.size(); ++to)
    {
        if (to == number)
            continue;
        this->deliver(
            number,
            to,
            [this, to, update]
            {
                const update_kinds kinds = split_by_kind(update);
                router& other = this->routers[to];
                other.limits->handle_update(
                    kinds.rate_limits, this->queue.now());
                other.brittle_services->handle_update(
                    kinds.brittle_services, this->queue.now());
                other.saturated_servers->handle_update(
                    kinds.saturated_servers, this->queue.now());
                this->flush(to);
            });
    }
}

bool router_fleet::counts_places(const router& target) const
{
    return !target.brittle_services->in_force().empty() ||
           !target.saturated_servers->in_force().empty();
}

bool router_fleet::counts_places(const router& target, engine_id engine) const
{
    return !target.brittle_services->in_force().empty() ||
           target.saturated_servers->limit_of(
               saturated_server_key(server_name(engine))) > 0;
}

double router_fleet::places_of(const router& target) const
{
    const bool is_brittle = !target.brittle_services->in_force().empty();
    return is_brittle || !this->settings.saturation
               ? this->settings.slots
               : this->settings.saturation->places(this->settings.slots);
}

std::string
router_fleet::account_of(const router& target, engine_id engine) const
{
    return this->counts_places(target, engine)
               ? places_account(server_name(engine))
               : server_account(server_name(engine));
}

void router_fleet::update_limits(router& target)
{
    global_limits all;
    for (const server_limit& limit : target.limits->in_force())
        all[server_account(limit.server)] = limit_of_server(limit.per_second);
    for (std::uint32_t i = 1; i <= this->settings.engines; ++i)
    {
        if (this->counts_places(target, engine_id(i)))
            all[places_account(server_name(engine_id(i)))] =
                limit_of_places(this->places_of(target));
    }
    target.accountant->set_limits(all, this->queue.now());
    target.client->set_limits(std::move(all));
    target.client->tick(this->queue.now());
}

void router_fleet::handle_notice(
    std::size_t number,
    engine_id engine,
    const server_notice& notice,
    instant sent)
{
    const router& target = this->routers[number];
    if (notice.leaving)
        target.traffic->vm_leaving(
            vm_name(engine.value), true, this->queue.now());
    if (notice.pause)
        target.traffic->server_paused(
            {engine, {}}, *notice.pause, this->queue.now());
    else if (!notice.is_queueing())
        target.traffic->server_took_request(
            {engine, {}}, notice.no_room, this->queue.now());
    target.limits->handle_answer(
        server_name(engine), notice.rate_limit, sent, this->queue.now());
    target.brittle_services->handle_answer(
        brittle_service_key(service),
        notice.max_rejections,
        sent,
        this->queue.now());
    if (!this->settings.saturation)
        return;
    const std::string key = saturated_server_key(server_name(engine));
    const bool is_shown = this->settings.saturation->is_shown(
        notice,
        this->settings.slots,
        target.saturated_servers->limit_of(key) > 0);
    target.saturated_servers->handle_answer(
        key,
        is_shown ? std::optional(1.0) : std::nullopt,
        sent,
        this->queue.now());
}

void router_fleet::take_changes(std::size_t number)
{
    router& target = this->routers[number];
    const auto changes = target.limits->take_changes();
    for (const server_limit& changed : changes)
        target.traffic->server_limited(
            {engine_of(changed.server), {}},
            changed.per_second,
            this->queue.now());
    const auto brittle_changes = target.brittle_services->take_changes();
    const auto saturated_changes = target.saturated_servers->take_changes();
    if (changes.empty() && brittle_changes.empty() && saturated_changes.empty())
        return;
    this->update_limits(target);
    const bool is_counting_changed =
        !brittle_changes.empty() || !saturated_changes.empty();
    for (std::uint32_t i = 1;
         is_counting_changed && i <= this->settings.engines;
         ++i)
        target.traffic->server_counted(
            {engine_id(i), {}},
            this->counts_places(target, engine_id(i)),
            this->queue.now());
}

void router_fleet::take_commands(std::size_t number)
{
    for (const dispatch_command& command :
         this->routers[number].traffic->take_commands())
    {
        if (const auto* granted = std::get_if<grant>(&command))
            this->run_request(number, *granted);
        else if (const auto* refused = std::get_if<refusal>(&command))
        {
            ++this->refused_count;
            this->request_refused(number, *refused);
        }
        else if (const auto* wanted = std::get_if<permit_wanted>(&command))
            this->draw_permit(number, *wanted);
        else if (const auto* place = std::get_if<place_released>(&command))
            this->routers[number].client->release_place(
                places_account(server_name(place->server.engine)),
                place->rejected,
                this->queue.now());
        else if (
            const auto* cancelled = std::get_if<permit_cancelled>(&command))
            this->routers[number].client->cancel_place(
                places_account(server_name(cancelled->server.engine)),
                this->queue.now());
    }
}

draw_order router_fleet::order_of(const permit_wanted& wanted) const
{
    draw_order order;
    order.rank = wanted.rank;
    if (wanted.objective != instant::max())
        order.objective_in_us = std::max<std::int64_t>(
            duration(wanted.objective - this->queue.now()).count(), 0);
    return order;
}

void router_fleet::draw_permit(std::size_t number, const permit_wanted& wanted)
{
    router& target = this->routers[number];
    if (wanted.reorders)
    {
        target.client->reorder_place(
            places_account(server_name(wanted.server.engine)),
            this->order_of(wanted),
            this->queue.now());
        return;
    }
    const std::uint64_t id = target.client->draw(
        this->account_of(target, wanted.server.engine),
        1,
        wanted.waits ? permit_max_wait : duration::zero(),
        this->queue.now(),
        this->order_of(wanted));
    target.draws[id] = wanted.server;
}

void router_fleet::take_draws(std::size_t number)
{
    router& target = this->routers[number];
    for (const quota_message& message : target.client->take_messages())
        this->send_query(number, message);
    this->take_late_replies(number);
    for (const quota_decision& decision : target.client->take_decisions())
        this->apply_decision(number, decision);
}

void router_fleet::take_late_replies(std::size_t number)
{
    for (const quota_accountant::late_reply& one :
         this->routers[number].accountant->take_late_replies())
    {
        const std::size_t to = this->index_of(one.router);
        const auto receive = [this, to, reply = one.reply]
        {
            this->routers[to].client->handle_reply(reply, this->queue.now());
            this->flush(to);
        };
        if (to == number)
            this->schedule_on(to, this->queue.now(), receive);
        else
            this->deliver(number, to, receive);
    }
}

void router_fleet::send_query(std::size_t from, const quota_message& message)
{
    const std::size_t to = this->index_of(message.to);
    if (to == from)
    {
        router& self = this->routers[from];
        self.client->handle_reply(
            self.accountant->handle_query(message.query, this->queue.now()),
            this->queue.now());
        this->take_draws(from);
        return;
    }
    const auto answered = [this, from](const quota_reply& reply)
    {
        this->routers[from].client->handle_reply(reply, this->queue.now());
        this->flush(from);
    };
    this->deliver(
        from,
        to,
        [this, from, to, query = message.query, answered]
        {
            const quota_reply reply =
                this->routers[to].accountant->handle_query(
                    query, this->queue.now());
            this->take_late_replies(to);
            this->deliver(
                to,
                from,
                [answered, reply]
                {
                    answered(reply);
                });
        });
}

void router_fleet::apply_decision(
    std::size_t number, const quota_decision& decision)
{
    router& target = this->routers[number];
    const auto found = target.draws.find(decision.id);
    if (found == target.draws.end())
        return;
    const server_place place = found->second;
    target.draws.erase(found);
    if (!decision.is_allowed)
    {
        target.traffic->permit_refused(
            place,
            std::min(decision.retry_after, longest_retry),
            this->queue.now());
        return;
    }
    target.traffic->permit_given(
        place, this->queue.now() + decision.wait, this->queue.now());
    this->take_commands(number);
    if (this->counts_places(target, place.engine))
        return;
    this->schedule_on(
        number,
        this->queue.now() + decision.wait + permit_lifetime,
        [this, number, place]
        {
            router& current = this->routers[number];
            if (current.traffic->permit_withdrawn(place))
                current.client->return_tokens(
                    server_account(server_name(place.engine)),
                    1,
                    this->queue.now());
        });
}

void router_fleet::schedule_tick(std::size_t number)
{
    router& target = this->routers[number];
    const bool counts =
        !target.limits->in_force().empty() || this->counts_places(target);
    instant due = counts ? target.client->next_tick() : instant::max();
    if (const auto next = target.limits->next_tick())
        due = std::min(due, *next);
    for (const server_limits* known :
         {target.brittle_services.get(), target.saturated_servers.get()})
    {
        if (const auto next = known->next_tick())
            due = std::min(due, *next);
    }
    if (const auto next = target.traffic->next_tick())
        due = std::min(due, *next);
    if (due == instant::max())
        return;
    due = std::max(due, this->queue.now());
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
            current.limits->tick(this->queue.now());
            current.brittle_services->tick(this->queue.now());
            current.saturated_servers->tick(this->queue.now());
            current.accountant->tick(this->queue.now());
            if (!current.limits->in_force().empty() ||
                this->counts_places(current))
                current.client->tick(this->queue.now());
            current.traffic->tick(this->queue.now());
            this->flush(number);
        });
}

void router_fleet::deliver(
    std::size_t from, std::size_t to, std::function<void()> action)
{
    ++this->messages_sent;
    std::uniform_real_distribution<double> chance(0, 1);
    const bool is_lost = chance(this->random) < this->settings.loss;
    if (is_lost || !this->reaches(from, to))
        return;
    std::uniform_int_distribution<duration::rep> delay(
        this->settings.shortest_delay.count(),
        this->settings.longest_delay.count());
    this->schedule_on(
        to,
        this->queue.now() + duration(delay(this->random)),
        std::move(action));
}

void router_fleet::restart(std::size_t number)
{
    this->start(this->routers[number]);
    this->flush(number);
}

void router_fleet::freeze(std::size_t number, duration length)
{
    this->routers[number].frozen_until = this->queue.now() + length;
}

std::size_t router_fleet::index_of(const std::string& name) const
{
    const auto found = std::ranges::find(this->routers, name, &router::name);
    return static_cast<std::size_t>(found - this->routers.begin());
}

void router_fleet::end_attempt(
    std::size_t number, const grant& granted, const attempt_result& result)
{
    const auto finish = this->routers[number].traffic->finished(
        granted.request, result, this->queue.now());
    if (finish.final_answer)
        ++(result.how == attempt_result::end::answered ? this->answered_count
                                                       : this->refused_count);
    this->flush(number);
}

} // namespace roseworks::testing

#include "fake_fleet.hpp"

#include <roseworks/codec.hpp>

#include <algorithm>
#include <variant>

namespace roseworks::test
{

namespace
{

constexpr duration hop = std::chrono::milliseconds(1);
constexpr duration housekeeping_interval = std::chrono::milliseconds(500);
constexpr stamp_ms wall_start = 1'700'000'000'000;

} // namespace

fake_fleet::fake_fleet(controller::options wanted)
    : defaults(std::move(wanted))
{
    this->at_time(
        housekeeping_interval,
        [this]
        {
            this->housekeeping();
        });
}

stamp_ms fake_fleet::wall() const
{
    return wall_start + std::chrono::duration_cast<std::chrono::milliseconds>(
                            this->time.time_since_epoch())
                            .count();
}

void fake_fleet::at_time(duration delay, action what)
{
    this->events.emplace(
        std::pair{this->time + delay, ++this->event_number}, std::move(what));
}

void fake_fleet::to_router(std::size_t index, duration delay, action what)
{
    const std::uint64_t run = this->routers[index]->run;
    this->at_time(
        delay,
        [this, index, run, what = std::move(what)]
        {
            router& target = *this->routers[index];
            if (!target.alive || target.run != run)
            {
                return;
            }
            if (target.paused)
            {
                target.deferred.push_back(what);
                return;
            }
            what();
            this->pump(index);
        });
}

std::size_t fake_fleet::add_router(const std::string& name)
{
    this->routers.push_back(std::make_unique<router>());
    this->routers.back()->name = name;
    this->vms[name] = {name, "127.0.0.1:1", "dc", true, false};
    this->start(this->routers.size() - 1);
    return this->routers.size() - 1;
}

void fake_fleet::start(std::size_t index)
{
    router& target = *this->routers[index];
    ++target.run;
    controller::options settings = this->defaults;
    settings.name = target.name;
    settings.data_centre = "dc";
    settings.incarnation =
        static_cast<std::uint64_t>(this->time.time_since_epoch().count());
    settings.seed = index + 1;
    target.control = std::make_unique<controller>(settings);
    target.alive = true;
    target.paused = false;
    target.hold_orders = false;
    target.deferred.clear();
    target.lefts.clear();
    target.next_tick = instant::max();
    target.control->start(fleet_state{}, this->wall(), this->time);
    this->deliver_log(index);
    this->pump(index);
}

void fake_fleet::put(
    entity_kind kind, const std::string& name, entity_spec spec)
{
    config_change change;
    change.author = "operator";
    entity_change item;
    item.kind = kind;
    item.name = name;
    item.expected = this->folded.entity_revision(kind, name);
    item.spec = std::move(spec);
    change.changes.push_back(std::move(item));
    record value;
    value.id = {author_id(1), 1, ++this->admin_sequence};
    value.stamp = this->wall();
    value.payload = std::move(change);
    this->append(encode(value));
}

engine_id
fake_fleet::add_engine(const std::string& name, fake_engine::options what)
{
    engine_spec spec;
    spec.address = "127.0.0.1:" + std::to_string(9000 + this->engines.size());
    spec.vm = name + "-vm";
    spec.data_centre = "dc";
    spec.memory_mib = what.memory_mib;
    spec.accelerators = 8;
    spec.fencing = what.fencing;
    this->vms[spec.vm] = {spec.vm, spec.address, "dc", false, false};
    this->put(entity_kind::engine, name, spec);
    const engine_id id = this->folded.find_engine(name);
    this->engines[id] = std::make_unique<fake_engine>(what);
    return id;
}

void fake_fleet::add_model(const std::string& name, model_spec spec)
{
    this->put(entity_kind::model, name, std::move(spec));
}

void fake_fleet::add_adapter(const std::string& name, adapter_spec spec)
{
    this->put(entity_kind::adapter, name, std::move(spec));
}

void fake_fleet::append(std::vector<std::byte> bytes)
{
    this->log.push_back(bytes);
    const auto value = decode(bytes);
    const log_offset offset(this->log.size());
    const fold_result result = this->folded.apply(offset, *value);
    if (this->on_record)
    {
        this->on_record(*value, result);
    }
    for (std::size_t index = 0; index < this->routers.size(); ++index)
    {
        this->to_router(
            index,
            this->log_delay,
            [this, index]
            {
                this->deliver_log(index);
            });
    }
}

void fake_fleet::deliver_log(std::size_t index)
{
    router& target = *this->routers[index];
    if (this->log_down || target.log_cut)
    {
        target.control->log_unreachable(this->time);
        return;
    }
    std::vector<log_entry> entries;
    for (std::uint64_t offset = target.control->state().folded().value + 1;
         offset <= this->log.size();
         ++offset)
    {
        entries.push_back({log_offset(offset), this->log[offset - 1]});
    }
    target.control->log_read(
        entries, log_offset(this->log.size() + 1), this->wall(), this->time);
}

void fake_fleet::deliver_peers()
{
    std::vector<session_id> alive;
    for (const auto& item : this->routers)
    {
        if (item->alive && !item->paused && item->control->joined())
        {
            alive.push_back(item->control->session());
        }
    }
    for (std::size_t index = 0; index < this->routers.size(); ++index)
    {
        this->to_router(
            index,
            hop,
            [this, index, alive]
            {
                this->routers[index]->control->peers_changed(alive, this->time);
            });
    }
}

void fake_fleet::housekeeping()
{
    std::vector<vm_entry> list;
    for (const auto& [name, vm] : this->vms)
    {
        list.push_back(vm);
    }
    for (std::size_t index = 0; index < this->routers.size(); ++index)
    {
        this->to_router(
            index,
            hop,
            [this, index, list]
            {
                this->deliver_log(index);
                this->routers[index]->control->vms_listed(list, this->time);
            });
    }
    this->deliver_peers();
    this->at_time(
        housekeeping_interval,
        [this]
        {
            this->housekeeping();
        });
}

void fake_fleet::pump(std::size_t index)
{
    router& target = *this->routers[index];
    if (!target.alive)
    {
        return;
    }
    for (control_command& command : target.control->take_commands())
    {
        if (target.commands_left &&
            !std::holds_alternative<folded_record>(command))
        {
            if (*target.commands_left == 0)
            {
                this->kill(index);
                return;
            }
            --*target.commands_left;
        }
        this->handle(index, std::move(command));
    }
    // One tick a microsecond at the earliest, so that time moves on.
    const instant next =
        std::max(target.control->next_tick(), this->time + duration(1));
    if (target.next_tick <= this->time || next < target.next_tick)
    {
        target.next_tick = next;
        if (next != instant::max())
        {
            this->to_router(
                index,
                next - this->time,
                [this, index]
                {
                    router& ticked = *this->routers[index];
                    if (this->time >= ticked.next_tick)
                    {
                        ticked.control->tick(this->wall(), this->time);
                    }
                });
        }
    }
}

void fake_fleet::handle(std::size_t index, control_command command)
{
    router& target = *this->routers[index];
    if (auto* batch = std::get_if<append_batch>(&command))
    {
        this->append_batch_of(index, std::move(*batch));
    }
    else if (auto* order = std::get_if<engine_order>(&command))
    {
        this->order_of(index, std::move(*order));
    }
    else if (auto* read = std::get_if<read_engine>(&command))
    {
        const engine_id id = read->engine;
        this->at_time(
            hop,
            [this, index, id]
            {
                engine_report report;
                report.engine = id;
                if (!this->cut_engines.contains(id))
                {
                    report = this->engines[id]->report(id, this->time);
                }
                this->to_router(
                    index,
                    hop,
                    [this, index, report]
                    {
                        this->routers[index]->control->engine_read(
                            report, this->time);
                    });
            });
    }
    else if (auto* demand = std::get_if<forward_demand>(&command))
    {
        for (std::size_t other = 0; other < this->routers.size(); ++other)
        {
            if (this->routers[other]->control->session() != demand->to)
            {
                continue;
            }
            const servable_demand what = demand->what;
            this->to_router(
                other,
                hop,
                [this, other, what]
                {
                    this->routers[other]->control->demanded(what, this->time);
                });
        }
    }
    else if (auto* visit = std::get_if<forward_visit>(&command))
    {
        for (std::size_t other = 0; other < this->routers.size(); ++other)
        {
            if (this->routers[other]->control->session() != visit->to)
            {
                continue;
            }
            this->to_router(
                other,
                hop,
                [this, other, what = visit->what]
                {
                    this->routers[other]->control->visited(what, this->time);
                });
        }
    }
    else if (auto* claim = std::get_if<claim_result>(&command))
    {
        target.claims.push_back(*claim);
    }
    else if (auto* gone = std::get_if<left>(&command))
    {
        target.lefts.push_back(*gone);
    }
    else if (auto* seen = std::get_if<grants_seen>(&command))
    {
        target.grants = std::move(seen->hints);
    }
    else if (auto* alarm = std::get_if<divergence_alarm>(&command))
    {
        target.alarms.push_back(*alarm);
    }
}

void fake_fleet::append_batch_of(std::size_t index, append_batch batch)
{
    this->at_time(
        hop,
        [this, index, batch = std::move(batch)]
        {
            append_outcome outcome = append_outcome::unknown;
            if (!this->log_down && !this->routers[index]->log_cut)
            {
                for (const std::vector<std::byte>& entry : batch.entries)
                {
                    this->append(entry);
                }
                const bool lost = this->lose_answer && this->lose_answer();
                outcome = lost ? append_outcome::unknown : append_outcome::done;
            }
            const std::uint64_t number = batch.batch;
            this->to_router(
                index,
                hop,
                [this, index, number, outcome]
                {
                    this->routers[index]->control->append_answered(
                        number, outcome, this->time);
                });
        });
}

void fake_fleet::order_of(std::size_t index, engine_order order)
{
    router& target = *this->routers[index];
    target.orders.push_back(order);
    if (!target.control->may_send(order, this->time))
    {
        const std::uint64_t number = order.order;
        this->to_router(
            index,
            hop,
            [this, index, number]
            {
                this->routers[index]->control->order_answered(
                    number, order_outcome::not_sent, this->time);
            });
        return;
    }
    action arrive = [this, index, order]
    {
        order_outcome outcome = order_outcome::not_sent;
        if (!this->cut_engines.contains(order.engine))
        {
            outcome = this->engines.at(order.engine)->order(order, this->time);
            this->check_engine(order.engine);
        }
        if (this->lose_order_answer && this->lose_order_answer())
        {
            outcome = order_outcome::unknown;
        }
        this->to_router(
            index,
            hop,
            [this, index, number = order.order, outcome]
            {
                this->routers[index]->control->order_answered(
                    number, outcome, this->time);
            });
    };
    if (target.hold_orders)
    {
        target.held_orders.push_back(std::move(arrive));
        return;
    }
    this->at_time(hop, std::move(arrive));
}

void fake_fleet::check_engine(engine_id id)
{
    const std::optional<engine_view> view = this->folded.engine(id);
    fake_engine& engine = *this->engines.at(id);
    if (engine.memory_used() > view->spec->memory_mib)
    {
        this->found.push_back(
            std::string(view->name) + " holds " +
            std::to_string(engine.memory_used()) + " MiB");
    }
    this->folded.for_each_servable(
        [&](const servable_view& servable)
        {
            const std::size_t here = this->resident(std::string(servable.name));
            if (here > servable.max_replicas)
            {
                this->found.push_back(
                    std::string(servable.name) + " has " +
                    std::to_string(here) + " replicas loaded");
            }
        });
}

void fake_fleet::run(duration length)
{
    this->run_until(
        []
        {
            return false;
        },
        length);
}

bool fake_fleet::run_until(const std::function<bool()>& done, duration limit)
{
    const instant end = this->time + limit;
    while (!done())
    {
        const auto next = this->events.begin();
        if (next->first.first > end)
        {
            this->time = end;
            return done();
        }
        this->time = next->first.first;
        const action what = std::move(next->second);
        this->events.erase(next);
        what();
    }
    return true;
}

void fake_fleet::demand(
    std::size_t index, servable_id what, std::uint32_t waiting)
{
    servable_demand item;
    item.servable = what;
    item.waiting = waiting;
    this->to_router(
        index,
        duration{},
        [this, index, item]
        {
            this->routers[index]->control->demanded(item, this->time);
        });
}

void fake_fleet::keep_demanding(
    std::size_t index, servable_id what, std::uint32_t waiting)
{
    const std::uint64_t epoch = this->demand_epoch;
    this->demand(index, what, waiting);
    this->at_time(
        housekeeping_interval,
        [this, index, what, waiting, epoch]
        {
            if (epoch == this->demand_epoch)
            {
                this->keep_demanding(index, what, waiting);
            }
        });
}

void fake_fleet::stop_demanding()
{
    ++this->demand_epoch;
}

void fake_fleet::kill(std::size_t index)
{
    this->routers[index]->alive = false;
    this->routers[index]->held_orders.clear();
    this->routers[index]->commands_left.reset();
}

void fake_fleet::restart(std::size_t index)
{
    this->kill(index);
    this->start(index);
}

void fake_fleet::pause(std::size_t index)
{
    this->routers[index]->paused = true;
}

void fake_fleet::resume(std::size_t index)
{
    router& target = *this->routers[index];
    target.paused = false;
    std::vector<action> waiting = std::exchange(target.deferred, {});
    for (const action& what : waiting)
    {
        what();
        this->pump(index);
    }
}

void fake_fleet::let_orders_go(std::size_t index)
{
    router& target = *this->routers[index];
    target.hold_orders = false;
    std::vector<action> waiting = std::exchange(target.held_orders, {});
    for (const action& what : waiting)
    {
        what();
    }
}

void fake_fleet::remove_vm(const std::string& vm)
{
    this->vms.erase(vm);
}

servable_id fake_fleet::servable(const std::string& name) const
{
    return this->folded.find_servable(name);
}

std::size_t
fake_fleet::replicas(const std::string& name, replica_state state) const
{
    std::size_t count = 0;
    this->folded.for_each_replica_of(
        this->servable(name),
        [&](const replica_view& item)
        {
            count += item.state == state ? 1 : 0;
        });
    return count;
}

std::size_t fake_fleet::replicas(const std::string& name) const
{
    std::size_t count = 0;
    this->folded.for_each_replica_of(
        this->servable(name),
        [&](const replica_view&)
        {
            ++count;
        });
    return count;
}

std::size_t fake_fleet::resident(const std::string& name) const
{
    std::size_t count = 0;
    for (const auto& [id, engine] : this->engines)
    {
        count += engine->count(name);
    }
    return count;
}

fake_engine& fake_fleet::engine(engine_id id)
{
    return *this->engines.at(id);
}

fake_fleet::router& fake_fleet::at(std::size_t index)
{
    return *this->routers[index];
}

std::size_t fake_fleet::size() const
{
    return this->routers.size();
}

const fleet_state& fake_fleet::oracle() const
{
    return this->folded;
}

instant fake_fleet::now() const
{
    return this->time;
}

const std::vector<std::string>& fake_fleet::violations() const
{
    return this->found;
}

} // namespace roseworks::test

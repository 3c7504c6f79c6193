#include "fake_fleet.hpp"

#include <roseworks/codec.hpp>

#include <algorithm>
#include <variant>

namespace roseworks::test
{

namespace
{

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

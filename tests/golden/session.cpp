#include "tests/golden/session.hpp"

#include "tests/golden/record_line.hpp"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <stdexcept>
#include <utility>
#include <variant>

namespace roseworks::golden
{

namespace
{

constexpr duration hop = std::chrono::milliseconds(1);
constexpr duration housekeeping_interval = std::chrono::milliseconds(500);
constexpr stamp_ms wall_start = 1'700'000'000'000;
constexpr instant start_time{std::chrono::seconds(1000)};

/// A wait that long is none.
constexpr duration longest_wait = std::chrono::hours(24);

} // namespace

session::session()
{
    this->at_time(
        housekeeping_interval,
        [this]
        {
            this->housekeeping();
        });
}

const std::string& session::transcript() const
{
    return this->text;
}

void session::write(std::string_view who, std::string_view what)
{
    const auto passed = (this->time - start_time).count();
    char stamp[32];
    std::snprintf(
        stamp,
        sizeof(stamp),
        "%7lld.%03lld ",
        static_cast<long long>(passed / 1000),
        static_cast<long long>(passed % 1000));
    this->text += stamp;
    this->text += who;
    this->text += ": ";
    this->text += what;
    this->text += '\n';
}

stamp_ms session::wall() const
{
    return wall_start + std::chrono::duration_cast<std::chrono::milliseconds>(
                            this->time - start_time)
                            .count();
}

std::string session::engine_of(engine_id id) const
{
    return engine_name(id, this->folded);
}

void session::at_time(duration delay, action what)
{
    this->events.emplace(
        std::pair{this->time + delay, ++this->event_number}, std::move(what));
}

void session::to_router(std::size_t index, duration delay, action what)
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

void session::run(duration length)
{
    const instant end = this->time + length;
    while (!this->events.empty() && this->events.begin()->first.first <= end)
    {
        const auto next = this->events.begin();
        this->time = next->first.first;
        const action what = std::move(next->second);
        this->events.erase(next);
        what();
    }
    this->time = end;
}

void session::start(std::size_t index)
{
    router& target = *this->routers[index];
    ++target.run;
    controller::options settings;
    settings.name = target.name;
    settings.data_centre = "dc";
    settings.incarnation =
        static_cast<std::uint64_t>(this->time.time_since_epoch().count());
    settings.seed = index + 1;
    dispatcher::options traffic;
    traffic.data_centre = "dc";
    traffic.seed = index + 1;
    target.control = std::make_unique<controller>(settings);
    target.traffic = std::make_unique<dispatcher>(traffic);
    target.builder = routing_table_builder();
    target.routes.clear();
    target.published_available = false;
    target.alive = true;
    target.paused = false;
    target.hold_orders = false;
    target.deferred.clear();
    target.next_tick = instant::max();
    target.control->start(fleet_state{}, this->wall(), this->time);
    target.builder.rebuild(target.control->state());
    this->deliver_log(index);
    this->pump(index);
}

void session::housekeeping()
{
    std::vector<vm_entry> list;
    for (const auto& [name, vm] : this->vms)
    {
        list.push_back(vm);
    }
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
            [this, index, list, alive]
            {
                controller& control = *this->routers[index]->control;
                this->deliver_log(index);
                control.vms_listed(list, this->time);
                control.peers_changed(alive, this->time);
            });
    }
    this->at_time(
        housekeeping_interval,
        [this]
        {
            this->housekeeping();
        });
}

void session::pump(std::size_t index)
{
    if (!this->routers[index]->alive)
    {
        return;
    }
    while (this->pump_once(index))
    {
    }
    router& target = *this->routers[index];
    const bool available = target.control->log_available(this->time);
    if (available != target.published_available)
    {
        this->handle(index, publish_table());
        this->pump(index);
        return;
    }
    this->arm(index);
}

bool session::pump_once(std::size_t index)
{
    router& target = *this->routers[index];
    const auto carry_out = [this, index](auto& what)
    {
        this->handle(index, what);
    };
    std::vector<control_command> control = target.control->take_commands();
    for (control_command& command : control)
    {
        std::visit(carry_out, command);
    }
    std::vector<dispatch_command> traffic = target.traffic->take_commands();
    for (dispatch_command& command : traffic)
    {
        std::visit(carry_out, command);
    }
    return !control.empty() || !traffic.empty();
}

void session::arm(std::size_t index)
{
    router& target = *this->routers[index];
    instant due = target.control->next_tick();
    due = std::min(due, target.traffic->next_tick().value_or(due));
    // One tick a microsecond at the earliest, so that time moves on.
    due = std::max(due, this->time + duration(1));
    const bool armed = target.next_tick > this->time && target.next_tick <= due;
    if (armed || due > this->time + longest_wait)
    {
        return;
    }
    target.next_tick = due;
    this->to_router(
        index,
        due - this->time,
        [this, index]
        {
            this->tick(index);
        });
}

void session::tick(std::size_t index)
{
    router& target = *this->routers[index];
    if (this->time < target.next_tick)
    {
        return;
    }
    target.control->tick(this->wall(), this->time);
    target.traffic->tick(this->time);
}

void session::write_routes(std::size_t index)
{
    router& target = *this->routers[index];
    const routing_table_ptr table = target.builder.table();
    std::string line = table->log_available() ? "" : " (log away)";
    for (const std::string& name : table->servable_names())
    {
        for (const route& item : table->find_servable(name)->ready)
        {
            line += " " + name + "@" + this->engine_of(item.engine) + "/" +
                    std::to_string(item.replica.value);
        }
    }
    if (line != target.routes)
    {
        this->write(target.name, "routes:" + line);
        target.routes = line;
    }
    target.traffic->table_changed(table, this->time);
}

std::size_t session::find_by_lease(const std::string& engine, bool holds) const
{
    const engine_id id = this->folded.find_engine(engine);
    const session_id holder = this->folded.engine(id)->holder;
    for (std::size_t index = 0; index < this->routers.size(); ++index)
    {
        const router& item = *this->routers[index];
        const bool is_holder = holder && item.control->session() == holder;
        if (is_holder == holds && (holds || item.alive))
        {
            return index;
        }
    }
    throw std::runtime_error("no such router for " + engine);
}

std::size_t session::find_router(const std::string& name) const
{
    const std::size_t colon = name.find(':');
    if (colon != std::string::npos)
    {
        const bool holds = name.substr(0, colon) == "holder";
        return this->find_by_lease(name.substr(colon + 1), holds);
    }
    for (std::size_t index = 0; index < this->routers.size(); ++index)
    {
        if (this->routers[index]->name == name)
        {
            return index;
        }
    }
    throw std::runtime_error("no router " + name);
}

void session::finish()
{
    this->write("end", "log #" + std::to_string(this->log.size()));
    this->folded.for_each_replica(
        [this](const replica_view& item)
        {
            this->write(
                "end",
                "replica " + std::to_string(item.id.value) + " of " +
                    servable_name(item.servable, this->folded) + " on " +
                    this->engine_of(item.engine) + " " +
                    std::string(to_string(item.state)));
        });
    for (const auto& [id, engine] : this->engines)
    {
        this->write(
            "end",
            this->engine_of(id) + " holds " +
                std::to_string(engine->memory_used()) + " MiB, " +
                std::to_string(engine->loads_begun()) + " loads begun");
    }
    for (const auto& item : this->routers)
    {
        const fleet_state& state = item->control->state();
        const bool same = state.folded() == this->folded.folded() &&
                          state.hash() == this->folded.hash();
        std::string line = same ? "state is the log's" : "state is behind";
        line += item->alive ? "" : ", dead";
        line += ", " + std::to_string(item->calls.size()) + " calls open";
        this->write(item->name, line);
    }
}

std::string play(std::string_view script)
{
    session playing;
    for (const step& what : read_script(script))
    {
        playing.perform(what);
    }
    playing.finish();
    return playing.transcript();
}

} // namespace roseworks::golden

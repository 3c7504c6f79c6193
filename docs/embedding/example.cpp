#include <roseworks/codec.hpp>
#include <roseworks/controller.hpp>
#include <roseworks/fleet_state.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/record.hpp>
#include <roseworks/rendezvous.hpp>
#include <roseworks/routing_table_builder.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Two routers decide one replica over an in-memory log, without the daemon,
/// sockets, threads or clocks. See docs/embedding/README.md.

namespace
{

using namespace roseworks;
using namespace std::chrono_literals;

constexpr duration step_length = 100ms;
constexpr duration load_time = 2s;
constexpr stamp_ms wall_start = 1'700'000'000'000;

/// An in-memory log. Any log works that gives all routers the same entries in
/// the same order.
class memory_log
{
public:
    void append(std::vector<std::byte> bytes)
    {
        this->entries.push_back(
            {log_offset(this->entries.size() + 1), std::move(bytes)});
    }

    /// @return The entries after an offset.
    std::span<const log_entry> after(log_offset offset) const
    {
        return std::span(this->entries).subspan(offset.value);
    }

    log_offset next() const
    {
        return log_offset(this->entries.size() + 1);
    }

private:
    std::vector<log_entry> entries;
};

/// A simulated model engine. Accepts every order whose fence isn't stale.
class memory_engine
{
public:
    order_outcome order(const engine_order& what, instant now)
    {
        if (what.held.value < this->highest_fence)
            return order_outcome::stale_fence;
        this->highest_fence = what.held.value;
        this->loads += what.action == order_action::load ? 1 : 0;
        this->loaded.replica = what.replica;
        this->loaded.servable = what.servable;
        this->loaded.memory_mib = what.memory_mib;
        this->loaded.version = what.version;
        this->ready_at = now + load_time;
        return order_outcome::accepted;
    }

    engine_report report(engine_id id, instant now) const
    {
        engine_report result;
        result.engine = id;
        result.reachable = true;
        result.incarnation = 1;
        if (!this->loaded.replica)
            return result;
        const bool ready = now >= this->ready_at;
        result.memory_used_mib = this->loaded.memory_mib;
        result.residents.push_back(this->loaded);
        result.residents.back().state =
            ready ? replica_state::ready : replica_state::loading;
        return result;
    }

    std::uint32_t loads = 0;

private:
    std::uint64_t highest_fence = 0;
    resident loaded;
    instant ready_at{};
};

/// One router: the core's controller, and the embedding program's execution of
/// its commands. Answers that are immediate here may arrive much later in a
/// real program, or not at all.
class embedded_router
{
public:
    embedded_router(
        const std::string& name,
        memory_log& shared_log,
        memory_engine& shared_engine)
        : log(shared_log)
        , engine(shared_engine)
        , control(make_options(name))
    {
    }

    void start(instant now)
    {
        this->control.start(fleet_state{}, wall(now), now);
        this->builder.rebuild(this->control.state());
        this->execute_commands(now);
    }

    /// Reads the log, advances the controller's time and executes its commands.
    void step(instant now)
    {
        this->read_log(now);
        this->control.tick(wall(now), now);
        this->execute_commands(now);
    }

    /// Reports to the controller that a request for the model is waiting.
    void demand(const std::string& model, instant now)
    {
        servable_demand what;
        what.servable = this->control.state().find_servable(model);
        what.waiting = 1;
        this->control.demanded(what, now);
        this->execute_commands(now);
    }

    /// Passes on which sessions are alive. A hint; normally from `membership`.
    void peers(std::span<const session_id> alive, instant now)
    {
        this->control.peers_changed(alive, now);
    }

    session_id session() const
    {
        return this->control.session();
    }

    const fleet_state& state() const
    {
        return this->control.state();
    }

    /// @return The current routes of the model; null if it is unknown.
    const servable_routes* routes(const std::string& model)
    {
        this->table = this->builder.table();
        return this->table->find_servable(model);
    }

    /// Demands to send to the other router; a real program sends them over UDP.
    std::vector<forward_demand> forwarded;

private:
    static controller::options make_options(const std::string& name)
    {
        controller::options settings;
        settings.name = name;
        settings.data_centre = "dc";
        settings.incarnation = 1;
        return settings;
    }

    static stamp_ms wall(instant now)
    {
        using std::chrono::milliseconds;
        return wall_start +
               std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
                   .count();
    }

    void read_log(instant now)
    {
        const log_offset folded = this->control.state().folded();
        // One entry at a time: `update` applies the changes of one `apply`.
        for (const log_entry& entry : this->log.after(folded))
        {
            this->control.log_read(
                {&entry, 1}, this->log.next(), wall(now), now);
            this->builder.update(this->control.state());
        }
        this->control.log_read({}, this->log.next(), wall(now), now);
    }

    void execute_commands(instant now)
    {
        for (auto commands = this->control.take_commands(); !commands.empty();
             commands = this->control.take_commands())
        {
            for (control_command& command : commands)
                std::visit(
                    [this, now](auto& what)
                    {
                        this->execute(what, now);
                    },
                    command);
        }
    }

    void execute(append_batch& batch, instant now)
    {
        for (std::vector<std::byte>& entry : batch.entries)
            this->log.append(std::move(entry));
        this->control.append_answered(batch.batch, append_outcome::done, now);
    }

    void execute(const engine_order& order, instant now)
    {
        // Checked right before sending, since the lease may have expired.
        const order_outcome outcome = this->control.may_send(order, now)
                                          ? this->engine.order(order, now)
                                          : order_outcome::not_sent;
        this->control.order_answered(order.order, outcome, now);
    }

    void execute(const read_engine& what, instant now)
    {
        this->control.engine_read(this->engine.report(what.engine, now), now);
    }

    void execute(const forward_demand& what, instant)
    {
        this->forwarded.push_back(what);
    }

    /// A hint for `gap_cost_preload`, which this example doesn't use.
    void execute(const forward_visit&, instant) {}

    void execute(const folded_record& folded, instant)
    {
        if (!std::holds_alternative<replica_decide>(folded.value.payload))
            return;
        const bool accepted = folded.result.status == fold_status::accepted;
        std::cout << "session " << this->session().value << " folds #"
                  << folded.offset.value << ": a replica is "
                  << (accepted ? "decided" : "not decided") << '\n';
    }

    // A program that serves requests passes the new table to its dispatcher.
    void execute(const publish_table&, instant) {}

    // This example doesn't claim keys, leave or write checkpoints.
    void execute(const claim_result&, instant) {}

    void execute(const left&, instant) {}

    void execute(const divergence_alarm&, instant) {}
    void execute(const grants_seen&, instant) {}

    void execute(const entry_skipped&, instant) {}

    memory_log& log;
    memory_engine& engine;
    controller control;
    routing_table_builder builder;
    routing_table_ptr table;
};

/// @return An operator's change that declares an engine, and a model with at
///         most one replica.
std::vector<std::byte> make_configuration_record()
{
    engine_spec engine;
    engine.address = "127.0.0.1:9000";
    engine.vm = "vm1";
    engine.data_centre = "dc";
    engine.memory_mib = 16384;
    engine.fencing = fencing_kind::checks;
    model_spec model;
    model.memory_mib = 8192;
    model.max_replicas = 1;

    config_change change;
    change.author = "amina";
    change.changes.resize(2);
    change.changes[0].kind = entity_kind::engine;
    change.changes[0].name = "e1";
    change.changes[0].spec = engine;
    change.changes[1].kind = entity_kind::model;
    change.changes[1].name = "tea";
    change.changes[1].spec = model;

    record value;
    value.id = {author_of("amina"), 1, 1};
    value.stamp = wall_start;
    value.payload = std::move(change);
    return encode(value);
}

/// Delivers forwarded demands to the router to which they are addressed.
void deliver(embedded_router& from, embedded_router& to, instant now)
{
    for (const forward_demand& what : std::exchange(from.forwarded, {}))
    {
        if (what.to == to.session())
            to.demand("tea", now);
    }
}

/// @return Whether both routers have the same state and a route to the same
///         replica.
bool route_to_same_replica(embedded_router& left, embedded_router& right)
{
    const servable_routes* here = left.routes("tea");
    const servable_routes* there = right.routes("tea");
    return left.state().hash() == right.state().hash() && here != nullptr &&
           there != nullptr && here->ready.size() == 1 &&
           there->ready.size() == 1 &&
           here->ready[0].replica == there->ready[0].replica;
}

} // namespace

int main()
{
    memory_log log;
    memory_engine engine;
    log.append(make_configuration_record());

    instant now{1s};
    embedded_router first("r1", log, engine);
    embedded_router second("r2", log, engine);
    first.start(now);
    second.start(now);

    const instant end = now + 20s;
    for (; now < end && !route_to_same_replica(first, second);
         now += step_length)
    {
        first.step(now);
        second.step(now);
        const session_id alive[] = {first.session(), second.session()};
        first.peers(alive, now);
        second.peers(alive, now);
        first.demand("tea", now);
        second.demand("tea", now);
        deliver(first, second, now);
        deliver(second, first, now);
    }

    if (!route_to_same_replica(first, second) || engine.loads != 1)
    {
        std::cout << "no common route after exactly one load; " << engine.loads
                  << " loads\n";
        return 1;
    }
    const route& ready = first.routes("tea")->ready.front();
    std::cout << "both route tea to replica " << ready.replica.value << " at "
              << ready.address << "; it was loaded " << engine.loads
              << " time\n";
    return 0;
}

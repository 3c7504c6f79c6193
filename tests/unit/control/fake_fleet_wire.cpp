#include "fake_fleet.hpp"

#include <roseworks/codec.hpp>

#include <algorithm>
#include <variant>

// What travels between the routers, the log and the engines.

namespace roseworks::test
{

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

} // namespace roseworks::test

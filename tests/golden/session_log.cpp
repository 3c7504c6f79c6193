#include "tests/golden/record_line.hpp"
#include "tests/golden/session.hpp"

#include <roseworks/codec.hpp>

#include <utility>

namespace roseworks::golden
{

namespace
{

constexpr duration hop = std::chrono::milliseconds(1);

} // namespace

void session::append(const std::vector<std::byte>& bytes)
{
    this->log.push_back(bytes);
    const auto value = decode(bytes);
    const log_offset offset(this->log.size());
    const fold_result result = this->folded.apply(offset, *value);
    this->log_results.push_back(to_line(result));
    this->write(
        "log",
        "#" + std::to_string(offset.value) + " " +
            to_line(*value, this->folded) + " -> " + this->log_results.back());
    for (std::size_t index = 0; index < this->routers.size(); ++index)
    {
        this->to_router(
            index,
            hop,
            [this, index]
            {
                this->deliver_log(index);
            });
    }
}

void session::deliver_log(std::size_t index)
{
    controller& control = *this->routers[index]->control;
    if (this->log_down)
    {
        control.log_unreachable(this->time);
        return;
    }
    std::vector<log_entry> entries;
    for (std::uint64_t offset = control.state().folded().value + 1;
         offset <= this->log.size();
         ++offset)
    {
        entries.push_back({log_offset(offset), this->log[offset - 1]});
    }
    this->fold(index, entries);
}

void session::fold(std::size_t index, const std::vector<log_entry>& entries)
{
    router& target = *this->routers[index];
    const log_offset next(this->log.size() + 1);
    if (entries.empty())
    {
        target.control->log_read({}, next, this->wall(), this->time);
        return;
    }
    for (const log_entry& entry : entries)
    {
        target.control->log_read({&entry, 1}, next, this->wall(), this->time);
        target.builder.update(target.control->state());
    }
}

void session::handle(std::size_t index, append_batch& batch)
{
    router& target = *this->routers[index];
    this->write(
        target.name,
        "append batch " + std::to_string(batch.batch) + " of " +
            std::to_string(batch.entries.size()));
    this->at_time(
        hop,
        [this, index, batch = std::move(batch)]
        {
            router& author = *this->routers[index];
            append_outcome outcome = append_outcome::unknown;
            if (!this->log_down)
            {
                for (const std::vector<std::byte>& entry : batch.entries)
                {
                    this->append(entry);
                }
                outcome = append_outcome::done;
            }
            if (std::exchange(author.loses_append, false))
            {
                outcome = append_outcome::unknown;
            }
            this->to_router(
                index,
                hop,
                [this, index, number = batch.batch, outcome]
                {
                    router& told = *this->routers[index];
                    if (outcome == append_outcome::unknown)
                    {
                        this->write(
                            told.name,
                            "no answer to batch " + std::to_string(number));
                    }
                    told.control->append_answered(number, outcome, this->time);
                });
        });
}

void session::handle(std::size_t index, const engine_order& order)
{
    router& target = *this->routers[index];
    this->write(target.name, "order: " + to_line(order, this->folded));
    if (!target.control->may_send(order, this->time))
    {
        this->answer_order(index, order, order_outcome::not_sent);
        return;
    }
    action arrive = [this, index, order]
    {
        const order_outcome outcome =
            this->engines.at(order.engine)->order(order, this->time);
        this->write(
            this->engine_of(order.engine),
            to_line(order, this->folded) + " -> " +
                std::string(to_string(outcome)));
        this->check_engines();
        this->answer_order(index, order, outcome);
    };
    if (target.hold_orders)
    {
        this->write(target.name, "the order stays on the wire");
        target.held_orders.push_back(std::move(arrive));
        return;
    }
    this->at_time(hop, std::move(arrive));
}

void session::answer_order(
    std::size_t index, const engine_order& order, order_outcome outcome)
{
    this->to_router(
        index,
        hop,
        [this, index, number = order.order, outcome]
        {
            router& told = *this->routers[index];
            if (outcome != order_outcome::accepted)
            {
                this->write(
                    told.name, "order " + std::string(to_string(outcome)));
            }
            told.control->order_answered(number, outcome, this->time);
        });
}

void session::handle(std::size_t index, const read_engine& what)
{
    this->at_time(
        hop,
        [this, index, id = what.engine]
        {
            engine_report report = this->engines.at(id)->report(id, this->time);
            for (const auto& [number, item] : this->routers[index]->calls)
            {
                report.running += item.engine == id ? 1 : 0;
            }
            this->to_router(
                index,
                hop,
                [this, index, report]
                {
                    router& told = *this->routers[index];
                    told.traffic->load_reported(
                        {report.engine, report.running, report.waiting},
                        this->time);
                    told.control->engine_read(report, this->time);
                });
        });
}

void session::handle(std::size_t index, const forward_demand& what)
{
    this->write(
        this->routers[index]->name,
        "demand for " + servable_name(what.what.servable, this->folded) +
            " to " + session_name(what.to, this->folded));
    for (std::size_t other = 0; other < this->routers.size(); ++other)
    {
        if (this->routers[other]->control->session() != what.to)
        {
            continue;
        }
        this->to_router(
            other,
            hop,
            [this, other, heard = what.what]
            {
                this->routers[other]->control->demanded(heard, this->time);
            });
    }
}

void session::handle(std::size_t, const forward_visit& what)
{
    for (std::size_t other = 0; other < this->routers.size(); ++other)
    {
        if (this->routers[other]->control->session() != what.to)
        {
            continue;
        }
        this->to_router(
            other,
            hop,
            [this, other, heard = what.what]
            {
                this->routers[other]->control->visited(heard, this->time);
            });
    }
}

void session::handle(std::size_t index, const folded_record& folded)
{
    const std::string result = to_line(folded.result);
    if (result != this->log_results.at(folded.offset.value - 1))
    {
        this->write(
            this->routers[index]->name,
            "DIVERGED at #" + std::to_string(folded.offset.value) + ": " +
                result);
    }
}

void session::handle(std::size_t index, const publish_table&)
{
    router& target = *this->routers[index];
    target.published_available = target.control->log_available(this->time);
    target.builder.set_log_available(target.published_available);
    this->write_routes(index);
}

void session::handle(std::size_t index, const grants_seen& seen)
{
    router& target = *this->routers[index];
    target.builder.set_grants(target.control->state(), seen.hints);
    this->handle(index, publish_table{});
}

void session::handle(std::size_t index, const left& what)
{
    this->write(
        this->routers[index]->name, what.clean ? "left" : "left without proof");
}

void session::handle(std::size_t index, const divergence_alarm& alarm)
{
    this->write(
        this->routers[index]->name,
        "DIVERGED from the checkpoint at #" + std::to_string(alarm.at.value));
}

void session::handle(std::size_t index, const entry_skipped& entry)
{
    this->write(
        this->routers[index]->name,
        "skipped the entry at #" + std::to_string(entry.offset.value));
}

void session::check_engines()
{
    for (const auto& [id, engine] : this->engines)
    {
        const auto view = this->folded.engine(id);
        if (engine->memory_used() > view->spec->memory_mib)
        {
            this->write(std::string(view->name), "VIOLATION: over its memory");
        }
    }
    this->folded.for_each_servable(
        [this](const servable_view& servable)
        {
            std::size_t resident = 0;
            for (const auto& [id, engine] : this->engines)
            {
                resident += engine->count(servable.name);
            }
            if (resident > servable.max_replicas)
            {
                this->write(
                    std::string(servable.name),
                    "VIOLATION: " + std::to_string(resident) +
                        " replicas loaded");
            }
        });
}

} // namespace roseworks::golden

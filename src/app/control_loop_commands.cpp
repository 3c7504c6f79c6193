#include "app/control_loop.hpp"
#include "app/whole_ms.hpp"
#include "ports/hex_text.hpp"

#include <roseworks/names.hpp>

#include <utility>
#include <variant>

// The control loop's part that carries out the controller's commands.

namespace roseworks::app
{

namespace
{

bool moves_sessions(const record_payload& payload)
{
    return std::holds_alternative<router_join>(payload) ||
           std::holds_alternative<router_leave>(payload) ||
           std::holds_alternative<router_gone>(payload);
}

} // namespace

void control_loop::carry_out(append_batch& batch)
{
    ++this->counted.appends;
    for (const std::vector<std::byte>& entry : batch.entries)
        this->counted.append_bytes += entry.size();
    this->batch_records[batch.batch] = batch.entries.size();
    this->ports.log.append(std::move(batch));
}

void control_loop::carry_out(const engine_order& order)
{
    ++this->counted.orders;
    this->ports.events.report(
        event_id::order_sent,
        {{"engine", this->engine_name(order.engine)},
         {"order_id", order.order_id},
         {"action", to_string(order.action)},
         {"replica", order.replica.value},
         {"fence", order.held.value}});
    if (order.granted)
        this->note_grant_used(order);
    const std::uint64_t issued_in = this->run;
    this->ports.engines.send_order(
        order,
        this->engine_name(order.engine),
        [this, order, issued_in]
        {
            return issued_in == this->run && this->core && !this->stopped &&
                   this->core->may_send(order, this->ports.clock.now());
        },
        [this, order, issued_in](order_outcome outcome)
        {
            this->order_answered(order, issued_in, outcome);
        });
}

void control_loop::note_grant_used(const engine_order& order)
{
    ++this->counted.granted_orders;
    this->ports.events.report(
        event_id::grant_used,
        {{"engine", this->engine_name(order.engine)},
         {"servable", order.servable},
         {"replica", order.replica.value},
         {"order_id", order.order_id}});
}

void control_loop::carry_out(const read_engine& what)
{
    const std::uint64_t issued_in = this->run;
    this->ports.engines.read_state(
        what,
        [this, what, issued_in](const engine_report& report)
        {
            this->engine_answered(what, report, issued_in);
        });
}

void control_loop::carry_out(const forward_demand& what)
{
    this->ports.peers.send_demand(what.to, what.peer_address, what.what);
}

void control_loop::carry_out(const forward_visit& what)
{
    this->ports.peers.send_visit(what.to, what.peer_address, what.what);
}

void control_loop::carry_out(const claim_result& result)
{
    this->notices.claim_decided(result);
}

void control_loop::carry_out(const folded_record& folded)
{
    switch (folded.result.status)
    {
    case fold_status::accepted:
        ++this->counted.accepted;
        break;
    case fold_status::rejected:
        ++this->counted.rejected;
        break;
    case fold_status::duplicate:
        ++this->counted.duplicate;
        break;
    case fold_status::unknown:
        ++this->counted.unknown;
        break;
    }
    if (std::holds_alternative<config_change>(folded.value.payload))
        ++this->counted.config_changes;
    if (moves_sessions(folded.value.payload))
        this->sessions_moved = true;
    // What happened before this router started was reported by others.
    if (folded.offset < this->catch_up_end)
        return;
    this->reporter.report(folded, this->core->state(), this->core->session());
}

void control_loop::carry_out(const publish_table&)
{
    // While it catches up, the state is behind: no table is of use yet.
    if (!this->caught_up)
        return;
    if (std::exchange(this->table_stale, false))
        this->builder.rebuild(this->core->state());
    ++this->counted.tables;
    this->published_available = this->log_available();
    this->builder.set_log_available(this->published_available);
    this->notices.table_published(this->builder.table());
}

void control_loop::carry_out(const grants_seen& seen)
{
    this->builder.set_grants(this->core->state(), seen.hints);
    this->carry_out(publish_table());
}

void control_loop::carry_out(const left& what)
{
    if (!what.clean)
        this->report_unfinished_handover();
    this->notices.left(what.clean);
}

void control_loop::report_unfinished_handover()
{
    const session_id session = this->core->session();
    std::string engines;
    this->core->state().for_each_engine(
        [&](const engine_view& engine)
        {
            if (!session || engine.holder != session)
                return;
            engines += engines.empty() ? "" : ",";
            engines += engine.name;
        });
    const std::string_view log = this->log_available() ? "answers" : "away";
    this->ports.events.report(
        event_id::handover_unfinished,
        {{"session", session.value},
         {"engines", engines},
         {"log", log},
         {"limit_ms", whole_ms(this->settings.leave_limit)}});
}

void control_loop::carry_out(const divergence_alarm& alarm)
{
    this->ports.events.report(
        event_id::checkpoint_diverged,
        {{"offset", alarm.at.value},
         {"expected", to_hex(alarm.own_hash)},
         {"found", to_hex(alarm.logged_hash)},
         {"author", to_hex(alarm.author.value)}});
}

void control_loop::carry_out(const entry_skipped& entry)
{
    this->ports.events.report(
        event_id::record_malformed,
        {{"offset", entry.offset.value}, {"bytes", entry.bytes}});
}

void control_loop::tell_sessions()
{
    this->sessions_moved = false;
    std::vector<peer_session> peers;
    this->core->state().for_each_session(
        [&](const session_view& session)
        {
            if (session.ended)
                return;
            peers.push_back(
                {session.id,
                 std::string(session.name),
                 std::string(session.data_centre),
                 std::string(session.peer_address)});
        });
    this->ports.peers.sessions_changed(this->core->session(), peers);
}

std::string control_loop::engine_name(engine_id engine) const
{
    const std::optional<engine_view> view = this->core->state().engine(engine);
    return view ? std::string(view->name) : std::to_string(engine.value);
}

} // namespace roseworks::app

#include "app/control_loop.hpp"

#include "app/hex_text.hpp"

#include <roseworks/names.hpp>

#include <boost/asio/error.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace roseworks::app
{

namespace
{

constexpr std::uint64_t micros_per_milli = 1000;

/// A tick that is due again at once doesn't keep the thread busy.
constexpr duration shortest_tick = std::chrono::milliseconds(1);

constexpr duration longest_tick = std::chrono::hours(1);

constexpr std::chrono::seconds look_interval{1};

/// Longer runs of records are followed by a rebuild of the routing table.
constexpr std::size_t most_single_updates = 64;

std::int64_t whole_ms(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length)
        .count();
}

std::string_view to_word(log_fault fault)
{
    return fault == log_fault::malformed ? "malformed answer" : "unreachable";
}

bool moves_sessions(const record_payload& payload)
{
    return std::holds_alternative<router_join>(payload) ||
           std::holds_alternative<router_leave>(payload) ||
           std::holds_alternative<router_gone>(payload);
}

} // namespace

control_loop::control_loop(
    boost::asio::any_io_executor on,
    controller::options wanted,
    const control_ports& with,
    control_notices tell)
    : executor(std::move(on))
    , settings(std::move(wanted))
    , ports(with)
    , notices(std::move(tell))
    , reporter(with.events)
    , tick_timer(this->executor)
    , look_timer(this->executor)
    , witness(
          this->executor,
          with.engines,
          [this](const crash_seen& what)
          {
              this->crash_confirmed(what);
          })
{
}

void control_loop::start(std::string http_address)
{
    this->settings.http_address = std::move(http_address);
    this->arm_look();
    this->ports.log.start(*this);
    this->ports.peers.start(*this);
    if (this->ports.vms != nullptr)
        this->ports.vms->start(*this);
}

void control_loop::leave()
{
    if (this->leaving || this->stopped)
        return;
    this->leaving = true;
    if (!this->core)
    {
        this->notices.left(true);
        return;
    }
    this->core->leave(this->ports.clock.now());
    this->pump();
}

void control_loop::stop()
{
    this->stopped = true;
    this->tick_timer.cancel();
    this->look_timer.cancel();
    this->witness.stop();
    this->ports.log.stop();
    this->ports.peers.stop();
    if (this->ports.vms != nullptr)
        this->ports.vms->stop();
    this->ports.engines.cancel_all();
    this->notices.claims_dropped();
}

// From the traffic threads.

void control_loop::demanded(const demand& what)
{
    if (!this->core || this->stopped)
        return;
    const session_id this_router;
    this->core->demanded(
        {what.servable, what.urgency, what.waiting, this_router},
        this->ports.clock.now());
    this->pump();
}

void control_loop::crashed(const crash_seen& what)
{
    if (!this->core || this->stopped)
        return;
    this->witness.examine(what);
}

void control_loop::crash_confirmed(const crash_seen& what)
{
    if (!this->core || this->stopped)
        return;
    this->core->crash_seen(what.request, what.engine, this->ports.clock.now());
    this->pump();
}

void control_loop::used(std::string_view servable)
{
    if (!this->core || this->stopped)
        return;
    const servable_id id = this->core->state().find_servable(servable);
    if (!id)
        return;
    this->core->used(id, this->ports.clock.now());
    this->pump();
}

bool control_loop::claim(claim_key key)
{
    if (!this->core || this->stopped)
        return false;
    this->core->claim(key, this->ports.clock.now());
    this->pump();
    return true;
}

void control_loop::close_claim(claim_close what)
{
    if (!this->core || this->stopped)
        return;
    what.session = this->core->session();
    this->core->close_claim(std::move(what), this->ports.clock.now());
    this->pump();
}

// From the log.

void control_loop::log_opened(log_offset first, log_offset next, bool trimmed)
{
    this->note_log_answered();
    this->known_end = std::max(this->known_end, next);
    if (!trimmed)
    {
        constexpr log_offset nothing_folded{0};
        this->begin(fleet_state(), nothing_folded);
        return;
    }
    if (this->core)
    {
        this->ports.events.report(
            event_id::log_gap,
            {{"wanted", this->core->state().folded().value + 1},
             {"first_offset", first.value}});
        this->ports.engines.cancel_all();
        this->notices.claims_dropped();
        this->core.reset();
        this->caught_up = false;
    }
    this->begin_search(first);
}

void control_loop::begin(fleet_state state, log_offset folded)
{
    const std::uint64_t wall_micros =
        static_cast<std::uint64_t>(this->ports.clock.wall()) * micros_per_milli;
    this->settings.incarnation =
        std::max(this->settings.incarnation + 1, wall_micros);
    ++this->run;
    this->searching.reset();
    this->batch_records.clear();
    this->catch_up_end = this->known_end;
    this->core = std::make_unique<controller>(this->settings);
    this->table_stale = true;
    this->core->start(
        std::move(state), this->ports.clock.wall(), this->ports.clock.now());
    this->sessions_moved = true;
    this->ports.log.tail_from(log_offset(folded.value + 1));
    this->pump();
}

void control_loop::begin_search(log_offset first)
{
    this->searching.emplace(first);
    this->search_end = this->known_end;
    this->ports.log.tail_from(first);
}

void control_loop::entries_read(std::vector<log_entry> entries, log_offset next)
{
    this->note_log_answered();
    this->known_end = std::max(this->known_end, next);
    if (this->searching)
    {
        this->search(entries);
        return;
    }
    if (!this->core)
        return;
    this->fold(entries, next);
    this->pump();
}

/// The builder follows single records; after a long run of them it is cheaper
/// to take the whole state over once.
void control_loop::fold(std::span<const log_entry> entries, log_offset next)
{
    const instant now = this->ports.clock.now();
    const stamp_ms wall = this->ports.clock.wall();
    const bool one_by_one = this->caught_up && !this->table_stale &&
                            !entries.empty() &&
                            entries.size() <= most_single_updates;
    if (!one_by_one)
    {
        this->table_stale |= !entries.empty();
        this->core->log_read(entries, next, wall, now);
        return;
    }
    for (std::size_t at = 0; at < entries.size(); ++at)
    {
        this->core->log_read(entries.subspan(at, 1), next, wall, now);
        this->builder.update(this->core->state());
    }
}

void control_loop::search(std::span<const log_entry> entries)
{
    this->searching->look(entries);
    const bool at_end = entries.empty() || entries.back().offset.value + 1 >=
                                               this->search_end.value;
    if (!at_end)
        return;

    std::optional<checkpoint_search::found> found = this->searching->take();
    if (!found)
        return;
    this->ports.events.report(
        event_id::checkpoint_adopted,
        {{"offset", found->whole.at.value},
         {"bytes", found->whole.bytes.size()},
         {"hash", to_hex(found->whole.state_hash)},
         {"source", std::string_view("log")}});
    this->begin(std::move(found->state), found->whole.at);
}

void control_loop::note_log_answered()
{
    const auto lasted = this->log_outage.succeeded(this->ports.clock.now());
    if (!lasted)
        return;
    this->ports.events.report(
        event_id::log_back,
        {{"offset", this->known_end.value}, {"elapsed_ms", whole_ms(*lasted)}});
}

void control_loop::log_failed(log_fault fault)
{
    const instant now = this->ports.clock.now();
    if (this->log_outage.failed(now))
    {
        this->ports.events.report(
            event_id::log_unreachable,
            {{"reason", to_word(fault)}, {"offset", this->known_end.value}});
    }
    if (!this->core)
        return;
    this->core->log_unreachable(now);
    this->pump();
}

void control_loop::append_answered(std::uint64_t batch, append_outcome outcome)
{
    const auto found = this->batch_records.find(batch);
    if (!this->core || found == this->batch_records.end())
        return;
    if (outcome == append_outcome::unknown)
    {
        ++this->counted.appends_lost;
        this->ports.events.report(
            event_id::append_answer_lost, {{"records", found->second}});
    }
    this->batch_records.erase(found);
    this->core->append_answered(batch, outcome, this->ports.clock.now());
    this->pump();
}

// From the VM list and the peers.

void control_loop::vms_listed(std::span<const vm_entry> vms)
{
    const instant now = this->ports.clock.now();
    if (const auto lasted = this->vm_list_outage.succeeded(now))
    {
        this->ports.events.report(
            event_id::vm_list_back, {{"elapsed_ms", whole_ms(*lasted)}});
    }

    std::map<std::string, bool, std::less<>> listed;
    for (const vm_entry& vm : vms)
    {
        listed[vm.vm] = vm.leaving;
        const auto before = this->vms_leaving.find(vm.vm);
        const bool known = before != this->vms_leaving.end();
        if (known && before->second == vm.leaving)
            continue;
        this->notices.vm_leaving(vm.vm, vm.leaving);
        if (!vm.leaving)
            continue;
        this->ports.events.report(
            event_id::vm_leaving,
            {{"vm", vm.vm},
             {"address", vm.address},
             {"role", std::string_view(vm.is_router ? "router" : "backend")}});
    }
    // What is no longer listed is gone.
    for (const auto& [vm, was_leaving] : this->vms_leaving)
    {
        if (!was_leaving && !listed.contains(vm))
            this->notices.vm_leaving(vm, true);
    }
    this->vms_leaving = std::move(listed);

    if (!this->core)
        return;
    this->core->vms_listed(vms, now);
    this->pump();
}

void control_loop::vm_list_failed()
{
    if (this->vm_list_outage.failed(this->ports.clock.now()))
        this->ports.events.report(event_id::vm_list_unreachable);
}

void control_loop::demand_heard(const servable_demand& what)
{
    if (!this->core || this->stopped)
        return;
    this->core->demanded(what, this->ports.clock.now());
    this->pump();
}

void control_loop::peers_alive(std::span<const session_id> alive)
{
    if (!this->core || this->stopped)
        return;
    this->core->peers_changed(alive, this->ports.clock.now());
    this->pump();
}

// Commands.

void control_loop::pump()
{
    if (this->pumping || this->stopped || !this->core)
        return;
    this->pumping = true;
    for (auto commands = this->core->take_commands(); !commands.empty();
         commands = this->core->take_commands())
    {
        for (control_command& command : commands)
            std::visit(
                [this](auto& what)
                {
                    this->carry_out(what);
                },
                command);
    }
    this->pumping = false;

    if (this->sessions_moved)
        this->tell_sessions();
    this->refresh_availability();
    this->note_caught_up();
    this->arm_tick();
}

void control_loop::refresh_availability()
{
    if (this->caught_up && this->log_available() != this->published_available)
        this->carry_out(publish_table());
}

void control_loop::note_caught_up()
{
    const std::uint64_t next = this->core->state().folded().value + 1;
    if (this->caught_up || next < this->catch_up_end.value)
        return;
    this->caught_up = true;
    this->carry_out(publish_table());
    this->notices.caught_up();
}

void control_loop::arm_tick()
{
    const instant now = this->ports.clock.now();
    const instant due = std::clamp(
        this->core->next_tick(), now + shortest_tick, now + longest_tick);
    using steady = std::chrono::steady_clock;
    this->tick_timer.expires_at(steady::time_point(
        std::chrono::duration_cast<steady::duration>(due.time_since_epoch())));
    this->tick_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error != boost::asio::error::operation_aborted)
                this->tick();
        });
}

void control_loop::arm_look()
{
    this->look_timer.expires_after(look_interval);
    this->look_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error == boost::asio::error::operation_aborted || this->stopped)
                return;
            this->watch_leases();
            this->notices.look(*this);
            this->arm_look();
        });
}

/// For the events only: the lease is checked anew before each order.
void control_loop::watch_leases()
{
    if (!this->core)
        return;
    const instant now = this->ports.clock.now();
    std::set<engine_id> in_force;
    this->core->state().for_each_engine(
        [&](const engine_view& engine)
        {
            if (!engine.holder || engine.holder != this->core->session())
                return;
            engine_order probe;
            probe.engine = engine.id;
            probe.held = engine.held;
            if (this->core->may_send(probe, now))
                in_force.insert(engine.id);
            else if (this->leases_in_force.contains(engine.id))
                this->ports.events.report(
                    event_id::lease_lapsed,
                    {{"engine", engine.name},
                     {"term_ms", whole_ms(this->settings.lease_term)}});
        });
    this->leases_in_force = std::move(in_force);
}

void control_loop::tick()
{
    if (!this->core || this->stopped)
        return;
    this->core->tick(this->ports.clock.wall(), this->ports.clock.now());
    this->pump();
}

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

void control_loop::carry_out(const left& what)
{
    this->notices.left(what.clean);
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

// From the engines.

void control_loop::order_answered(
    const engine_order& order, std::uint64_t issued_in, order_outcome outcome)
{
    if (issued_in != this->run || !this->core || this->stopped)
        return;
    if (outcome == order_outcome::unknown)
        ++this->counted.orders_lost;
    this->report_order(order, outcome);
    this->core->order_answered(order.order, outcome, this->ports.clock.now());
    this->pump();
}

void control_loop::report_order(
    const engine_order& order, order_outcome outcome)
{
    const std::string engine = this->engine_name(order.engine);
    switch (outcome)
    {
    case order_outcome::accepted:
    case order_outcome::not_found:
        return;
    case order_outcome::stale_fence:
        this->ports.events.report(
            event_id::order_refused_stale_fence,
            {{"engine", engine},
             {"order_id", order.order_id},
             {"fence", order.held.value}});
        return;
    case order_outcome::unknown:
        this->ports.events.report(
            event_id::order_answer_lost,
            {{"engine", engine},
             {"order_id", order.order_id},
             {"action", to_string(order.action)},
             {"replica", order.replica.value}});
        return;
    case order_outcome::out_of_memory:
    case order_outcome::refused:
    case order_outcome::not_sent:
        this->ports.events.report(
            event_id::order_refused,
            {{"engine", engine},
             {"order_id", order.order_id},
             {"action", to_string(order.action)},
             {"replica", order.replica.value},
             {"reason", to_string(outcome)}});
        return;
    }
}

void control_loop::engine_answered(
    const read_engine& what,
    const engine_report& report,
    std::uint64_t issued_in)
{
    if (issued_in != this->run || !this->core || this->stopped)
        return;
    this->note_engine(report);
    if (report.reachable)
        this->read_cache_events(what, report.incarnation);
    this->core->engine_read(report, this->ports.clock.now());
    this->pump();
}

void control_loop::read_cache_events(
    const read_engine& what, std::uint64_t incarnation)
{
    if (!this->notices.cache_reported)
        return;
    this->ports.engines.read_cache_events(
        what,
        incarnation,
        [this](const cache_report& report)
        {
            if (this->core && !this->stopped)
                this->cache_events_read(report);
        });
}

void control_loop::cache_events_read(const cache_report& report)
{
    // One line a read is enough, also when more is missing.
    std::uint64_t wanted = report.from;
    for (const cache_event& event : report.events)
    {
        if (wanted != 0 && event.sequence > wanted)
        {
            this->ports.events.report(
                event_id::cache_events_missed,
                {{"engine", this->engine_name(report.engine)},
                 {"wanted", wanted},
                 {"got", event.sequence}});
            break;
        }
        wanted = event.sequence + 1;
    }
    this->notices.cache_reported(report);
}

void control_loop::note_engine(const engine_report& report)
{
    const instant now = this->ports.clock.now();
    if (report.reachable)
        this->witness.engine_seen(report.engine, report.incarnation);
    outage_watch& watch = this->engine_outages[report.engine];
    if (!report.reachable)
    {
        if (watch.failed(now))
        {
            this->ports.events.report(
                event_id::engine_unreachable,
                {{"engine", this->engine_name(report.engine)},
                 {"reason", std::string_view("state can't be read")}});
        }
        return;
    }
    if (const auto lasted = watch.succeeded(now))
    {
        this->ports.events.report(
            event_id::engine_back,
            {{"engine", this->engine_name(report.engine)},
             {"elapsed_ms", whole_ms(*lasted)},
             {"incarnation", report.incarnation}});
    }
    this->notices.load_reported(
        {report.engine, report.running, report.waiting});
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

// What it knows.

const controller* control_loop::driven() const
{
    return this->core.get();
}

bool control_loop::is_caught_up() const
{
    return this->caught_up;
}

std::uint64_t control_loop::lag() const
{
    const std::uint64_t folded =
        this->core ? this->core->state().folded().value : 0;
    const std::uint64_t next = folded + 1;
    return this->known_end.value > next ? this->known_end.value - next : 0;
}

bool control_loop::log_available() const
{
    return this->core && this->core->log_available(this->ports.clock.now());
}

const control_counts& control_loop::counts() const
{
    return this->counted;
}

} // namespace roseworks::app

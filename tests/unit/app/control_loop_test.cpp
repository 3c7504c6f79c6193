#include "app/control_loop.hpp"
#include "fake_platform.hpp"

#include <roseworks/checkpoint.hpp>

#include <boost/asio/io_context.hpp>

#include <array>
#include <optional>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;
using namespace roseworks::testing;
using namespace std::chrono_literals;

namespace
{

record made(std::uint64_t sequence, record_payload payload)
{
    record result;
    result.id = {author_id(77), 1, sequence};
    result.stamp = 1'000'000;
    result.payload = std::move(payload);
    return result;
}

/// One engine that checks fencing and one model.
record one_model(std::uint64_t sequence)
{
    engine_spec engine;
    engine.address = "127.0.0.1:9";
    engine.vm = "b1";
    engine.data_centre = "negombo";
    engine.memory_mib = 100;
    engine.fencing = fencing_kind::checks;
    model_spec model;
    model.memory_mib = 40;
    config_change change;
    change.author = "operator";
    change.changes = {
        {entity_kind::engine, "e1", {}, newest_entity_schema, engine, {}},
        {entity_kind::model, "m1", {}, newest_entity_schema, model, {}}};
    return made(sequence, std::move(change));
}

/// The loop between fakes.
struct loop_bench
{
    loop_bench()
        : loop(context.get_executor(), options(), ports(), notices())
    {
        this->loop.start("127.0.0.1:2");
    }

    static controller::options options()
    {
        controller::options result;
        result.name = "r1";
        result.data_centre = "negombo";
        return result;
    }

    control_ports ports()
    {
        return {
            this->clock,
            this->log,
            this->engines,
            nullptr,
            this->peers,
            this->events};
    }

    control_notices notices()
    {
        control_notices result;
        result.table_published = [this](routing_table_ptr newest)
        {
            this->table = std::move(newest);
        };
        result.load_reported = [](const load_report&) {};
        result.routers_alive = [this](std::size_t count)
        {
            this->routers = count;
        };
        result.vm_leaving = [this](std::string_view vm, bool leaving)
        {
            this->vms[std::string(vm)] = leaving;
        };
        result.crash_examined = [](const crash_seen&, crash_finding) {};
        result.claim_decided = [this](const claim_result& decided)
        {
            this->claims.push_back(decided);
        };
        result.claims_dropped = [this]
        {
            ++this->claims_dropped;
        };
        result.caught_up = [this]
        {
            ++this->caught_up;
        };
        result.look = [](const control_loop&) {};
        result.left = [this](bool clean)
        {
            this->left = clean;
        };
        return result;
    }

    /// Lets time pass in steps, with the log and the engines answering.
    void run(duration length)
    {
        constexpr duration step = 50ms;
        for (duration passed{}; passed < length; passed += step)
        {
            this->clock.time += step;
            this->log.deliver();
            this->engines.answer_reads();
            // A record heard over UDP makes the controller look at the time.
            this->loop.demand_received({});
        }
    }

    void want(std::string_view servable)
    {
        const servable_id id =
            this->loop.driven()->state().find_servable(servable);
        this->loop.demanded({id, priority::normal, 1, this->clock.time + 60s});
    }

    boost::asio::io_context context;
    fake_clock clock;
    fake_log log;
    fake_engines engines;
    fake_peers peers;
    counting_events events;
    routing_table_ptr table;
    std::map<std::string, bool> vms;
    std::vector<claim_result> claims;
    int claims_dropped = 0;
    int caught_up = 0;
    std::size_t routers = 0;
    std::optional<bool> left;
    control_loop loop;
};

/// Puts a checkpoint of what the log holds so far into the log.
log_offset put_checkpoint(fake_log& log)
{
    fleet_state state;
    for (const log_entry& entry : log.entries)
        state.apply(entry.offset, *decode(entry.bytes));
    const checkpoint whole = take_checkpoint(state);
    std::uint64_t sequence = 100;
    constexpr std::size_t small_chunk = 64;
    for (checkpoint_chunk& part : split_checkpoint(whole, small_chunk))
        log.put(encode(made(++sequence, std::move(part))));
    return whole.at;
}

} // namespace

Test(control_loop, an_empty_log_makes_it_ready_at_once)
{
    loop_bench bench;
    cr_expect(bench.caught_up == 0);
    bench.log.open();
    cr_expect(bench.caught_up == 1);
    cr_expect(bench.table != nullptr);
    bench.run(200ms);
    cr_expect(bench.loop.driven()->joined());
}

Test(control_loop, the_routers_alive_are_told)
{
    loop_bench bench;
    bench.log.open();
    bench.run(200ms);
    cr_expect(bench.routers == 1, "itself, once it has joined");
    const std::array both{session_id(1), session_id(2)};
    bench.loop.peers_alive(both);
    cr_expect(bench.routers == 2);
}

Test(control_loop, the_table_follows_the_log)
{
    loop_bench bench;
    bench.log.open();
    bench.run(100ms);
    cr_expect(bench.table->find_servable("m1") == nullptr);
    bench.log.put(encode(one_model(1)));
    bench.run(100ms);
    cr_expect(bench.table->find_servable("m1") != nullptr);
    cr_expect(bench.table->log_available());
    cr_expect(bench.events.seen[event_id::configuration_accepted] == 2);
}

Test(control_loop, what_is_not_folded_yet_is_not_served)
{
    loop_bench bench;
    bench.log.put(encode(one_model(1)));
    bench.log.open();
    cr_expect(bench.caught_up == 0);
    cr_expect(bench.table == nullptr);
    bench.log.read();
    cr_expect(bench.caught_up == 1);
    cr_assert(bench.table != nullptr);
    cr_expect(bench.table->find_servable("m1") != nullptr);
    // It was accepted before this router began: others told of it.
    cr_expect(bench.events.seen[event_id::configuration_accepted] == 0);
}

Test(control_loop, an_order_is_asked_about_just_before_it_is_sent)
{
    loop_bench bench;
    bench.log.put(encode(one_model(1)));
    bench.log.open();
    bench.run(1s);
    const int hurried = bench.log.hurried;
    bench.want("m1");
    cr_expect(bench.log.hurried == hurried + 1, "a caller waits for the log");
    bench.run(2s);
    cr_assert(bench.engines.orders.size() == 1);
    const fake_engines::sent& sent = bench.engines.orders[0];
    cr_expect(sent.name == "e1");
    cr_expect(sent.order.action == order_action::load);
    cr_expect(sent.allowed());
    // The process is paused for longer than the lease.
    bench.clock.time += 60s;
    cr_expect(!sent.allowed());
}

Test(control_loop, a_trimmed_log_is_joined_from_a_checkpoint)
{
    loop_bench bench;
    bench.log.put(encode(one_model(1)));
    const log_offset at = put_checkpoint(bench.log);
    bench.log.trim(at.value + 1);
    bench.log.open();
    cr_expect(bench.loop.driven() == nullptr);
    bench.log.read();
    cr_assert(bench.loop.driven() != nullptr);
    cr_expect(bench.events.seen[event_id::checkpoint_adopted] == 1);
    bench.log.read();
    cr_expect(bench.caught_up == 1);
    cr_expect(bench.table->find_servable("m1") != nullptr);
}

Test(control_loop, a_checkpoint_whose_tail_is_forgotten_is_of_no_use)
{
    loop_bench bench;
    bench.log.put(encode(one_model(1)));
    bench.log.put(encode(made(2, request_unblock{})));
    const log_offset at = put_checkpoint(bench.log);
    bench.log.put(encode(made(3, request_unblock{})));
    bench.log.trim(at.value + 2);
    bench.log.open();
    bench.log.read();
    cr_expect(bench.loop.driven() == nullptr);
    cr_expect(bench.caught_up == 0);
    // The next checkpoint ends the wait.
    put_checkpoint(bench.log);
    bench.log.read();
    cr_expect(bench.loop.driven() != nullptr);
}

Test(control_loop, a_damaged_checkpoint_is_passed_over)
{
    loop_bench bench;
    bench.log.put(encode(one_model(1)));
    checkpoint_chunk wrong;
    wrong.at = log_offset(1);
    wrong.state_hash = 1;
    wrong.count = 1;
    bench.log.put(encode(made(2, wrong)));
    bench.log.trim(2);
    bench.log.open();
    bench.log.read();
    cr_expect(bench.loop.driven() == nullptr);
}

Test(control_loop, a_forgotten_gap_starts_anew_and_drops_what_was_under_way)
{
    loop_bench bench;
    bench.log.put(encode(one_model(1)));
    bench.log.open();
    bench.run(1s);
    bench.want("m1");
    bench.run(2s);
    cr_assert(bench.engines.orders.size() == 1);
    const fake_engines::sent old = bench.engines.orders[0];
    cr_assert(bench.loop.claim({1, 2}));

    // While this router slept, the log moved on and forgot.
    const session_id session = bench.loop.driven()->session();
    bench.log.appends.clear();
    const std::uint64_t unread = bench.log.next();
    bench.log.put(encode(made(9, request_unblock{})));
    const log_offset at = put_checkpoint(bench.log);
    bench.log.trim(at.value + 1);
    cr_assert(unread < bench.log.first);
    bench.log.read();
    cr_expect(bench.loop.driven() == nullptr);
    cr_expect(bench.claims_dropped == 1);
    cr_expect(bench.engines.cancelled == 1);
    cr_expect(bench.events.seen[event_id::log_gap] == 1);
    cr_expect(bench.table != nullptr, "the last table stays in force");

    bench.log.read();
    cr_assert(bench.loop.driven() != nullptr);
    bench.run(1s);
    cr_expect(bench.loop.driven()->joined());
    cr_expect(bench.loop.driven()->session() > session);
    // Orders and answers of the earlier run have no effect.
    cr_expect(!old.allowed());
    old.done(order_outcome::accepted);
}

Test(control_loop, a_claim_is_decided_through_the_log)
{
    loop_bench bench;
    cr_expect(!bench.loop.claim({1, 2}), "there is no state yet");
    bench.log.open();
    bench.run(1s);
    cr_assert(bench.loop.claim({1, 2}));
    bench.run(200ms);
    cr_assert(bench.claims.size() == 1);
    cr_expect(bench.claims[0].result == claim_result::status::granted);
}

Test(control_loop, an_outage_is_told_once_and_shows_in_the_table)
{
    loop_bench bench;
    bench.log.open();
    bench.run(1s);
    for (int attempt = 0; attempt < 40; ++attempt)
    {
        bench.clock.time += 500ms;
        bench.loop.log_failed(log_fault::unreachable);
    }
    cr_expect(bench.events.seen[event_id::log_unreachable] == 1);
    cr_expect(!bench.table->log_available());
    bench.run(1s);
    cr_expect(bench.events.seen[event_id::log_back] == 1);
    cr_expect(bench.table->log_available());
}

Test(control_loop, a_vm_that_leaves_or_is_gone_gets_no_new_work)
{
    loop_bench bench;
    bench.log.open();
    const vm_entry first{"b1", "", "", false, false};
    const vm_entry second{"b2", "", "", false, true};
    bench.loop.vms_listed(std::vector{first, second});
    cr_expect(bench.vms["b1"] == false);
    cr_expect(bench.vms["b2"] == true);
    cr_expect(bench.events.seen[event_id::vm_leaving] == 1);
    bench.loop.vms_listed(std::vector{second});
    cr_expect(bench.vms["b1"] == true);
    bench.loop.vms_listed(std::vector{first, second});
    cr_expect(bench.vms["b1"] == false);
}

Test(control_loop, leaving_gives_the_session_back)
{
    loop_bench bench;
    bench.log.put(encode(one_model(1)));
    bench.log.open();
    bench.run(1s);
    bench.loop.leave();
    bench.run(1s);
    cr_expect(bench.left == true);
    const session_id session = bench.loop.driven()->session();
    cr_expect(bench.loop.driven()->state().session(session)->ended);
}

Test(control_loop, a_handover_that_the_log_never_took_is_told)
{
    loop_bench bench;
    bench.log.put(encode(one_model(1)));
    bench.log.open();
    bench.run(1s);
    bench.loop.log_failed(log_fault::unreachable);
    bench.loop.leave();
    const instant limit = bench.clock.time + loop_bench::options().leave_limit;
    while (bench.clock.time < limit)
    {
        cr_assert(!bench.left, "it tries until its limit");
        bench.clock.time += 500ms;
        bench.loop.log_failed(log_fault::unreachable);
    }
    cr_expect(bench.left == false);
    cr_expect(bench.events.seen[event_id::handover_unfinished] == 1);
}

#pragma once

#include "tests/golden/script.hpp"
#include "tests/unit/control/fake_engine.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/dispatcher.hpp>
#include <roseworks/fleet_state.hpp>
#include <roseworks/plan.hpp>
#include <roseworks/routing_table_builder.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::golden
{

/** Plays a script against the real core and writes down what happens.

    Each router is a controller, a dispatcher and a builder of routing tables;
    the log, the engines, the VM list and the clock are in memory. Everything
    runs on one virtual time line, so the same script gives the same transcript
    byte for byte. Times are milliseconds from the start.

    Left out of the transcript, as they only repeat: reads of engines, VM lists
    and liveness. A router's fold results are compared with the log's and told
    when they differ.

    Steps (`ROUTER` is a name, or `holder:ENGINE`, or `other:ENGINE`, the first
    living router that doesn't hold its lease):

        engine NAME [memory=MIB] [fencing=checks|ignores] [load=TIME]
        router NAME
        records OPERATOR ... end      plan and publish at once
        plan OPERATOR ... end         plan now
        publish OPERATOR              publish what was planned
        request ROUTER SERVABLE [deadline=TIME] [key=N] [work=TIME] [once]
        run TIME
        kill|restart|pause|resume ROUTER
        hold_orders|release_orders ROUTER
        lose_append ROUTER            the next append's answer is lost
        log down|up
        crash_engine ENGINE           it comes back empty
        vm_gone NAME                  the platform no longer lists it
*/
class session
{
public:
    session();

    /// Performs a step; throws `std::runtime_error` on one it can't read.
    void perform(const step& what);

    /// Writes how everything stands at the end.
    void finish();

    const std::string& transcript() const;

private:
    using action = std::function<void()>;

    /// A caller's request.
    struct call
    {
        std::uint64_t number = 0;
        std::string target;
        claim_key key; ///< 0: none
        bool claimed = false;
        duration work{};
        fingerprint content;
        std::uint32_t attempt = 0;
        engine_id engine; ///< on which it runs; 0 while it doesn't
        instant sent{};
    };

    struct router
    {
        std::string name;
        std::uint64_t run = 0; ///< of the process; a restart has a new one
        std::unique_ptr<controller> control;
        std::unique_ptr<dispatcher> traffic;
        routing_table_builder builder;
        std::string routes; ///< as last written
        bool published_available = false;
        bool alive = false;
        bool paused = false;
        bool hold_orders = false;
        bool loses_append = false;
        std::vector<action> deferred;
        std::vector<action> held_orders;
        instant next_tick = instant::max();
        std::map<ticket, call> calls;
        std::map<ticket, grant> granted; ///< that wait for a claim
        std::map<claim_key, std::vector<ticket>> claiming;
    };

    // session.cpp: time and routers.
    void at_time(duration delay, action what);
    void to_router(std::size_t index, duration delay, action what);
    void run(duration length);
    void start(std::size_t index);
    void housekeeping();
    void pump(std::size_t index);
    bool pump_once(std::size_t index);
    void arm(std::size_t index);
    void tick(std::size_t index);
    void write(std::string_view who, std::string_view what);
    void write_routes(std::size_t index);
    std::size_t find_router(const std::string& name) const;
    std::size_t find_by_lease(const std::string& engine, bool holds) const;
    stamp_ms wall() const;
    std::string engine_of(engine_id id) const;

    // session_log.cpp: the log and the engines.
    void append(const std::vector<std::byte>& bytes);
    void deliver_log(std::size_t index);
    void fold(std::size_t index, const std::vector<log_entry>& entries);
    void handle(std::size_t index, append_batch& batch);
    void handle(std::size_t index, const engine_order& order);
    void handle(std::size_t index, const read_engine& what);
    void handle(std::size_t index, const forward_demand& what);
    void handle(std::size_t index, const forward_visit& what);
    void handle(std::size_t index, const claim_result& result);
    void handle(std::size_t index, const folded_record& folded);
    void handle(std::size_t index, const publish_table& what);
    void handle(std::size_t index, const left& what);
    void handle(std::size_t index, const divergence_alarm& alarm);
    void handle(std::size_t index, const grants_seen& seen);
    void handle(std::size_t index, const entry_skipped& entry);
    void answer_order(
        std::size_t index, const engine_order& order, order_outcome outcome);
    void check_engines();

    // session_traffic.cpp: callers.
    void submit(std::size_t index, call what, duration deadline, bool once);
    void handle(std::size_t index, const grant& given);
    void handle(std::size_t index, const refusal& refused);
    void handle(std::size_t index, const demand& what);
    void handle(std::size_t index, const crash_seen& what);
    void handle(std::size_t index, const permit_wanted& what);
    void handle(std::size_t index, const place_released& what);
    void handle(std::size_t index, const permit_cancelled& what);
    void send(std::size_t index, const grant& given);
    void claim_decided(
        std::size_t index, ticket request, const claim_result& result);
    void attempt_over(
        std::size_t index,
        ticket request,
        std::uint32_t attempt,
        attempt_result::end how);
    void end_call(
        std::size_t index,
        ticket request,
        verdict outcome,
        std::string_view reason);

    // session_steps.cpp: the script.
    void add_engine(const step& what);
    void add_router(const step& what);
    void make_plan_of(const step& what);
    void publish(const std::string& author);
    void request(const step& what);
    void kill(std::size_t index);
    void resume(std::size_t index);
    void release_orders(std::size_t index);
    void crash_engine(const std::string& name);

    instant time{std::chrono::seconds(1000)};
    std::uint64_t event_number = 0;
    std::map<std::pair<instant, std::uint64_t>, action> events;
    std::vector<std::vector<std::byte>> log;
    std::vector<std::string> log_results;
    bool log_down = false;
    fleet_state folded;
    std::vector<std::unique_ptr<router>> routers;
    std::map<std::string, test::fake_engine::options> engine_options;
    std::map<engine_id, std::unique_ptr<test::fake_engine>> engines;
    std::map<std::string, vm_entry> vms;
    std::map<std::string, std::vector<entity_change>> planned;
    std::uint64_t operator_records = 0;
    std::uint64_t calls_made = 0;
    std::string text;
};

/** Play a whole script.

    @param script The script.
    @return       Its transcript.
*/
std::string play(std::string_view script);

/// @return A length such as `250ms` or `3s`; throws on anything else.
duration parse_duration(const std::string& word);

} // namespace roseworks::golden

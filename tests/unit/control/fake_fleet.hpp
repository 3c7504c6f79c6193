#pragma once

#include "fake_engine.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/fleet_state.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/record.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace roseworks::test
{

/** Controllers, a log and engines on one virtual time line.

    Whatever takes effect on an engine is checked at once: no replica beyond
    what was decided, and memory within capacity. Violations are collected.
*/
class fake_fleet
{
public:
    /// One router's control part.
    struct router
    {
        std::string name;
        std::uint64_t run = 0; ///< of the process; a restart has a new one
        std::unique_ptr<controller> control;
        bool alive = false;
        bool paused = false;
        bool hold_orders = false; ///< orders stay on the wire until let go
        bool log_cut = false;     ///< this router alone can't reach the log
        std::optional<std::uint64_t> commands_left; ///< then it dies
        std::vector<std::function<void()>> deferred;
        std::vector<std::function<void()>> held_orders;
        std::vector<claim_result> claims;
        std::vector<engine_order> orders;
        std::vector<left> lefts;
        std::vector<divergence_alarm> alarms;
        std::vector<grant_hint> grants; ///< as told last
        instant next_tick = instant::max();
    };

    explicit fake_fleet(controller::options defaults = {});

    // Setting up.
    std::size_t add_router(const std::string& name);
    engine_id add_engine(const std::string& name, fake_engine::options what);
    void add_model(const std::string& name, model_spec spec);
    void add_adapter(const std::string& name, adapter_spec spec);
    void put(entity_kind kind, const std::string& name, entity_spec spec);

    // Running.
    void run(duration length);
    /// @return Whether the condition came true within the limit.
    bool run_until(const std::function<bool()>& done, duration limit);
    void demand(std::size_t router, servable_id what, std::uint32_t waiting);
    /// Demand repeated every half second, as a router with a queue does.
    void
    keep_demanding(std::size_t router, servable_id what, std::uint32_t waiting);
    void stop_demanding();

    // Failing.
    void kill(std::size_t router);
    void restart(std::size_t router);
    void pause(std::size_t router);
    void resume(std::size_t router);
    void let_orders_go(std::size_t router);
    void remove_vm(const std::string& vm);

    // Looking.
    servable_id servable(const std::string& name) const;
    std::size_t
    replicas(const std::string& servable, replica_state state) const;
    std::size_t replicas(const std::string& servable) const;
    std::size_t resident(const std::string& servable) const;
    fake_engine& engine(engine_id id);
    router& at(std::size_t index);
    std::size_t size() const;
    const fleet_state& oracle() const;
    instant now() const;
    const std::vector<std::string>& violations() const;
    /// Append a record as if by the router, without it knowing.
    void append(std::vector<std::byte> bytes);

    bool log_down = false;
    /// Engines that answer neither reads nor orders.
    std::set<engine_id> cut_engines;
    /// From an append to the routers reading it.
    duration log_delay = std::chrono::milliseconds(1);
    /// Asked for each append: whether its answer is lost after the effect.
    std::function<bool()> lose_answer;
    /// Asked for each order: whether its answer is lost after the effect.
    std::function<bool()> lose_order_answer;
    /// Seen for each record folded by the oracle.
    std::function<void(const record&, const fold_result&)> on_record;

private:
    using action = std::function<void()>;

    /// Any message takes this long.
    static constexpr duration hop = std::chrono::milliseconds(1);
    static constexpr duration housekeeping_interval =
        std::chrono::milliseconds(500);

    void at_time(duration delay, action what);
    void to_router(std::size_t index, duration delay, action what);
    void pump(std::size_t index);
    void handle(std::size_t index, control_command command);
    void append_batch_of(std::size_t index, append_batch batch);
    void order_of(std::size_t index, engine_order order);
    void deliver_log(std::size_t index);
    void deliver_peers();
    void housekeeping();
    void check_engine(engine_id id);
    void start(std::size_t index);
    stamp_ms wall() const;

    controller::options defaults;
    instant time{std::chrono::seconds(1000)};
    std::uint64_t event_number = 0;
    std::map<std::pair<instant, std::uint64_t>, action> events;
    std::vector<std::vector<std::byte>> log;
    fleet_state folded;
    std::vector<std::unique_ptr<router>> routers;
    std::map<engine_id, std::unique_ptr<fake_engine>> engines;
    std::map<std::string, vm_entry> vms;
    std::vector<std::string> found;
    std::uint64_t admin_sequence = 0;
    std::uint64_t demand_epoch = 0;
};

} // namespace roseworks::test

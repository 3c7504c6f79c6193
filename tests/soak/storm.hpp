#pragma once

#include "tests/soak/call_book.hpp"
#include "tests/soak/in_force_watch.hpp"
#include "tests/soak/ledger_watch.hpp"
#include "tests/soak/soak_options.hpp"
#include "tests/support/fleet.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace roseworks::test
{

/// How the prompt of a request begins that crashes an engine.
inline constexpr std::string_view poison_prompt = "poison-";

/** The platform's faults, one or two at a time, drawn from a seed.

    Works on the thread that calls it; nobody else may start or end the fleet's
    processes meanwhile.
*/
class storm
{
public:
    storm(
        const soak_options& options,
        fleet& nodes,
        call_book& book,
        ledger_watch& watch,
        in_force_watch& changes);

    /// Inject faults until a time; all are over when it returns.
    void blow_until(steady_time end);

    /// Append what routers have logged since their start to the log folder.
    void keep_logs();

    /// How often each kind was injected.
    const std::map<std::string, std::uint64_t>& counts() const;
    /// A router was killed until it was started again; calls may be cut.
    const std::vector<outage>& router_kills() const;
    /// A router was asked to end until it was started again.
    const std::vector<outage>& router_replacements() const;
    /// A router stood still.
    const std::vector<outage>& router_pauses() const;
    /// What broke while faults were injected, for example a shutdown.
    const std::vector<std::string>& failures() const;
    /// Exit codes of operators' changes and how often each came.
    const std::map<int, std::uint64_t>& apply_results() const;
    /// Routers that ended without a handover while the log or an engine was
    /// at fault.
    std::uint64_t unfinished_handovers() const;

private:
    /// What a fault works on; two at once have different ones.
    enum class target_kind
    {
        router,
        log,
        engine,
        service,
        store,
        vm_list,
        records,
    };

    /// Begins or ends a fault on the target of this index.
    using action = void (storm::*)(std::size_t);

    /// One kind of fault.
    struct fault_kind
    {
        std::string_view name;
        target_kind target;
        action begin;
        action end;
        std::string_view control; ///< what a stand-in is told, if it is one
    };

    /// A fault that is on.
    struct active_fault
    {
        const fault_kind* kind = nullptr;
        std::size_t target = 0;
    };

    static const std::vector<fault_kind>& kinds();

    /// Whether a router that ends meanwhile may be unable to hand over.
    static bool hinders_handover(const active_fault& fault);

    std::vector<active_fault> draw();
    std::size_t targets(target_kind kind) const;
    void hold();
    void begin(const active_fault& fault);
    void end(const active_fault& fault);

    void kill_router(std::size_t router);
    void restart_killed(std::size_t router);
    void pause_router(std::size_t router);
    void resume_router(std::size_t router);
    void ask_router_to_end(std::size_t router);
    void replace_router(std::size_t router);
    void start_router(std::size_t router);
    void kill_engine(std::size_t engine);
    void poison_engine(std::size_t engine);
    void revive_engine(std::size_t engine);
    void lag_reports(std::size_t engine);
    void end_lag(std::size_t engine);
    void leave(std::size_t engine);
    void come_back(std::size_t engine);
    void put_vm(std::size_t engine, std::string_view state);
    void roll_records(std::size_t);
    void tell_log(std::size_t);
    void calm_log(std::size_t);
    void tell_engine(std::size_t engine);
    void calm_engine(std::size_t engine);
    void tell_service(std::size_t service);
    void calm_service(std::size_t service);
    void tell_store(std::size_t);
    void calm_store(std::size_t);
    void tell_vm_list(std::size_t);
    void calm_vm_list(std::size_t);
    void tell_log_proxy(std::size_t);
    void calm_log_proxy(std::size_t);
    void tell_engine_proxy(std::size_t engine);
    void calm_engine_proxy(std::size_t engine);
    void tell_service_proxy(std::size_t service);
    void calm_service_proxy(std::size_t service);
    void nothing(std::size_t);

    /// Tell a stand-in; a failure to take it is a fault of the run.
    void tell(const std::string& address, std::string_view command);
    void apply_as(const std::string& author, const std::string& text);
    void keep_log(std::size_t router);

    soak_options options;
    fleet& nodes;
    call_book& book;
    ledger_watch& watch;
    in_force_watch& changes;
    std::vector<boost::json::object> backend_vms; ///< by engine
    std::mt19937_64 random;
    std::string_view command; ///< of the fault that begins
    std::map<std::string, std::uint64_t> injected;
    std::vector<outage> kills;
    std::vector<outage> replacements;
    std::vector<outage> pauses;
    std::vector<std::string> failed;
    std::mutex applied_mutex;
    std::map<int, std::uint64_t> applied;
    std::map<std::size_t, steady_time> router_away_since;
    bool handover_hindered = false; ///< by a fault that is on
    std::uint64_t not_handed_over = 0;
    std::uint64_t poisons = 0;
    std::uint64_t revision = 1;
    std::vector<std::jthread> poisoned_calls;
};

} // namespace roseworks::test

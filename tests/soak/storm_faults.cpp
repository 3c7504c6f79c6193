// The table of faults and what each one does to the fleet.

#include "tests/soak/soak_fleet.hpp"
#include "tests/soak/storm.hpp"
#include "tests/soak/traffic.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>
#include <optional>
#include <utility>

namespace roseworks::test
{

namespace
{

constexpr std::string_view up = R"({"mode":"up"})";
constexpr std::string_view pass = R"({"mode":"pass"})";
constexpr std::string_view no_lag = R"({"lag_ms":0})";
constexpr std::string_view silent = R"({"mode":"silent","scope":"existing"})";
constexpr std::string_view reset = R"({"mode":"reset"})";
constexpr std::string_view truncate =
    R"({"mode":"truncate","after_bytes":150})";
constexpr std::string_view swallow = R"({"mode":"swallow_answer"})";
constexpr std::string_view delay = R"({"mode":"delay","delay_ms":150})";
constexpr std::string_view down = R"({"mode":"down"})";
constexpr std::string_view hang = R"({"mode":"hang"})";
constexpr std::string_view lose = R"({"mode":"lose_answers"})";
constexpr std::string_view slow = R"({"mode":"slow","delay_ms":800})";
constexpr std::string_view slow_store = R"({"mode":"slow","factor":50})";
constexpr std::string_view lag = R"({"lag_ms":2000})";
constexpr std::string_view drop_answer = R"({"drop_next_order_answer":true})";
constexpr std::string_view report_lag = R"({"report_lag_ms":1500})";

/// A router's exit code: nothing was cut, but the log didn't take its leave.
constexpr int handover_unfinished = 3;

/// The request that crashes the engine is sent by its caller so often.
constexpr int poisoned_attempts = 3;

} // namespace

const std::vector<storm::fault_kind>& storm::kinds()
{
    using at = target_kind;
    using self = storm;
    static const std::vector<fault_kind> all{
        {"router_kill", at::router, &self::kill_router, &self::restart_killed},
        {"router_pause", at::router, &self::pause_router, &self::resume_router},
        {"router_replacement",
         at::router,
         &self::ask_router_to_end,
         &self::replace_router},
        {"log_down", at::log, &self::tell_log, &self::calm_log, down},
        {"log_slow", at::log, &self::tell_log, &self::calm_log, slow},
        {"log_lost_answers", at::log, &self::tell_log, &self::calm_log, lose},
        {"log_silent",
         at::log,
         &self::tell_log_proxy,
         &self::calm_log_proxy,
         silent},
        {"log_reset",
         at::log,
         &self::tell_log_proxy,
         &self::calm_log_proxy,
         reset},
        {"log_delay",
         at::log,
         &self::tell_log_proxy,
         &self::calm_log_proxy,
         delay},
        {"engine_hang",
         at::engine,
         &self::tell_engine,
         &self::calm_engine,
         hang},
        {"engine_lost_answers",
         at::engine,
         &self::tell_engine,
         &self::calm_engine,
         lose},
        {"engine_kill", at::engine, &self::kill_engine, &self::revive_engine},
        {"engine_poison",
         at::engine,
         &self::poison_engine,
         &self::revive_engine},
        {"engine_order_answer_lost",
         at::engine,
         &self::tell_engine,
         &self::nothing,
         drop_answer},
        {"engine_report_lag",
         at::engine,
         &self::lag_reports,
         &self::end_lag,
         report_lag},
        {"engine_silent",
         at::engine,
         &self::tell_engine_proxy,
         &self::calm_engine_proxy,
         silent},
        {"engine_reset",
         at::engine,
         &self::tell_engine_proxy,
         &self::calm_engine_proxy,
         reset},
        {"engine_truncated",
         at::engine,
         &self::tell_engine_proxy,
         &self::calm_engine_proxy,
         truncate},
        {"engine_answer_swallowed",
         at::engine,
         &self::tell_engine_proxy,
         &self::calm_engine_proxy,
         swallow},
        {"engine_delay",
         at::engine,
         &self::tell_engine_proxy,
         &self::calm_engine_proxy,
         delay},
        {"vm_leaving", at::engine, &self::leave, &self::come_back},
        {"service_hang",
         at::service,
         &self::tell_service,
         &self::calm_service,
         hang},
        {"service_lost_answers",
         at::service,
         &self::tell_service,
         &self::calm_service,
         lose},
        {"service_silent",
         at::service,
         &self::tell_service_proxy,
         &self::calm_service_proxy,
         silent},
        {"service_reset",
         at::service,
         &self::tell_service_proxy,
         &self::calm_service_proxy,
         reset},
        {"service_truncated",
         at::service,
         &self::tell_service_proxy,
         &self::calm_service_proxy,
         truncate},
        {"service_answer_swallowed",
         at::service,
         &self::tell_service_proxy,
         &self::calm_service_proxy,
         swallow},
        {"store_down", at::store, &self::tell_store, &self::calm_store, down},
        {"store_slow",
         at::store,
         &self::tell_store,
         &self::calm_store,
         slow_store},
        {"vm_list_down",
         at::vm_list,
         &self::tell_vm_list,
         &self::calm_vm_list,
         down},
        {"vm_list_lag",
         at::vm_list,
         &self::tell_vm_list,
         &self::calm_vm_list,
         lag},
        {"racing_operators", at::records, &self::roll_records, &self::nothing},
    };
    return all;
}

void storm::kill_router(std::size_t router)
{
    this->router_away_since[router] = std::chrono::steady_clock::now();
    this->nodes.router(router).kill();
}

void storm::restart_killed(std::size_t router)
{
    this->start_router(router);
    this->kills.push_back(
        {router,
         this->router_away_since[router],
         std::chrono::steady_clock::now()});
}

void storm::pause_router(std::size_t router)
{
    this->router_away_since[router] = std::chrono::steady_clock::now();
    this->nodes.router(router).send_signal(SIGSTOP);
}

void storm::resume_router(std::size_t router)
{
    this->nodes.router(router).send_signal(SIGCONT);
    this->pauses.push_back(
        {router,
         this->router_away_since[router],
         std::chrono::steady_clock::now()});
}

void storm::ask_router_to_end(std::size_t router)
{
    this->router_away_since[router] = std::chrono::steady_clock::now();
    this->nodes.router(router).send_signal(SIGTERM);
}

void storm::replace_router(std::size_t router)
{
    child_process& leaving = this->nodes.router(router);
    const bool ended = eventually(
        [&]
        {
            return !leaving.running();
        });
    const auto code = ended ? leaving.wait() : std::nullopt;
    if (code == handover_unfinished && this->handover_hindered)
        ++this->not_handed_over;
    else if (code != 0)
    {
        this->failed.push_back(
            "router " + std::to_string(router + 1) + " ended with " +
            (code ? std::to_string(*code) : "no code within the limit") +
            " after SIGTERM");
    }
    this->start_router(router);
    this->replacements.push_back(
        {router,
         this->router_away_since[router],
         std::chrono::steady_clock::now()});
}

void storm::start_router(std::size_t router)
{
    this->keep_log(router);
    this->nodes.restart_router(router);
    this->book.router_moved(router, this->nodes.router_address(router));
}

void storm::kill_engine(std::size_t engine)
{
    this->nodes.engine(engine).kill();
}

void storm::poison_engine(std::size_t engine)
{
    const std::string needle =
        std::string(poison_prompt) + std::to_string(++this->poisons);
    this->tell(
        this->nodes.engine_address(engine),
        R"({"mode":"crash_on","needle":")" + needle + "\"}");
    const std::string servable =
        soak_servables()[this->random() % soak_servables().size()];
    const std::size_t router = this->random() % this->options.routers;
    this->poisoned_calls.emplace_back(
        [this, needle, servable, router]
        {
            for (int i = 0; i < poisoned_attempts; ++i)
            {
                call_record planned;
                planned.request_id = needle + "-" + std::to_string(i);
                planned.prompt = needle;
                planned.tokens = 4;
                planned.deadline = std::chrono::seconds(3);
                planned.router = router;
                this->book.send(planned, completion_call(planned, servable));
            }
        });
}

void storm::revive_engine(std::size_t engine)
{
    // A poisoned call may crash it until it is told to stop that.
    bool calm = false;
    const bool known = eventually(
        [&]
        {
            calm = control(this->nodes.engine_address(engine), up);
            return calm || !this->nodes.engine(engine).running();
        });
    if (calm)
        return;
    if (!known)
        this->failed.push_back("an engine runs and takes no command");
    this->watch.engine_ended(engine);
    this->nodes.restart_engine(engine);
    this->watch.engine_back(engine);
}

void storm::lag_reports(std::size_t engine)
{
    this->watch.reports_lag(engine, true);
    this->tell_engine(engine);
}

void storm::end_lag(std::size_t engine)
{
    this->tell(this->nodes.engine_address(engine), R"({"report_lag_ms":0})");
    this->watch.reports_lag(engine, false);
}

void storm::leave(std::size_t engine)
{
    this->put_vm(engine, "leaving");
}

/// The VM goes with its engine; a new one of the same name takes its place.
void storm::come_back(std::size_t engine)
{
    this->kill_engine(engine);
    this->tell(
        this->nodes.vm_list_address(),
        R"({"remove":["vm-e)" + std::to_string(engine + 1) + "\"]}");
    this->revive_engine(engine);
    this->put_vm(engine, "live");
}

void storm::put_vm(std::size_t engine, std::string_view state)
{
    boost::json::object vm = this->backend_vms.at(engine);
    vm["state"] = state;
    boost::json::array put;
    put.push_back(std::move(vm));
    this->tell(
        this->nodes.vm_list_address(),
        boost::json::serialize(boost::json::object{{"put", std::move(put)}}));
}

void storm::roll_records(std::size_t)
{
    ++this->revision;
    const std::vector<std::string>& rolling = soak_rolling_models();
    std::vector<std::jthread> operators;
    for (std::size_t i = 0; i < 2; ++i)
    {
        const std::string version =
            std::to_string(this->revision) + "-" + std::to_string(i);
        // Both change one model, and each changes one of its own.
        const std::string text =
            soak_records({{rolling[0], version}, {rolling[i + 1], version}});
        operators.emplace_back(
            [this, i, text]
            {
                this->apply_as("operator-" + std::to_string(i), text);
            });
    }
}

void storm::tell_log(std::size_t)
{
    this->tell(this->nodes.log_address(), this->command);
}

void storm::calm_log(std::size_t)
{
    this->tell(this->nodes.log_address(), up);
}

void storm::tell_engine(std::size_t engine)
{
    this->tell(this->nodes.engine_address(engine), this->command);
}

void storm::calm_engine(std::size_t engine)
{
    this->tell(this->nodes.engine_address(engine), up);
}

void storm::tell_service(std::size_t service)
{
    this->tell(this->nodes.service_address(service), this->command);
}

void storm::calm_service(std::size_t service)
{
    this->tell(this->nodes.service_address(service), up);
}

void storm::tell_store(std::size_t)
{
    this->tell(this->nodes.store_address(), this->command);
}

void storm::calm_store(std::size_t)
{
    this->tell(this->nodes.store_address(), up);
}

void storm::tell_vm_list(std::size_t)
{
    this->tell(this->nodes.vm_list_address(), this->command);
}

void storm::calm_vm_list(std::size_t)
{
    this->tell(this->nodes.vm_list_address(), up);
    this->tell(this->nodes.vm_list_address(), no_lag);
}

void storm::tell_log_proxy(std::size_t)
{
    this->tell(this->nodes.log_proxy(), this->command);
}

void storm::calm_log_proxy(std::size_t)
{
    this->tell(this->nodes.log_proxy(), pass);
}

void storm::tell_engine_proxy(std::size_t engine)
{
    this->tell(this->nodes.engine_proxy(engine), this->command);
}

void storm::calm_engine_proxy(std::size_t engine)
{
    this->tell(this->nodes.engine_proxy(engine), pass);
}

void storm::tell_service_proxy(std::size_t service)
{
    this->tell(this->nodes.service_proxy(service), this->command);
}

void storm::calm_service_proxy(std::size_t service)
{
    this->tell(this->nodes.service_proxy(service), pass);
}

void storm::nothing(std::size_t) {}

} // namespace roseworks::test

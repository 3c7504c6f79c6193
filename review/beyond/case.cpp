// No case (see finding.txt): a configuration moves the routes of a service to
// another one and lists the former no more, while its replicas are still
// registered.
#include "review/standins/group_store.hpp"

#include <set>

using namespace review;
using std::chrono::milliseconds;

namespace
{

constexpr int caller_count = 12;

std::string service_of_engines(const std::string& name)
{
    return R"({"name":")" + name +
           R"(","max_conns":360,"health_path":"/health","engine":{"slots":64,)"
           R"("mb":200000,"adapter_slots":8,"loads_per_s":1.6,)"
           R"("host_mb":130000,"models":[{"name":"m0","mb":65100,"load_s":6,)"
           R"("warm_s":0.6,"disk_s":0.78,"adapters":3,"adapter_mb":12}]}})";
}

/// @param chats  Service of the route `/chat/`.
/// @param listed Services with engines.
std::string
configuration(int version, const std::string& chats, const std::string& listed)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"chats","host":"a.example",)"
           R"("path_prefix":"/chat/","kind":"streaming","resumable":true,)"
           R"("max_attempts":2,"timeout_ms":5000,"goal_ms":500,)"
           R"("target_gap_ms":400,"priority":0,"service":")" +
           chats +
           R"("},{"name":"orders","host":"a.example",)"
           R"("path_prefix":"/order/","kind":"non_idempotent",)"
           R"("max_attempts":1,"timeout_ms":4000,"goal_ms":300,)"
           R"("priority":0,"service":"desk"}],)"
           R"("services":[{"name":"desk","max_conns":100,)"
           R"("health_path":"/health"},)" +
           listed +
           R"(],"limits":{"max_header_bytes":16384,)"
           R"("max_body_bytes":4194304,"header_timeout_ms":5000,)"
           R"("idle_timeout_ms":30000}})";
}

std::string entry_of(const server& one, const std::string& service)
{
    return R"({"service":")" + service + R"(","address":")" + one.address() +
           R"(","zone":"dc","version":"v1","slots":64,"state":"ready",)"
           R"("cold_ms":0,"seq":1,"stage":"mixed","born":1764900000000,)"
           R"("models":[{"name":"m0","version":1,"adapters":[]}],)"
           R"("available":{"in_memory":["m0"],"on_disk":["m0"]}})";
}

} // namespace

int main(int count, char** arguments)
{
    if (count < 4)
        return could_not_run;
    record log(arguments[2]);
    group_store store(log);
    std::mutex mutex;
    std::set<std::string> ran;
    const auto answer_engine = [&](connection& caller, const message& request)
    {
        if (request.first_line.starts_with("GET /report "))
            return caller.send(response(
                "200 OK",
                "Content-Type: application/json\r\n",
                R"({"stage":"mixed","models":[{"name":"m0","version":1,)"
                R"("adapters":[]}],"busy":false,"seq":0,"queued":0,)"
                R"("running":0,"kv_used":0,"kv_total":240000,"handles":0,)"
                R"("born":1764900000000,"available":{"in_memory":["m0"],)"
                R"("on_disk":["m0"]}})"));
        const std::string id = request.header("Attempt-Id");
        log.line("an engine gets " + request.first_line + " " + id);
        return caller.send(response(
            "200 OK",
            "Attempt-Id: " + id + "\r\nResponse-Seal: seal." + id + "\r\n",
            "x"));
    };
    const auto answer_desk = [&](connection& caller, const message& request)
    {
        const std::string id = request.header("Attempt-Id");
        {
            const std::lock_guard lock(mutex);
            ran.insert(id);
        }
        std::this_thread::sleep_for(milliseconds(150));
        return caller.send(response(
            "200 OK",
            "Attempt-Id: " + id + "\r\nResponse-Seal: seal." + id + "\r\n",
            "x"));
    };
    server old_engine(answer_engine);
    server new_engine(answer_engine);
    server desk(answer_desk);
    const std::string both =
        service_of_engines("plan-a") + "," + service_of_engines("plan-b");
    store.write("keyed.op", "config", configuration(3, "plan-a", both));
    store.write("keyed.servers", "i-1", entry_of(old_engine, "plan-a"));
    store.write("keyed.servers", "i-2", entry_of(new_engine, "plan-b"));
    store.write("keyed.servers", "i-3", entry_of(desk, "desk"));
    std::vector<std::unique_ptr<gateway>> gateways;
    for (const std::string name : {"edge-a-1", "edge-a-2"})
    {
        gateway::options chosen;
        chosen.program = arguments[1];
        chosen.folder = arguments[3];
        chosen.name = name;
        chosen.store = store.address();
        chosen.first_start = false;
        gateways.push_back(std::make_unique<gateway>(chosen));
        gateways.back()->start();
    }
    for (const auto& one : gateways)
    {
        if (!one->wait_until_ready(15'000))
            return could_not_run;
    }
    std::this_thread::sleep_for(std::chrono::seconds(5));
    std::atomic<bool> ended{false};
    std::atomic<int> answered{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> callers;
    for (int caller = 0; caller < caller_count; ++caller)
        callers.emplace_back(
            [&, caller]
            {
                connection kept;
                for (int i = 0; !ended; ++i)
                {
                    const std::string id =
                        "c" + std::to_string(caller) + "-" + std::to_string(i);
                    if (!kept.is_open())
                        kept = connection::open(
                            gateways[static_cast<std::size_t>(caller) % 2]
                                ->requests());
                    const bool sent = kept.send(
                        "POST /order/2f HTTP/1.1\r\nHost: a.example\r\n"
                        "Deadline-Ms: 4000\r\nContent-Length: 1\r\n"
                        "Attempt-Id: " +
                        id + "\r\n\r\nx");
                    const message answer =
                        sent ? kept.read_message(5000) : message();
                    log.line("client gets " + id + ": " + answer.first_line);
                    answered += answer.is_whole ? 1 : 0;
                    if (answer.is_whole)
                        continue;
                    kept.close();
                    std::this_thread::sleep_for(milliseconds(100));
                    const std::lock_guard lock(mutex);
                    if (!ran.contains(id))
                        continue;
                    ++lost;
                    log.line("LOST: " + id + " has run and got no answer");
                }
            });
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const int lost_before = lost;
    log.line("the operator writes version 5");
    store.write(
        "keyed.op",
        "config",
        configuration(
            5, "plan-b", has_trouble() ? service_of_engines("plan-b") : both));
    int crashes = 0;
    for (int i = 0; i < 100; ++i)
    {
        std::this_thread::sleep_for(milliseconds(50));
        for (const auto& one : gateways)
        {
            if (one->runs())
                continue;
            ++crashes;
            log.line(
                one->name() + " ended by itself, signal " +
                std::to_string(one->ending_signal()));
            // The platform starts it again.
            one->start();
        }
    }
    ended = true;
    for (std::thread& caller : callers)
        caller.join();
    log.line(
        "answered " + std::to_string(answered) + ", gateways that crashed " +
        std::to_string(crashes) + ", requests that ran and got no answer: " +
        std::to_string(lost_before) + " before the change, " +
        std::to_string(lost - lost_before) + " after it");
    if (answered < 100)
        return could_not_run;
    return crashes == 0 && lost == 0 ? held : broken;
}

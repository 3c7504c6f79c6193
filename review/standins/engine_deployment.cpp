#include "review/standins/engine_deployment.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace review
{

namespace json = boost::json;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t adapter_slots = 8;
constexpr int engine_count = 9;
constexpr milliseconds lease{3000};
const std::string born = "1764900000000";

const std::string configuration =
    R"({"version":1,"routes":[{"name":"chats","host":"a.example",)"
    R"("path_prefix":"/chat/","kind":"streaming","resumable":true,)"
    R"("max_attempts":2,"timeout_ms":5000,"goal_ms":500,"target_gap_ms":400,)"
    R"("priority":0,"session_affinity":true,"service":"llm"}],)"
    R"("services":[{"name":"llm","max_conns":360,"health_path":"/health",)"
    R"("engine":{"slots":64,"mb":200000,"adapter_slots":8,"loads_per_s":1.6,)"
    R"("host_mb":130000,"disk_mb":1200000,"models":[{"name":"m0","mb":65100,)"
    R"("load_s":6,"warm_s":0.6,"disk_s":0.78,"adapters":96,"adapter_mb":12}]}}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":5000,"idle_timeout_ms":30000}})";

} // namespace

engine::engine(std::string chosen_id, record& chosen_log)
    : id(std::move(chosen_id))
    , log(chosen_log)
    , listener(
          [this](connection& caller, const message& request)
          {
              return this->answer(caller, request);
          })
{
}

std::string engine::entry() const
{
    return R"({"service":"llm","address":")" + this->listener.address() +
           R"(","zone":"dc","version":"v1","slots":64,"state":"ready",)"
           R"("cold_ms":0,"seq":1,"stage":"mixed","born":)" +
           born +
           R"(,"models":[{"name":"m0","version":1,"adapters":[]}],)"
           R"("available":{"in_memory":["m0"],"on_disk":["m0"]}})";
}

void engine::hold_next(
    const std::string& holder, milliseconds delay, std::function<void()> on_way)
{
    const std::lock_guard lock(this->mutex);
    this->held_holder = holder;
    this->held_delay = delay;
    this->on_held = std::move(on_way);
}

bool engine::answer(connection& caller, const message& request)
{
    this->message_count += 2; // and its answer
    if (request.first_line.starts_with("POST /order "))
        return caller.send(this->answer_order(request));
    if (request.first_line.starts_with("GET /report "))
        return caller.send(response(
            "200 OK", "Content-Type: application/json\r\n", this->report()));
    if (request.first_line.starts_with("GET /health "))
        return caller.send(
            response("200 OK", "Replica-Id: " + this->id + "\r\n", ""));
    const std::string id = request.header("Attempt-Id");
    const std::string model = request.header("Model");
    bool has_model = model == "m0";
    {
        const std::lock_guard lock(this->mutex);
        has_model = has_model || (model.starts_with("m0/") &&
                                  this->adapters.contains(model.substr(3)));
    }
    if (!has_model)
        return caller.send(response(
            "421 Misdirected Request",
            "Replica-Id: " + this->id + "\r\nNot-Executed: 1\r\n",
            ""));
    return caller.send(response(
        "200 OK",
        "Attempt-Id: " + id + "\r\nResponse-Seal: seal." + id +
            "\r\nContent-Type: text/event-stream\r\n",
        "id: 1\ndata: x\n\n"));
}

void engine::pass_link(const std::string& holder)
{
    milliseconds delay{};
    std::function<void()> notify;
    {
        const std::lock_guard lock(this->mutex);
        if (this->held_holder != holder)
            return;
        this->held_holder.clear();
        delay = this->held_delay;
        notify = this->on_held;
    }
    if (delay > milliseconds(0))
        this->log.line(
            "link: a packet of an order from " + holder + " to " + this->id +
            " is lost");
    notify();
    std::this_thread::sleep_for(delay);
}

std::string engine::answer_order(const message& request)
{
    const json::object body = json::parse(request.body).as_object();
    const std::string holder(body.at("holder").as_string());
    this->pass_link(holder);
    const std::string operation(body.at("operation").as_string());
    const json::value* adapter = body.if_contains("adapter");
    const std::string name =
        adapter == nullptr ? "" : std::string(adapter->as_string());
    const std::lock_guard lock(this->mutex);
    arrived_order order;
    order.holder = holder;
    order.token = body.at("fencing_token").to_number<std::uint64_t>();
    order.at = steady::now();
    std::string status;
    const json::value* expected = body.if_contains("expected_rev");
    if (expected != nullptr &&
        expected->to_number<std::uint64_t>() != this->orders_taken)
        status = "409 Conflict";
    else if (name.empty())
        status = "400 Bad Request";
    else if (operation == "load" && this->adapters.contains(name))
        status = "200 OK";
    else
    {
        ++this->orders_taken;
        status = operation == "load" ? "202 Accepted" : "200 OK";
        if (operation == "load")
            this->adapters.insert(name);
        else
            this->adapters.erase(name);
    }
    this->log.line(
        this->id + ": order from " + holder + ", token " +
        std::to_string(order.token) + ": " + operation + " " + name + ": " +
        status);
    if (this->adapters.size() > adapter_slots)
        this->log.line(this->id + ": LIMIT: more adapters than adapter_slots");
    this->judge(order);
    return response(status, "", "{}");
}

void engine::judge(const arrived_order& order)
{
    if (order.token < this->highest_token)
    {
        ++this->lower_count;
        this->log.line(
            "ONE: token " + std::to_string(order.token) + " after " +
            std::to_string(this->highest_token));
    }
    this->highest_token = std::max(this->highest_token, order.token);
    // A, B, A within the lease.
    bool is_other_between = false;
    for (auto before = this->arrived.rbegin(); before != this->arrived.rend();
         ++before)
    {
        if (order.at - before->at >= lease)
            break;
        if (before->holder != order.holder)
            is_other_between = true;
        else if (is_other_between)
        {
            ++this->turn_count;
            this->log.line("ONE: holders take turns within the lease");
            break;
        }
    }
    this->arrived.push_back(order);
}

std::string engine::report()
{
    const std::lock_guard lock(this->mutex);
    std::string list;
    for (const std::string& name : this->adapters)
        list += (list.empty() ? "\"" : ",\"") + name + "\"";
    return R"({"stage":"mixed","models":[{"name":"m0","version":1,"adapters":[)" +
           list + R"(]}],"busy":false,"seq":)" +
           std::to_string(this->orders_taken) + R"(,"born":)" + born +
           R"(,"queued":0,"running":0,"kv_used":0,"kv_total":240000,)"
           R"("handles":0,"available":{"in_memory":["m0"],"on_disk":["m0"]}})";
}

int engine::orders()
{
    const std::lock_guard lock(this->mutex);
    return static_cast<int>(this->arrived.size());
}

int engine::lower_tokens()
{
    const std::lock_guard lock(this->mutex);
    return this->lower_count;
}

int engine::turns()
{
    const std::lock_guard lock(this->mutex);
    return this->turn_count;
}

engine_deployment::engine_deployment(
    int count, char** arguments, int gateway_count)
    : log(count > 2 ? arguments[2] : ".")
    , program(count > 1 ? arguments[1] : "")
    , folder(count > 3 ? arguments[3] : ".")
    , store(this->log)
{
    for (int i = 1; i <= engine_count; ++i)
        this->engines.push_back(
            std::make_unique<engine>("i-" + std::to_string(i), this->log));
    for (int i = 1; i <= gateway_count; ++i)
    {
        gateway::options chosen;
        chosen.program = this->program;
        chosen.folder = this->folder;
        chosen.name = "edge-a-" + std::to_string(i);
        chosen.store = this->store.address();
        chosen.first_start = false;
        chosen.fences_checked = false;
        this->gateways.push_back(std::make_unique<gateway>(chosen));
    }
}

bool engine_deployment::start()
{
    this->store.write("keyed.op", "config", configuration);
    int number = 0;
    for (const auto& one : this->engines)
        this->store.write(
            "keyed.servers", "i-" + std::to_string(++number), one->entry());
    for (const auto& one : this->gateways)
        one->start();
    for (const auto& one : this->gateways)
    {
        if (!one->wait_until_ready(15'000))
            return false;
    }
    return this->wait_for_owner() != nullptr;
}

void engine_deployment::ask_for_adapters(const std::atomic<bool>& stopped)
{
    std::vector<std::thread> callers;
    while (!stopped)
    {
        ++this->asked;
        callers.emplace_back(
            [this, number = this->asked]
            {
                const std::string id = "c-" + std::to_string(number);
                const std::string model = "m0/a" + std::to_string(number);
                const gateway& entry = *this->gateways
                                            [static_cast<std::size_t>(number) %
                                             this->gateways.size()];
                const message answer = call(
                    entry.requests(),
                    "POST /chat/2f HTTP/1.1\r\nHost: a.example\r\n"
                    "Attempt-Id: " +
                        id + "\r\nModel: " + model +
                        "\r\nToken-Usage: 100,10\r\nDeadline-Ms: 3000\r\n"
                        "Connection: close\r\nContent-Length: 1\r\n\r\nx",
                    4000);
                this->log.line(
                    "client gets " + id + " (" + model +
                    "): " + answer.first_line);
            });
        std::this_thread::sleep_for(milliseconds(40));
    }
    for (std::thread& one : callers)
        one.join();
}

gateway* engine_deployment::wait_for_owner()
{
    for (int i = 0; i < 300; ++i)
    {
        const std::string name = this->store.holder();
        for (const auto& one : this->gateways)
        {
            if (one->name() == name)
                return one.get();
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return nullptr;
}

bool engine_deployment::wait_for_order_on_its_way(
    const std::string& holder, milliseconds delay)
{
    {
        const std::lock_guard lock(this->mutex);
        this->is_on_its_way = false;
    }
    const auto notify = [this]
    {
        const std::lock_guard lock(this->mutex);
        this->is_on_its_way = true;
        this->changed.notify_all();
    };
    for (const auto& one : this->engines)
        one->hold_next(holder, delay, notify);
    std::unique_lock lock(this->mutex);
    const bool found = this->changed.wait_for(
        lock,
        std::chrono::seconds(5),
        [this]
        {
            return this->is_on_its_way;
        });
    lock.unlock();
    for (const auto& one : this->engines)
        one->hold_next({}, {}, {});
    return found;
}

bool engine_deployment::wait_for_end(gateway& one) const
{
    constexpr int grace_ms = 8000;
    for (int waited = 0; waited < grace_ms; waited += 50)
    {
        if (!one.runs())
            return true;
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

int engine_deployment::orders()
{
    int total = 0;
    for (const auto& one : this->engines)
        total += one->orders();
    return total;
}

int engine_deployment::lower_tokens()
{
    int total = 0;
    for (const auto& one : this->engines)
        total += one->lower_tokens();
    return total;
}

int engine_deployment::turns()
{
    int total = 0;
    for (const auto& one : this->engines)
        total += one->turns();
    return total;
}

int engine_deployment::messages() const
{
    int total = 0;
    for (const auto& one : this->engines)
        total += one->messages();
    return total;
}

} // namespace review

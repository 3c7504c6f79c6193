#include "review/standins/small_deployment.hpp"

#include <chrono>

namespace review
{

namespace
{

// Routes as the sheets have them: orders may run once, checks may be repeated.
const std::string configuration =
    R"({"version":1,"routes":[{"name":"orders","host":"a.example",)"
    R"("path_prefix":"/order/","kind":"non_idempotent","max_attempts":2,)"
    R"("timeout_ms":4000,"goal_ms":300,"priority":0,"service":"app"},)"
    R"({"name":"checks","host":"a.example","path_prefix":"/check/",)"
    R"("kind":"idempotent","max_attempts":2,"timeout_ms":4000,)"
    R"("goal_ms":300,"priority":0,"service":"app"}],)"
    R"("services":[{"name":"app","max_conns":100,"health_path":"/health"}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":5000,"idle_timeout_ms":30000}})";

} // namespace

std::string good_answer(const std::string& id)
{
    return response(
        "200 OK",
        "Attempt-Id: " + id + "\r\nResponse-Seal: seal." + id + "\r\n",
        "body of " + id);
}

bool is_good_answer(const message& answer, const std::string& id)
{
    return answer.status() == 200 && answer.is_whole &&
           answer.header("Response-Seal") == "seal." + id &&
           answer.body == "body of " + id;
}

std::string request_for(
    const std::string& path, const std::string& id, const std::string& body)
{
    return "POST " + path +
           "2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id +
           "\r\nDeadline-Ms: 4000\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

small_deployment::small_deployment(int count, char** arguments)
    : log(count > 2 ? arguments[2] : ".")
    , program(count > 1 ? arguments[1] : "")
    , folder(count > 3 ? arguments[3] : ".")
{
}

void small_deployment::add_server(server::handler answer)
{
    this->servers.push_back(std::make_unique<server>(
        [answer = std::move(answer)](connection& caller, const message& request)
        {
            const std::string id = request.header("Attempt-Id");
            if (id.starts_with("start-"))
                return caller.send(good_answer(id));
            return answer(caller, request);
        }));
}

bool small_deployment::start(int gateway_count)
{
    this->store.write("keyed.op", "config", configuration);
    int number = 0;
    for (const auto& one : this->servers)
        this->store.write(
            "keyed.servers",
            "i-" + std::to_string(++number),
            R"({"service":"app","address":")" + one->address() +
                R"(","zone":"dc","version":"v1","slots":64,"state":"ready",)"
                R"("cold_ms":0,"born":1764900000000,"seq":1})");
    for (int i = 1; i <= gateway_count; ++i)
    {
        gateway::options chosen;
        chosen.program = this->program;
        chosen.folder = this->folder;
        chosen.name = "edge-a-" + std::to_string(i);
        chosen.store = this->store.address(0);
        this->gateways.push_back(std::make_unique<gateway>(chosen));
        this->gateways.back()->start();
    }
    for (const auto& one : this->gateways)
    {
        if (!one->wait_until_ready(15'000) || !this->serves(*one))
        {
            this->log.line("a gateway does not serve");
            return false;
        }
    }
    return true;
}

bool small_deployment::serves(const gateway& one) const
{
    for (int i = 0; i < 200; ++i)
    {
        const std::string id = "start-" + std::to_string(i);
        const message answer =
            call(one.requests(), request_for("/check/", id, "x"), 2000);
        if (is_good_answer(answer, id))
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

} // namespace review

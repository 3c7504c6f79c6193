// Stand-in of a plain service, which counts every run.

#include "standins/common/fault_switch.hpp"
#include "standins/common/program.hpp"

#include <map>
#include <utility>

namespace roseworks::standins
{

namespace
{

using run_counts = std::map<std::string, std::uint64_t>;

json::object to_json(const run_counts& counts)
{
    json::object result;
    for (const auto& [key, count] : counts)
    {
        result[key] = count;
    }
    return result;
}

class plain_service : public service
{
public:
    explicit plain_service(std::string service_name)
        : name(std::move(service_name))
        , faults({fault::up, fault::hang, fault::lose_answers, fault::slow})
    {
    }

private:
    void control(const json::object& command) override;
    [[nodiscard]] json::object ledger() const override;
    asio::awaitable<void> serve(exchange& call) override;

    /// Counts one run.
    ///
    /// @return How often this call has run: by its idempotency key, by its
    ///         request id where it has none, else all runs.
    std::uint64_t count_run(const exchange& call);

    std::string name;
    fault_switch faults;
    std::uint64_t runs = 0;
    run_counts by_request_id;
    run_counts by_idempotency_key;
};

void plain_service::control(const json::object& command)
{
    this->faults.apply(command);
}

json::object plain_service::ledger() const
{
    json::object result;
    result["runs"] = this->runs;
    result["by_request_id"] = to_json(this->by_request_id);
    result["by_idempotency_key"] = to_json(this->by_idempotency_key);
    return result;
}

asio::awaitable<void> plain_service::serve(exchange& call)
{
    json::object body;
    body["service"] = this->name;
    body["path"] = call.path();
    body["run"] = this->count_run(call);
    const std::string request_id = call.header("X-Request-Id");
    if (!request_id.empty())
    {
        call.set_header("X-Request-Id", request_id);
    }
    if (this->faults.is(fault::lose_answers))
    {
        call.lose_answer();
    }
    co_await this->faults.pass();
    co_await this->faults.delay_answer();
    co_await call.send_json(200, std::move(body));
}

std::uint64_t plain_service::count_run(const exchange& call)
{
    std::uint64_t result = ++this->runs;
    const std::string request_id = call.header("X-Request-Id");
    if (!request_id.empty())
    {
        result = ++this->by_request_id[request_id];
    }
    const std::string key = call.header("Idempotency-Key");
    if (!key.empty())
    {
        result = ++this->by_idempotency_key[key];
    }
    return result;
}

} // namespace

} // namespace roseworks::standins

int main(int argc, char** argv)
{
    using namespace roseworks::standins;
    cxxopts::Options options =
        make_options("standin-service", "Plain service that counts its runs");
    options.add_options()(
        "name", "the service's name in its answers", text_value("service"));
    return run_program(
        argc,
        argv,
        options,
        "listen",
        [](const cxxopts::ParseResult& arguments)
        {
            return std::make_unique<plain_service>(
                arguments["name"].as<std::string>());
        });
}

// Stand-in of the platform's rate-limited weight store.

#include "standins/common/fault_switch.hpp"
#include "standins/common/json_fields.hpp"
#include "standins/common/program.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <utility>

namespace roseworks::standins
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr std::string_view weights_path = "/v1/weights/";
constexpr std::chrono::milliseconds step{5};

struct weight_store_options
{
    std::uint64_t loads_per_second = 0; ///< 0 for no limit
    std::uint64_t slots = 0;            ///< loads at full speed at once
    double mib_per_second = 0;          ///< full speed of one load
};

class weight_store_service : public service
{
public:
    explicit weight_store_service(const weight_store_options& given)
        : options(given)
        , faults({fault::up, fault::down, fault::slow})
    {
    }

private:
    void control(const json::object& command) override;
    [[nodiscard]] json::object ledger() const override;
    asio::awaitable<void> serve(exchange& call) override;

    asio::awaitable<void> load(exchange& call, std::string servable);

    /// Returns when the bytes are transferred, the store has gone down or the
    /// engine has left.
    asio::awaitable<void> transfer(exchange& call, double mib);

    /// Counts a load's start; false when the rate is used up.
    bool take_from_rate();

    [[nodiscard]] double speed() const;

    weight_store_options options;
    fault_switch faults;
    double factor = 1;
    std::deque<clock::time_point> recent;
    std::size_t active = 0;
    std::size_t peak_concurrency = 0;
    std::uint64_t over_rate = 0;
    std::uint64_t completed = 0;
    std::map<std::string, std::uint64_t> loads;
};

/// Counts one running load for as long as it lives.
class active_load
{
public:
    explicit active_load(std::size_t& counter)
        : count(counter)
    {
        ++this->count;
    }

    ~active_load()
    {
        --this->count;
    }

    active_load(const active_load&) = delete;
    active_load& operator=(const active_load&) = delete;

private:
    std::size_t& count;
};

void weight_store_service::control(const json::object& command)
{
    const double wanted = real_field(command, "factor", 1);
    if (!(wanted > 0))
    {
        throw bad_request("factor must be above 0");
    }
    this->faults.apply(command);
    this->factor = wanted;
}

json::object weight_store_service::ledger() const
{
    json::object counts;
    for (const auto& [servable, count] : this->loads)
    {
        counts[servable] = count;
    }
    json::object result;
    result["loads"] = std::move(counts);
    result["completed"] = this->completed;
    result["active"] = this->active;
    result["peak_concurrency"] = this->peak_concurrency;
    result["over_rate"] = this->over_rate;
    return result;
}

asio::awaitable<void> weight_store_service::serve(exchange& call)
{
    const std::string& path = call.path();
    if (call.request().method() != http::verb::get ||
        !path.starts_with(weights_path) || path.size() == weights_path.size())
    {
        co_await send_not_found(call);
        co_return;
    }
    if (this->faults.is(fault::down))
    {
        co_await send_error(call, 503, "down");
        co_return;
    }
    std::string servable = path.substr(weights_path.size());
    co_await this->load(call, std::move(servable));
}

asio::awaitable<void>
weight_store_service::load(exchange& call, std::string servable)
{
    const std::uint64_t memory = call.query_number("memory", 0);
    if (!this->take_from_rate())
    {
        ++this->over_rate;
        co_await send_error(call, 429, "over_rate");
        co_return;
    }
    ++this->loads[servable];
    {
        const active_load counted(this->active);
        this->peak_concurrency = std::max(this->peak_concurrency, this->active);
        co_await this->transfer(call, static_cast<double>(memory));
    }
    if (this->faults.is(fault::down))
    {
        co_await send_error(call, 503, "down");
        co_return;
    }
    if (call.client_gone())
    {
        co_return;
    }
    ++this->completed;
    json::object body;
    body["servable"] = servable;
    body["memory"] = memory;
    co_await call.send_json(200, std::move(body));
}

asio::awaitable<void> weight_store_service::transfer(exchange& call, double mib)
{
    clock::time_point last = clock::now();
    double left = mib;
    while (left > 0 && !this->faults.is(fault::down) && !call.client_gone())
    {
        const std::chrono::duration<double> full(left / this->speed());
        const std::chrono::duration<double> wait =
            std::min(full, std::chrono::duration<double>(step));
        co_await sleep_for(std::chrono::ceil<std::chrono::microseconds>(wait));
        const clock::time_point now = clock::now();
        const std::chrono::duration<double> passed = now - last;
        left -= passed.count() * this->speed();
        last = now;
    }
}

bool weight_store_service::take_from_rate()
{
    const clock::time_point now = clock::now();
    while (!this->recent.empty() &&
           now - this->recent.front() >= std::chrono::seconds(1))
    {
        this->recent.pop_front();
    }
    const bool limited = this->options.loads_per_second != 0;
    if (limited && this->recent.size() >= this->options.loads_per_second)
    {
        return false;
    }
    this->recent.push_back(now);
    return true;
}

double weight_store_service::speed() const
{
    const auto running = static_cast<double>(this->active);
    const auto slots = static_cast<double>(this->options.slots);
    const double share = running > slots ? slots / running : 1;
    return this->options.mib_per_second * share / this->factor;
}

std::unique_ptr<service> make_service(const cxxopts::ParseResult& arguments)
{
    weight_store_options options;
    options.loads_per_second =
        arguments["loads-per-second"].as<std::uint64_t>();
    options.slots = arguments["slots"].as<std::uint64_t>();
    options.mib_per_second = arguments["mib-per-second"].as<double>();
    if (options.slots == 0 || !(options.mib_per_second > 0))
    {
        throw bad_request("slots and mib-per-second must be above 0");
    }
    return std::make_unique<weight_store_service>(options);
}

} // namespace

} // namespace roseworks::standins

int main(int argc, char** argv)
{
    using namespace roseworks::standins;
    cxxopts::Options options =
        make_options("standin-weight-store", "Rate-limited weight store");
    options.add_options()(
        "loads-per-second",
        "loads that may start in any second, 0 for no limit",
        number_value(0))(
        "slots", "loads at full speed at once", number_value(4))(
        "mib-per-second",
        "full speed of one load",
        cxxopts::value<double>()->default_value("10000"));
    return run_program(argc, argv, options, "listen", make_service);
}

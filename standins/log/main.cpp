// Stand-in of the platform's append-only log.

#include "standins/common/fault_switch.hpp"
#include "standins/common/json_fields.hpp"
#include "standins/common/notifier.hpp"
#include "standins/common/program.hpp"
#include "standins/log/event_log.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <ratio>
#include <utility>

namespace roseworks::standins
{

namespace
{

constexpr std::uint64_t default_read_bytes = 1024ULL * 1024;
constexpr std::uint64_t max_wait_ms = 60'000;

class log_service : public service
{
public:
    /// @param retain Records kept, 0 for all.
    /// @param rate   Appends taken a second, 0 for no limit.
    log_service(std::size_t retain, std::uint64_t rate)
        : log(retain)
        , append_gap(rate == 0 ? 0 : std::nano::den / rate)
        , faults({fault::up, fault::down, fault::slow, fault::lose_answers})
    {
    }

private:
    void control(const json::object& command) override;
    [[nodiscard]] json::object ledger() const override;
    asio::awaitable<void> serve(exchange& call) override;

    asio::awaitable<void> append(exchange& call);
    /// Appends take their turns at the limited rate, first come first served.
    asio::awaitable<void> wait_for_turn();
    asio::awaitable<void> read(exchange& call);
    asio::awaitable<void> status(exchange& call);
    asio::awaitable<void>
    wait_for_records(std::uint64_t from, std::uint64_t wait_ms);

    event_log log;
    std::chrono::nanoseconds append_gap;
    std::chrono::steady_clock::time_point next_append{};
    fault_switch faults;
    notifier changed;
    std::uint64_t appends = 0;
    std::uint64_t appended_bytes = 0;
    std::uint64_t reads = 0;
    std::uint64_t lost_answers = 0;
    std::uint64_t refused = 0;
};

void log_service::control(const json::object& command)
{
    const std::uint64_t trim_to = number_field(command, "trim_to");
    this->faults.apply(command);
    this->log.trim(trim_to);
    this->changed.notify_all();
}

json::object log_service::ledger() const
{
    json::object result;
    result["first_offset"] = this->log.first_offset();
    result["next_offset"] = this->log.next_offset();
    result["appends"] = this->appends;
    result["appended_bytes"] = this->appended_bytes;
    result["reads"] = this->reads;
    result["lost_answers"] = this->lost_answers;
    result["refused"] = this->refused;
    return result;
}

asio::awaitable<void> log_service::serve(exchange& call)
{
    if (this->faults.is(fault::down))
    {
        ++this->refused;
        co_await send_error(call, 503, "down");
    }
    else if (call.is(http::verb::post, "/v1/append"))
    {
        co_await this->append(call);
    }
    else if (call.is(http::verb::get, "/v1/read"))
    {
        co_await this->read(call);
    }
    else if (call.is(http::verb::get, "/v1/status"))
    {
        co_await this->status(call);
    }
    else
    {
        co_await send_not_found(call);
    }
}

asio::awaitable<void> log_service::append(exchange& call)
{
    std::vector<std::string> entries = split_entries(call.request().body());
    if (entries.empty())
    {
        throw bad_request("an append needs an entry");
    }
    co_await this->wait_for_turn();
    json::object body;
    body["count"] = entries.size();
    body["first_offset"] = this->log.append(std::move(entries));
    ++this->appends;
    this->appended_bytes += call.request().body().size();
    this->changed.notify_all();
    if (this->faults.is(fault::lose_answers))
    {
        ++this->lost_answers;
        call.lose_answer();
    }
    co_await this->faults.delay_answer();
    co_await call.send_json(200, std::move(body));
}

asio::awaitable<void> log_service::wait_for_turn()
{
    using clock = std::chrono::steady_clock;
    if (this->append_gap.count() == 0)
    {
        co_return;
    }
    const auto turn = std::max(clock::now(), this->next_append);
    this->next_append = turn + this->append_gap;
    asio::steady_timer timer(co_await asio::this_coro::executor, turn);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> log_service::read(exchange& call)
{
    const std::uint64_t from = call.query_number("from", 1);
    const std::uint64_t limit =
        call.query_number("max_bytes", default_read_bytes);
    const std::uint64_t wait_ms = call.query_number("wait_ms", 0);
    ++this->reads;
    co_await this->wait_for_records(from, std::min(wait_ms, max_wait_ms));
    co_await this->faults.delay_answer();
    if (this->faults.is(fault::down))
    {
        ++this->refused;
        co_await send_error(call, 503, "down");
        co_return;
    }
    if (from < this->log.first_offset())
    {
        json::object body;
        body["first_offset"] = this->log.first_offset();
        co_await call.send_json(410, std::move(body));
        co_return;
    }
    std::string bytes = this->log.read(from, limit);
    co_await call.send_bytes(200, "application/octet-stream", std::move(bytes));
}

asio::awaitable<void>
log_service::wait_for_records(std::uint64_t from, std::uint64_t wait_ms)
{
    using clock = std::chrono::steady_clock;
    const auto deadline = clock::now() + std::chrono::milliseconds(wait_ms);
    while (from >= this->log.next_offset() && !this->faults.is(fault::down))
    {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            deadline - clock::now());
        if (left.count() <= 0)
        {
            co_return;
        }
        co_await this->changed.wait_for(left);
    }
}

asio::awaitable<void> log_service::status(exchange& call)
{
    co_await this->faults.delay_answer();
    json::object body;
    body["first_offset"] = this->log.first_offset();
    body["next_offset"] = this->log.next_offset();
    co_await call.send_json(200, std::move(body));
}

} // namespace

} // namespace roseworks::standins

int main(int argc, char** argv)
{
    using namespace roseworks::standins;
    cxxopts::Options options =
        make_options("standin-log", "Append-only log in memory");
    options.add_options()(
        "retain-records",
        "how many records are kept, 0 for all",
        number_value(0))(
        "appends-per-second",
        "how many appends are taken in a second, 0 for no limit",
        number_value(0));
    return run_program(
        argc,
        argv,
        options,
        "listen",
        [](const cxxopts::ParseResult& arguments)
        {
            return std::make_unique<log_service>(
                arguments["retain-records"].as<std::uint64_t>(),
                arguments["appends-per-second"].as<std::uint64_t>());
        });
}

#include "standins/engine/engine_service.hpp"

#include "standins/common/client.hpp"
#include "standins/common/json_fields.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace roseworks::standins
{

namespace
{

constexpr std::size_t max_fetch_attempts = 20;
constexpr std::chrono::milliseconds fetch_retry_delay{250};

struct order_answer
{
    order_outcome outcome;
    unsigned status;
    std::string_view error; ///< empty when the order is accepted
};

constexpr std::array<order_answer, 9> order_answers{{
    {order_outcome::start_load, 202, ""},
    {order_outcome::start_unload, 202, ""},
    {order_outcome::repeated, 202, ""},
    {order_outcome::stale_fence, 409, "stale_fence"},
    {order_outcome::out_of_memory, 507, "out_of_memory"},
    {order_outcome::not_there, 404, "not_there"},
    {order_outcome::base_missing, 404, "base_missing"},
    {order_outcome::base_in_use, 409, "base_in_use"},
    {order_outcome::replica_unloading, 409, "replica_unloading"},
}};

} // namespace

engine_service::engine_service(engine_options given, std::uint64_t number)
    : options(std::move(given))
    , incarnation(number)
    , faults({fault::up, fault::hang, fault::lose_answers, fault::crash_on})
    , replicas(this->options.memory_mib)
    , orders(this->replicas, this->options.check_fencing)
    , slots(
          this->options.slots,
          [this]
          {
              this->record_state();
          })
    , prefixes(this->options.prefix_entries)
    , state(json::object())
{
}

void engine_service::control(const json::object& command)
{
    const std::string needle = string_field(command, "needle");
    const auto lag_ms = static_cast<std::uint64_t>(this->state.lag().count());
    const std::uint64_t wanted_lag =
        number_field(command, "report_lag_ms", lag_ms);
    const bool drop_answer = flag_field(
        command, "drop_next_order_answer", this->drop_next_order_answer);
    const std::uint64_t drop_events = number_field(command, "drop_events");
    if (string_field(command, "mode") == "crash_on" && needle.empty())
    {
        throw bad_request("crash_on needs a needle");
    }
    this->faults.apply(command);
    if (command.contains("mode"))
    {
        this->crash_needle = needle;
    }
    this->drop_next_order_answer = drop_answer;
    if (drop_events != 0)
    {
        this->prefixes.drop_events(drop_events);
    }
    if (wanted_lag != lag_ms)
    {
        this->state = lagged<json::object>(this->describe_state());
        this->state.set_lag(std::chrono::milliseconds(wanted_lag));
    }
}

json::object engine_service::ledger() const
{
    json::object result;
    result["executions"] = this->executions.to_json();
    this->orders.report(result);
    result["failed_loads"] = this->failed_loads;
    result["unauthorized_orders"] = this->unauthorized_orders;
    result["peak_memory"] = this->replicas.memory_peak();
    result["resident_peak"] = this->replicas.resident_peaks();
    return result;
}

asio::awaitable<void> engine_service::serve(exchange& call)
{
    co_await this->faults.pass();
    if (this->faults.is(fault::lose_answers))
    {
        call.lose_answer();
    }
    if (call.is(http::verb::post, "/v1/chat/completions"))
    {
        co_await this->complete(call, true);
    }
    else if (call.is(http::verb::post, "/v1/completions"))
    {
        co_await this->complete(call, false);
    }
    else if (call.is(http::verb::post, "/v1/engine/cancel"))
    {
        co_await this->cancel(call);
    }
    else if (call.is(http::verb::post, "/v1/engine/orders"))
    {
        co_await this->take_order(call);
    }
    else if (call.is(http::verb::get, "/v1/engine/state"))
    {
        co_await this->send_state(call);
    }
    else if (call.is(http::verb::get, "/v1/engine/events"))
    {
        co_await this->send_events(call);
    }
    else
    {
        co_await send_not_found(call);
    }
}

asio::awaitable<void> engine_service::send_state(exchange& call)
{
    const bool live = this->state.lag().count() == 0;
    json::value body = live ? this->describe_state() : this->state.seen();
    co_await call.send_json(200, std::move(body));
}

asio::awaitable<void> engine_service::send_events(exchange& call)
{
    const std::uint64_t from = call.query_number("from", 1);
    json::value body = this->prefixes.events(from, this->state.lag());
    co_await call.send_json(200, std::move(body));
}

asio::awaitable<void> engine_service::take_order(exchange& call)
{
    if (!this->authorized(call))
    {
        ++this->unauthorized_orders;
        co_await send_error(call, 401, "unauthorized");
        co_return;
    }
    const order received = parse_order(call.body_object());
    const order_outcome outcome = this->orders.decide(received);
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const std::uint64_t id = received.subject.id;
    if (outcome == order_outcome::start_load)
    {
        asio::co_spawn(executor, this->load(id), asio::detached);
    }
    if (outcome == order_outcome::start_unload)
    {
        asio::co_spawn(executor, this->unload(id), asio::detached);
    }
    this->publish_state();
    if (std::exchange(this->drop_next_order_answer, false))
    {
        call.lose_answer();
    }
    co_await this->answer_order(call, outcome);
}

bool engine_service::authorized(const exchange& call) const
{
    return this->options.credential.empty() ||
           call.header("Authorization") == "Bearer " + this->options.credential;
}

asio::awaitable<void>
engine_service::answer_order(exchange& call, order_outcome outcome) const
{
    const auto found = std::find_if(
        order_answers.begin(),
        order_answers.end(),
        [&](const order_answer& candidate)
        {
            return candidate.outcome == outcome;
        });
    json::object body;
    if (found->error.empty())
    {
        body["accepted"] = true;
    }
    else
    {
        body["error"] = found->error;
    }
    if (outcome == order_outcome::stale_fence)
    {
        body["highest"] = this->orders.highest_fence();
    }
    co_await call.send_json(found->status, std::move(body));
}

asio::awaitable<void> engine_service::load(std::uint64_t id)
{
    const replica wanted = *this->replicas.find(id);
    bool delivered = co_await this->wait_for_base(wanted.base);
    if (delivered && !this->options.disk_cached.contains(wanted.servable))
    {
        delivered =
            co_await this->fetch_weights(wanted.servable, wanted.memory);
    }
    co_await sleep_for(this->options.load_extra);
    co_await this->faults.pass();
    replica* const resident = this->replicas.find(id);
    if (resident->state == replica_state::unloading)
    {
        this->remove_replica(id);
        co_return;
    }
    this->failed_loads += delivered ? 0 : 1;
    resident->state = delivered ? replica_state::ready : replica_state::failed;
    this->publish_state();
}

asio::awaitable<bool> engine_service::wait_for_base(std::string base)
{
    while (!base.empty() && !this->replicas.holds(base, replica_state::ready))
    {
        if (!this->replicas.holds(base, replica_state::loading))
        {
            co_return false;
        }
        co_await this->replicas_changed.wait();
    }
    co_return true;
}

asio::awaitable<bool>
engine_service::fetch_weights(std::string servable, std::uint64_t mib)
{
    if (!this->options.weight_store)
    {
        co_return true;
    }
    const std::string target = "/v1/weights/" + encode_segment(servable) +
                               "?memory=" + std::to_string(mib);
    for (std::size_t attempt = 0; attempt < max_fetch_attempts; ++attempt)
    {
        const unsigned status =
            co_await get_status(*this->options.weight_store, target);
        if (status == 200)
        {
            co_return true;
        }
        co_await sleep_for(fetch_retry_delay);
    }
    co_return false;
}

asio::awaitable<void> engine_service::unload(std::uint64_t id)
{
    replica* const resident = this->replicas.find(id);
    const replica_state before = resident->state;
    resident->state = replica_state::unloading;
    this->publish_state();
    if (before == replica_state::loading)
    {
        co_return; // The running load removes it when it ends.
    }
    while (resident->requests > 0)
    {
        co_await this->replicas_changed.wait();
    }
    this->remove_replica(id);
}

void engine_service::remove_replica(std::uint64_t id)
{
    const std::string servable = this->replicas.find(id)->servable;
    this->replicas.remove(id);
    if (this->replicas.find_ready(servable) == nullptr)
    {
        this->prefixes.forget(servable);
    }
    this->publish_state();
}

json::object engine_service::describe_state() const
{
    json::array cached;
    for (const std::string& servable : this->options.disk_cached)
    {
        json::object item;
        item["servable"] = servable;
        item["tier"] = "disk";
        cached.emplace_back(std::move(item));
    }
    json::object result;
    result["engine"] = this->options.name;
    result["incarnation"] = this->incarnation;
    result["accelerators"] = this->options.accelerators;
    result["memory_total"] = this->replicas.memory_total();
    result["memory_used"] = this->replicas.memory_used();
    result["highest_fence"] = this->orders.highest_fence();
    result["residents"] = this->replicas.to_json();
    result["running"] = this->slots.running();
    result["waiting"] = this->slots.waiting();
    result["cached"] = std::move(cached);
    return result;
}

void engine_service::record_state()
{
    if (this->state.lag().count() != 0)
    {
        this->state.set(this->describe_state());
    }
}

void engine_service::publish_state()
{
    this->record_state();
    this->replicas_changed.notify_all();
}

} // namespace roseworks::standins

#pragma once

#include "standins/common/fault_switch.hpp"
#include "standins/common/lagged.hpp"
#include "standins/common/notifier.hpp"
#include "standins/common/service.hpp"
#include "standins/engine/completion.hpp"
#include "standins/engine/engine_options.hpp"
#include "standins/engine/execution_ledger.hpp"
#include "standins/engine/order_gate.hpp"
#include "standins/engine/prefix_cache.hpp"
#include "standins/engine/replica_set.hpp"
#include "standins/engine/slot_queue.hpp"

#include <chrono>
#include <set>
#include <string>

namespace roseworks::standins
{

/// A small model engine: takes orders, loads from the weight store, and makes
/// texts at a set pace.
class engine_service : public service
{
public:
    /// @param given       what the engine is like.
    /// @param incarnation larger than that of an earlier process of this name.
    engine_service(engine_options given, std::uint64_t incarnation);

private:
    using clock = std::chrono::steady_clock;

    class active_request;
    class replica_use;

    void control(const json::object& command) override;
    [[nodiscard]] json::object ledger() const override;
    asio::awaitable<void> serve(exchange& call) override;

    asio::awaitable<void> send_state(exchange& call);
    asio::awaitable<void> send_events(exchange& call);
    asio::awaitable<void> cancel(exchange& call);

    asio::awaitable<void> take_order(exchange& call);
    [[nodiscard]] bool authorized(const exchange& call) const;
    asio::awaitable<void>
    answer_order(exchange& call, order_outcome outcome) const;

    /// Brings a replica from `loading` to `ready` or `failed`.
    asio::awaitable<void> load(std::uint64_t id);

    /// Waits until an adapter's base model is ready; false when it is gone.
    asio::awaitable<bool> wait_for_base(std::string base);

    /// False when the weight store did not deliver.
    asio::awaitable<bool>
    fetch_weights(std::string servable, std::uint64_t mib);

    /// Waits for the requests that still use a replica, then removes it.
    asio::awaitable<void> unload(std::uint64_t id);

    void remove_replica(std::uint64_t id);

    asio::awaitable<void> complete(exchange& call, bool chat);
    asio::awaitable<void> execute(
        exchange& call,
        const completion_request& request,
        const active_request& active);
    asio::awaitable<bool> stream(
        exchange& call,
        const completion_writer& writer,
        std::uint64_t tokens,
        const active_request& active);

    /// The token after the last one that a resumed stream's caller has.
    [[nodiscard]] std::uint64_t first_token(const exchange& call) const;

    /// Works until a point in time; false when the request is cancelled or
    /// its caller has gone.
    asio::awaitable<bool> work_until(
        exchange& call, const active_request& active, clock::time_point end);

    [[nodiscard]] std::chrono::microseconds
    prefill_time(const completion_request& request);

    [[nodiscard]] std::string request_id(const exchange& call);

    [[nodiscard]] json::object describe_state() const;

    /// Records the state for lagged readers.
    void record_state();

    /// Records the state, and wakes whoever waits for a replica.
    void publish_state();

    engine_options options;
    std::uint64_t incarnation;
    fault_switch faults;
    std::string crash_needle;
    bool drop_next_order_answer = false;
    replica_set replicas;
    order_gate orders;
    slot_queue slots;
    prefix_cache prefixes;
    execution_ledger executions;
    std::set<active_request*> active_requests;
    notifier replicas_changed;
    lagged<json::object> state;
    std::uint64_t named_requests = 0;
    std::uint64_t failed_loads = 0;
    std::uint64_t unauthorized_orders = 0;
};

} // namespace roseworks::standins

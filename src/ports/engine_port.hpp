#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/dispatcher.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace roseworks
{

/// Port: sends orders to the model engines and reads their state. Each
/// completion runs exactly once, on the thread that runs the port.
class engine_port
{
public:
    using may_send = std::function<bool()>;
    using order_done = std::function<void(order_outcome)>;
    using read_done = std::function<void(engine_report)>;

    using cache_done = std::function<void(const cache_report&)>;

    virtual ~engine_port() = default;

    /** Sends an order once, without retries.

        @param order       The order to send.
        @param engine_name Selects the credential, if the engine checks one.
        @param allowed     Called immediately before the first byte is written;
                           if it returns false, the outcome is `not_sent`.
        @param done        Receives the outcome.
    */
    virtual void send_order(
        const engine_order& order,
        std::string_view engine_name,
        may_send allowed,
        order_done done) = 0;

    /// Reads an engine's state. If the read fails, the report says that the
    /// engine is unreachable.
    virtual void read_state(const read_engine& engine, read_done done) = 0;

    /** Reads the cache events since the last read of this engine.

        The events serve as hints only. Unlike other completions, `done` is not
        called if the engine has no events, can't be read, or is being read
        already. The default implementation never calls it.

        @param engine      The engine.
        @param incarnation Incarnation from the engine's state; if it changed,
                           reading starts over.
        @param done        Receives the events.
    */
    virtual void read_cache_events(
        const read_engine& engine, std::uint64_t incarnation, cache_done done)
    {
        static_cast<void>(engine);
        static_cast<void>(incarnation);
        static_cast<void>(done);
    }

    /// Closes all connections. Running calls complete as unanswered.
    virtual void cancel_all() = 0;
};

} // namespace roseworks

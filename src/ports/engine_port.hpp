#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/dispatcher.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace roseworks
{

/// Port: orders to the model engines and reads of their state. Completions
/// run on the thread that runs the port, exactly once each.
class engine_port
{
public:
    using may_send = std::function<bool()>;
    using order_done = std::function<void(order_outcome)>;
    using read_done = std::function<void(engine_report)>;

    using cache_done = std::function<void(const cache_report&)>;

    virtual ~engine_port() = default;

    /** Send an order once.

        @param order       What to do.
        @param engine_name Names the credential, where the engine checks one.
        @param allowed     Asked immediately before the first byte is written;
                           `not_sent` when it says no.
        @param done        Receives the outcome.
    */
    virtual void send_order(
        const engine_order& order,
        std::string_view engine_name,
        may_send allowed,
        order_done done) = 0;

    /// Read an engine's state; the report is unreachable when it can't be.
    virtual void read_state(const read_engine& what, read_done done) = 0;

    /** Read the cache events since the last read of this engine.

        Only hints hang on them, so here alone `done` may stay uncalled: when
        the engine has none to tell, which is what the default does, can't be
        read, or is being read already.

        @param what        The engine.
        @param incarnation As its state tells; another one reads anew.
        @param done        Receives the events.
    */
    virtual void read_cache_events(
        const read_engine& what, std::uint64_t incarnation, cache_done done)
    {
        static_cast<void>(what);
        static_cast<void>(incarnation);
        static_cast<void>(done);
    }

    /// Breaks all connections: running calls end as unanswered.
    virtual void cancel_all() = 0;
};

} // namespace roseworks

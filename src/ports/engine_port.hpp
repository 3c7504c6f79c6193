#pragma once

#include <roseworks/controller.hpp>

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

    /// Breaks all connections: running calls end as unanswered.
    virtual void cancel_all() = 0;
};

} // namespace roseworks

#pragma once

#include "core/serving/holdings_report.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace roseworks
{

/// The action that an order asks of an engine.
enum class engine_action : std::uint8_t
{
    load,
    unload
};

/// An order to one run (process lifetime) of an engine.
struct engine_command
{
    std::string engine;  ///< id of its registry entry
    std::string address; ///< ip:port
    engine_action action = engine_action::load;
    std::string model;
    std::string adapter;     ///< empty for the base model
    std::uint64_t fence = 0; ///< fencing number of the owner's tenure
    /// Number of orders that the engine must have taken before this one;
    /// otherwise it refuses the order.
    std::uint64_t orders_taken = 0;
};

/// The outcome of an order.
enum class command_outcome : std::uint8_t
{
    accepted,     ///< the engine is carrying it out
    already_so,   ///< the engine was already in the requested state
    out_of_step,  ///< another order is running, or the order count differs
    fenced_off,   ///< the engine has taken an order of a later owner
    wrong_server, ///< another run of a server answers at the address
    refused,      ///< the engine can't carry it out
    not_sent,     ///< nothing was sent: the engine was unreachable
    withheld,     ///< nothing was sent: the order was no longer allowed
    unknown       ///< it may have been taken, or may be taken later
};

/// Port: sends orders to engines and reads their reports. Each completion runs
/// exactly once, on the thread that runs the port.
class engine_command_port
{
public:
    using command_done = std::function<void(command_outcome)>;
    using report_done = std::function<void(std::optional<holdings_report>)>;

    virtual ~engine_command_port() = default;

    /// Sends an order once, without retries.
    /// @param allowed called immediately before the first byte is written; the
    ///                order is withheld if it returns false.
    virtual void send_command(
        const engine_command& command,
        std::function<bool()> allowed,
        command_done done) = 0;

    /// Reads an engine's report; the result is empty if the read fails.
    virtual void read_report(
        const std::string& engine,
        const std::string& address,
        report_done done) = 0;
};

} // namespace roseworks

#pragma once

#include "core/serving/holdings_report.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace roseworks
{

/// What an engine is told to do.
enum class engine_action : std::uint8_t
{
    load,
    unload
};

/// One order to one run of an engine.
struct engine_command
{
    std::string engine;  ///< id of its entry
    std::string address; ///< ip:port
    engine_action action = engine_action::load;
    std::string model;
    std::string adapter;            ///< empty: the base model
    std::uint64_t fence = 0;        ///< of the owner's tenure
    std::uint64_t orders_taken = 0; ///< that the engine has to have taken
};

/// What became of an order.
enum class command_end : std::uint8_t
{
    accepted,     ///< is being carried out
    already_so,   ///< nothing was to be done
    out_of_step,  ///< another order runs, or the count of orders differs
    fenced_off,   ///< a later owner has ordered this engine
    wrong_server, ///< another run of a server answers at the address
    refused,      ///< the engine can't do this
    not_sent,     ///< no byte left: the engine couldn't be reached
    withheld,     ///< no byte left: it wasn't allowed any more
    unknown       ///< it may have been taken, or may be taken later
};

/// Port: orders to engines, and reads of their reports. Completions run on
/// the thread that runs the port, exactly once each.
class engine_command_port
{
public:
    using command_done = std::function<void(command_end)>;
    using report_done = std::function<void(std::optional<holdings_report>)>;

    virtual ~engine_command_port() = default;

    /// Sends an order once; never repeated here.
    /// @param allowed asked immediately before the first byte is written.
    virtual void send_command(
        const engine_command& command,
        std::function<bool()> allowed,
        command_done done) = 0;

    /// Reads an engine's report; empty when there is none to be had.
    virtual void read_report(
        const std::string& engine,
        const std::string& address,
        report_done done) = 0;
};

} // namespace roseworks

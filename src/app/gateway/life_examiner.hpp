#pragma once

#include "core/crashes/crash_evidence.hpp"
#include "core/crashes/server_life.hpp"
#include "ports/reach_opinion_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace roseworks::app
{

/** Finds out by a new connection whether a backend server has ended, after a
    connection to it broke.

    A refused connection proves it if other routers are refused too: the network
    may refuse the connections of one router. An accepted one proves nothing,
    because the server's successor may have started at its address. Runs on the
    control thread.
*/
class life_examiner
{
public:
    struct callbacks
    {
        std::function<void(server_life, crash_evidence)> on_ended;
        /// A connection was accepted at the server's address.
        std::function<void(server_life)> on_reached;
    };

    /// @param others Asks the other routers.
    life_examiner(
        boost::asio::io_context& loop,
        reach_opinion_port& others,
        callbacks handlers);

    /// Examines a server unless this has just been done or is being done.
    void examine(server_life life, const std::string& address);

    void stop();

private:
    struct examination;
    using examination_ptr = std::shared_ptr<examination>;

    void connect(const examination_ptr& current);
    void connected(
        const examination_ptr& current, const boost::system::error_code& error);
    void conclude(const examination_ptr& current, reach_opinion others_found);
    void try_again(const examination_ptr& current);
    void finish(const examination_ptr& current);

    boost::asio::io_context& loop;
    reach_opinion_port& others;
    callbacks notify;
    std::unordered_map<server_life, examination_ptr> running;
    bool stopped = false;
};

} // namespace roseworks::app

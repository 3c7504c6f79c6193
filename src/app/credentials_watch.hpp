#pragma once

#include "adapters/platform/credentials.hpp"
#include "ports/event_sink.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace roseworks::app
{

/// Reads the file of engines' credentials again from time to time, so that a
/// new one needs no restart. Runs on one event loop.
class credentials_watch
{
public:
    static constexpr std::chrono::seconds reload_interval{5};

    /** @param executor Where it runs.
        @param file     Empty: nothing is read.
        @param current  What it held at the start.
        @param replaced Told of new credentials.
        @param events   Told of a file that can't be used. */
    credentials_watch(
        const boost::asio::any_io_executor& executor,
        std::string file,
        platform::credentials current,
        std::function<void(const platform::credentials&)> replaced,
        event_sink& events);

    void start();

    void stop()
    {
        this->timer.cancel();
    }

    /// Reads the file now. One that can't be used leaves what was read before,
    /// with one event until it can be.
    void reload();

private:
    void arm();

    std::string file;
    platform::credentials current;
    std::function<void(const platform::credentials&)> replaced;
    event_sink& events;
    boost::asio::steady_timer timer;
    bool refused = false; ///< told already
};

} // namespace roseworks::app

#pragma once

#include <roseworks/instant.hpp>

#include <chrono>
#include <cstddef>

namespace roseworks
{

/** Decides whether a router takes another caller's connection.

    Callers that are closed before their request was read go to another router
    at once, while a request that a busy router has read waits there. So a
   router takes no connection beyond its room, nor while its event loop is late,
   which shows that its processor time is used up.
*/
class load_guard
{
public:
    struct options
    {
        /// Open connections of callers. Each takes some 40 KB with that to its
        /// server.
        std::size_t max_connections = 600;
        /// Of the room, in percent. Beyond it connections are closed after
        /// their response, so that callers spread over the routers.
        std::size_t kept_percent = 80;
        /// The event loop is overloaded when it is this late repeatedly. The
        /// processor is shared in turns of some tens of milliseconds.
        duration max_delay = std::chrono::milliseconds(250);
        int delays_until_overload = 2;
    };

    explicit load_guard(options chosen)
        : settings(chosen)
    {
    }

    /// The event loop ran an action later than it was due.
    void delay_measured(duration delay)
    {
        if (delay >= this->settings.max_delay)
            ++this->delays;
        else if (delay < this->settings.max_delay / 2)
            this->delays = 0;
    }

    bool is_overloaded() const
    {
        return this->delays >= this->settings.delays_until_overload;
    }

    /// @param open Connections that are open already.
    bool takes_connection(std::size_t open) const
    {
        return !this->is_overloaded() && open < this->settings.max_connections;
    }

    /// @return Whether a connection stays open after its response.
    bool keeps_connection(std::size_t open) const
    {
        constexpr std::size_t whole = 100;
        return !this->is_overloaded() &&
               open * whole <=
                   this->settings.max_connections * this->settings.kept_percent;
    }

private:
    options settings;
    int delays = 0; ///< in a row
};

} // namespace roseworks

#pragma once

#include "adapters/settings/socket_address.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace roseworks::settings
{

/// What the gateway's settings file says.
struct gateway_settings
{
    using milliseconds = std::chrono::milliseconds;
    using seconds = std::chrono::seconds;

    struct
    {
        std::string name;
        std::string data_centre;
        double cores = 0.25;      ///< of a core, that the VM may use
        double link_mbps = 100;   ///< of its network link
        bool first_start = false; ///< the whole deployment starts just now
    } vm;

    struct
    {
        socket_address requests;
        socket_address readiness;
        socket_address peers; ///< UDP and TCP
        socket_address metrics;
    } listen;

    struct
    {
        socket_address address;
        milliseconds shortest_term{1000}; ///< that a group member may have
    } store;

    struct
    {
        milliseconds grace{8000};   ///< from SIGTERM to SIGKILL
        milliseconds leaving{2000}; ///< until a leaving server gets no more
        /// Until a new configuration is in force.
        milliseconds configuration{2000};
        milliseconds lease{3000};    ///< between orders of two holders in turn
        bool fences_checked = false; ///< engines refuse old fencing numbers
        double retry_ratio = 0.2;    ///< retries for each request of a service
        milliseconds retry_window{10'000};
        double retry_extra = 50; ///< retries beside them, of all routers
        milliseconds load_window{5000};
        double load_factor = 1.1; ///< over the store's rate within a window
        /// In which an organisation's use is summed up over all routers.
        milliseconds limit_window{8000};
        double limit_excess = 0.1; ///< of a limit, beyond it
        double limit_slack = 0;    ///< beside that, in the limit's unit
    } bounds;

    struct
    {
        std::uint32_t lines_per_second = 400;
        std::uint32_t served_per_second = 40;
    } log;
};

} // namespace roseworks::settings

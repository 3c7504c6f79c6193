#pragma once

#include "adapters/settings/socket_address.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace roseworks::settings
{

/// The contents of the gateway's settings file.
struct gateway_settings
{
    using milliseconds = std::chrono::milliseconds;
    using seconds = std::chrono::seconds;

    struct
    {
        std::string name;
        std::string data_centre;
        double cores = 0.25;         ///< processor cores that the VM may use
        double link_mbps = 100;      ///< rate of its network link in Mbit/s
        std::uint32_t memory_mb = 0; ///< of the VM, in MB; 0: as the kernel
                                     ///< states it
        bool first_start = false; ///< the whole deployment starts for the first
                                  ///< time
    } vm;

    struct
    {
        socket_address requests;
        socket_address readiness;
        socket_address peers; ///< UDP and TCP
        socket_address metrics;
        /// From the port of `peers` to that for connections that are relayed
        /// for other routers; 0: none.
        std::uint16_t relay_offset = 0;

        /// @return Where other routers ask for connections; port 0: nowhere.
        socket_address relay() const
        {
            if (this->relay_offset == 0)
                return {this->peers.ip, 0};
            const int port = this->peers.port + this->relay_offset;
            return {this->peers.ip, static_cast<std::uint16_t>(port)};
        }
    } listen;

    struct
    {
        socket_address address;
        milliseconds shortest_term{1000}; ///< shortest term of a group member
    } store;

    struct
    {
        milliseconds grace{8000}; ///< from SIGTERM to SIGKILL
        /// From a server's announcement that it leaves until it must receive
        /// no new requests.
        milliseconds leaving{2000};
        /// Interval at which servers write to the registry. After three of them
        /// without a write an entry expires.
        milliseconds heartbeat{1000};
        /// Until a new configuration must be in force everywhere.
        milliseconds configuration{2000};
        /// Minimum time between orders of successive owners to an engine.
        milliseconds lease{3000};
        bool fences_checked = false; ///< engines refuse old fencing tokens
        double retry_ratio = 0.2;    ///< retries per request of a service
        milliseconds retry_window{10'000};
        /// Retries of all routers together in a window, besides `retry_ratio`.
        double retry_extra = 50;
        milliseconds load_window{5000};
        /// Multiple of the weight store's rate allowed within a window.
        double load_factor = 1.1;
        /// The window over which an organisation's use is summed across all
        /// routers.
        milliseconds limit_window{8000};
        double limit_excess = 0.1; ///< allowed excess as a fraction of a limit
        double limit_slack = 0;    ///< further excess, in the limit's unit
    } bounds;

    /// The room of saturated engines, over all routers.
    struct
    {
        bool count_saturated =
            false; ///< places at saturated engines are counted
        /// Requests that may wait at a saturated engine, as a share of its
        /// slots.
        double queue_share = 0.1;
    } room;

    /// The speed of engines.
    struct
    {
        bool estimate = false; ///< estimated from the answers of all routers
    } pace;

    struct
    {
        /// The number of copies of a model and the choice of their engines
        /// follow demand and free room.
        bool copies_by_room = false;
    } placement;

    struct
    {
        /// Second attempts before the first has failed, as a share of a
        /// service's requests over all routers; 0: none.
        double extra_share = 0;
    } hedging;

    struct
    {
        /// An organisation's limit goes to its urgent requests first.
        bool order_by_urgency = false;
    } quota;

    struct
    {
        std::uint32_t lines_per_second = 400;
        std::uint32_t served_per_second = 40;
    } log;
};

} // namespace roseworks::settings

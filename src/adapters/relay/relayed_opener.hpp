#pragma once

#include "adapters/edge/connection_opener.hpp"
#include "adapters/relay/relay_messages.hpp"
#include "core/reach/relay_selector.hpp"
#include "core/reach/server_reach.hpp"
#include "ports/clock.hpp"
#include "ports/event_sink.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::relay
{

/** Opens connections to backend servers, if not directly then through another
    router.

    A router that reaches the server opens the connection and copies the bytes
    both ways. So everything else, such as the choice of the server, deadlines
    and retries, stays with this router.

    Used on the traffic thread only.
*/
class relayed_opener final : public edge::connection_opener
{
public:
    struct options
    {
        /// Connections open within some milliseconds, unless a packet is lost,
        /// which is retransmitted only after a second.
        std::chrono::milliseconds direct_timeout{150};
        /// Longer than another router's `direct_timeout`, so that its answer
        /// arrives in time.
        std::chrono::milliseconds relay_timeout{250};
        /// Maximum number of routers that are asked for one connection.
        std::size_t max_routers = 5;
        /// A server counts as unreachable for all if it didn't answer this
        /// router and so many others, or refused so many others. Refusals cost
        /// little time.
        std::size_t max_unanswered = 2;
        std::size_t max_refusals = 4;
        /// Time for which a connection through another router is reused, so
        /// that a router that shuts down is rid of them.
        std::chrono::milliseconds relayed_max_age{4000};
        std::chrono::milliseconds tcp_user_timeout{2500};
        server_reach::options reach;
        relay_selector::options routers;
    };

    /// @param on_change Called when `is_cut_off` has changed.
    relayed_opener(
        options settings,
        edge::connection_opener& direct,
        const clock_port& clock,
        event_sink& events,
        std::function<void()> on_change);

    /// @param all All routers except this one, with the addresses at which they
    ///            accept connections of other routers.
    void set_routers(std::vector<relay_router> all)
    {
        this->selector.set_routers(std::move(all));
    }

    edge::asio::awaitable<edge::connect_result>
    open(edge::backend_connection& connection, duration limit) override;

    bool may_reuse(const edge::backend_connection& connection) const override;

    /// Judges anew; call it about once a second.
    void tick();

    /// @return Whether other routers reach the servers that this one doesn't.
    bool is_cut_off() const
    {
        return this->reach.is_cut_off();
    }

    /// @return Whether this router tries to open a connection to the server for
    ///         another router.
    bool tries_for_other(std::string_view server) const
    {
        return this->reach.tries_as_last_resort(server, this->clock.now());
    }

    /// Opens a connection for another router, directly only.
    edge::asio::awaitable<edge::connect_result>
    open_for_other(edge::backend_connection& connection);

private:
    edge::asio::awaitable<edge::connect_result>
    open_directly(edge::backend_connection& connection, duration limit);
    edge::asio::awaitable<edge::connect_result> open_through_others(
        edge::backend_connection& connection,
        edge::connect_result direct_result,
        instant until);
    void report_change();

    options settings;
    edge::connection_opener& direct;
    const clock_port& clock;
    event_sink& events;
    std::function<void()> notify;
    server_reach reach;
    relay_selector selector;
    bool was_cut_off = false; ///< when `notify` was last called
};

} // namespace roseworks::relay

#pragma once

#include "adapters/edge/backend_context.hpp"
#include "adapters/edge/edge_options.hpp"
#include "adapters/edge/introspection_port.hpp"
#include "adapters/edge/traffic_observer.hpp"
#include "adapters/tls/connector.hpp"
#include "adapters/tls/secure_stream.hpp"
#include "ports/claim_port.hpp"
#include "ports/clock.hpp"
#include "ports/dispatch_port.hpp"
#include "ports/event_sink.hpp"

#include <roseworks/instant.hpp>
#include <roseworks/routing_table.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace roseworks::edge
{

/// The ports and callbacks that the edge uses. The referenced objects must
/// outlive the event loops.
struct edge_dependencies
{
    dispatch_port& dispatch;
    claim_port& claims;
    introspection_port& introspection;
    traffic_observer& observer;
    event_sink& events;
    clock_port& clock;
    std::function<routing_table_ptr()> table; ///< newest; null: none yet
    /// Returns the TLS context for a new caller connection. Called on any
    /// traffic thread. Empty: plain HTTP.
    std::function<tls::context_ptr()> certificate;
    /// Does the TLS handshake with backend servers; null: plain HTTP.
    const tls::connector* backend_tls = nullptr;
};

/// State shared by the traffic threads of one server.
struct edge_context : backend_context
{
    edge_context(edge_options settings, edge_dependencies dependencies)
        : backend_context(
              settings,
              dependencies.clock,
              dependencies.events,
              dependencies.observer,
              dependencies.backend_tls)
        , ports(std::move(dependencies))
    {
    }

    const edge_dependencies ports;
    std::atomic<bool> draining{false};
    std::atomic<std::size_t> connections{0};

    /// @return A request id that is unique within this run of the process.
    std::string next_request_id();

private:
    std::atomic<std::uint64_t> last_request_number{0};
};

} // namespace roseworks::edge

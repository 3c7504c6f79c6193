#pragma once

#include "adapters/edge/edge_options.hpp"
#include "adapters/edge/traffic_observer.hpp"
#include "adapters/tls/connector.hpp"
#include "ports/clock.hpp"
#include "ports/event_sink.hpp"

#include <roseworks/instant.hpp>

namespace roseworks::edge
{

/// Options and ports shared by all calls to backend servers. The referenced
/// objects must outlive the event loops.
struct backend_context
{
    backend_context(
        edge_options settings,
        clock_port& time,
        event_sink& sink,
        traffic_observer& counts,
        const tls::connector* tls_connector)
        : options(settings)
        , clock(time)
        , events(sink)
        , observer(counts)
        , backend_tls(tls_connector)
    {
    }

    instant now() const
    {
        return this->clock.now();
    }

    const edge_options options;
    clock_port& clock;
    event_sink& events;
    traffic_observer& observer;
    const tls::connector* backend_tls; ///< null: plain HTTP
};

} // namespace roseworks::edge

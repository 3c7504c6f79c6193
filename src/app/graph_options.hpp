#pragma once

#include "adapters/edge/edge_options.hpp"
#include "adapters/events/log4cplus_event_sink.hpp"
#include "adapters/settings/router_settings.hpp"
#include "app/control_thread.hpp"
#include "app/tls_endpoint.hpp"

#include <roseworks/dispatcher.hpp>

#include <boost/leaf/result.hpp>

#include <cstdint>

namespace roseworks::app
{

/// Numbers that differ from one run of a process to the next.
struct run_seeds
{
    std::uint64_t seed = 1;        ///< random
    std::uint64_t incarnation = 0; ///< wall-clock microseconds
};

/** Options of the control thread.

    Reads the files of credentials and keys that the settings name.

    @param settings Checked settings.
    @param seeds    Of this run.
    @return         The options, or a `settings_problems`, `credentials_error`
                    or `mac_key_error`.
*/
boost::leaf::result<control_options> make_control_options(
    const settings::router_settings& settings, const run_seeds& seeds);

/** Read the certificate files of all sections.

    @param settings Checked settings.
    @return         The contexts; or `settings_problems` with setting and file.
*/
boost::leaf::result<tls_contexts>
make_tls_contexts(const settings::router_settings& settings);

/// @return Options of admission and routing.
dispatcher::options make_dispatcher_options(
    const settings::router_settings& settings, const run_seeds& seeds);

/// @return Options of the edge.
edge::edge_options make_edge_options(
    const settings::router_settings& settings, const run_seeds& seeds);

/// @return Options of the event sink.
events::event_sink_options
make_event_options(const settings::router_settings& settings);

} // namespace roseworks::app

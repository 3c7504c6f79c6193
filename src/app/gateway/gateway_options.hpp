#pragma once

#include "adapters/peers/copy_exchange.hpp"
#include "adapters/relay/router_opinions.hpp"
#include "adapters/settings/gateway_settings.hpp"
#include "app/gateway/crash_controller.hpp"
#include "app/gateway/origin_controller.hpp"
#include "app/gateway/placement_controller.hpp"
#include "app/gateway/quota_controller.hpp"
#include "app/gateway/server_limit_controller.hpp"
#include "platform/engine_commands.hpp"
#include "platform/store_crash_archive.hpp"
#include "platform/store_directory.hpp"

#include <roseworks/instant.hpp>

#include <cstdint>
#include <functional>

namespace roseworks::app
{

/// @return Options of placement: planning, and orders to engines.
placement_controller::options
placement_options(const settings::gateway_settings& settings);

/// @return Options of the calls that send orders to engines.
users_platform::engine_commands::options
command_options(const settings::gateway_settings& settings);

/// @return Options of the limits of organisations.
/// @param on_class_usage See `quota_controller::options`.
quota_controller::options quota_options(
    const settings::gateway_settings& settings,
    std::function<void(std::uint8_t urgency, double used, double refused)>
        on_class_usage);

/// @return The window over which an organisation's usage is summed.
duration limit_window(const settings::gateway_settings& settings);

/// @return Options of the limits that backend servers state.
server_limit_controller::options
server_limit_options(const settings::gateway_settings& settings);

/// @return Options of the handling of requests that crash servers.
crash_controller::options
crash_options(const settings::gateway_settings& settings);

/// @return Options of the archive of requests that crash servers.
/// @param wall Time at the start; numbers the runs of the process.
users_platform::store_crash_archive::options
archive_options(const settings::gateway_settings& settings, stamp_ms wall);

/// @return Options of the origins of streams.
origin_controller::options
origin_options(const settings::gateway_settings& settings);

/// @return Options of the questions to other routers about servers.
relay::router_opinions::options opinion_options();

/// @return Options of the exchange of copies with other routers. The link of
///         the VM bounds how many copies are sent at once.
copy_exchange::options copy_options(const settings::gateway_settings& settings);

/// @return Options of the client of the platform's store, and of the updates
///         that it passes on to other routers.
users_platform::store_directory::options
directory_options(const settings::gateway_settings& settings);

} // namespace roseworks::app

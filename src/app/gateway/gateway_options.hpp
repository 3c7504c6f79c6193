#pragma once

#include "adapters/peers/copy_exchange.hpp"
#include "adapters/settings/gateway_settings.hpp"
#include "app/gateway/placement_desk.hpp"
#include "app/gateway/quota_desk.hpp"
#include "platform/engine_commands.hpp"
#include "platform/store_directory.hpp"

namespace roseworks::app
{

/// Of planning and of orders to engines.
placement_desk::options
placement_options(const settings::gateway_settings& settings);

/// Of the calls that carry orders.
users_platform::engine_commands::options
command_options(const settings::gateway_settings& settings);

/// Of organisations' limits.
quota_desk::options quota_options(const settings::gateway_settings& settings);

/// Of copies for other routers: how many at once its link bears.
copy_exchange::options copy_options(const settings::gateway_settings& settings);

/// Of the platform's store, and of what is told to other routers.
users_platform::store_directory::options
directory_options(const settings::gateway_settings& settings);

} // namespace roseworks::app

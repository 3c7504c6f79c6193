#pragma once

#include "adapters/settings/router_settings.hpp"
#include "adapters/settings/settings_problems.hpp"

#include <boost/leaf/result.hpp>

#include <iosfwd>
#include <string_view>

namespace roseworks::settings
{

/// Reads and checks a router's settings file.
/// @param path the path of the INI file.
/// @return the settings, or a `settings_problems` error that lists every
///         problem of the file, not only the first.
boost::leaf::result<router_settings>
load_router_settings(std::string_view path);

/// Reads and checks a router's settings from a stream.
/// @param in   the INI text.
/// @param name the name of the stream in messages.
boost::leaf::result<router_settings>
load_router_settings(std::istream& in, std::string_view name);

} // namespace roseworks::settings

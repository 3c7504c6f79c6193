#pragma once

#include "adapters/settings/gateway_settings.hpp"
#include "adapters/settings/settings_problems.hpp"

#include <boost/leaf/result.hpp>

#include <iosfwd>
#include <string>
#include <string_view>

namespace roseworks::settings
{

/// Reads and checks a gateway's settings file.
/// @param path the path of the INI file.
/// @return the settings, or a `settings_problems` error that lists every
///         problem of the file.
boost::leaf::result<gateway_settings>
load_gateway_settings(std::string_view path);

/// Reads and checks a gateway's settings from a stream.
/// @param name the name of the stream in messages.
boost::leaf::result<gateway_settings>
load_gateway_settings(std::istream& in, std::string_view name);

/// @return The contents of docs/SETTINGS-gateway.md, which lists all keys.
std::string gateway_reference();

} // namespace roseworks::settings

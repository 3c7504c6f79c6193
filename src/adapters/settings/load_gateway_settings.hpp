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
/// @param path the INI file.
/// @return the settings; or an error with a `settings_problems` that lists
///         every problem of the file.
boost::leaf::result<gateway_settings>
load_gateway_settings(std::string_view path);

/// The same from a stream.
/// @param name what to call the stream in messages.
boost::leaf::result<gateway_settings>
load_gateway_settings(std::istream& in, std::string_view name);

/// @return The text of docs/SETTINGS-gateway.md: all keys.
std::string gateway_reference();

} // namespace roseworks::settings

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::peers
{

/// @return The text in the DEFLATE format of RFC 1951.
std::string deflate(std::string_view text);

/// @param max_bytes Maximum size of the text.
/// @return          Empty if the data is malformed or the text is larger.
std::optional<std::string>
inflate(std::string_view compressed, std::size_t max_bytes);

} // namespace roseworks::peers

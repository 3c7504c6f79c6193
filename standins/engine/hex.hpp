#pragma once

#include <string>
#include <string_view>

namespace roseworks::standins
{

/// 16 lower-case hex digits of the XXH64 (seed 0) of a text.
std::string hash_hex(std::string_view text);

} // namespace roseworks::standins

#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace roseworks::edge
{

/// @return Whether the text is 1 to `longest` characters of
///         `[A-Za-z0-9._-]`.
constexpr bool is_name(std::string_view text, std::size_t longest)
{
    if (text.empty() || text.size() > longest)
        return false;
    return std::all_of(
        text.begin(),
        text.end(),
        [](char c)
        {
            const bool letter =
                (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
            const bool digit = c >= '0' && c <= '9';
            return letter || digit || c == '.' || c == '_' || c == '-';
        });
}

/// @return Whether the text is 1 to `longest` printable ASCII characters,
///         including spaces if `spaces` is set.
constexpr bool
is_printable(std::string_view text, std::size_t longest, bool spaces)
{
    if (text.empty() || text.size() > longest)
        return false;
    return std::all_of(
        text.begin(),
        text.end(),
        [spaces](char c)
        {
            return (c > ' ' && c <= '~') || (spaces && c == ' ');
        });
}

} // namespace roseworks::edge

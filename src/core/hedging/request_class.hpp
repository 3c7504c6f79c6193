#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace roseworks
{

/// Requests whose times to the first output are compared with each other.
struct request_class
{
    std::string route;
    std::uint8_t size_class = 0; ///< as `size_class_of`

    auto operator<=>(const request_class&) const = default;
};

/** @return The class of a request's size.

    The time to the first event of a model grows with the prompt, so requests
    of very different sizes have no common percentile.

    @param prompt_bytes Size of the request's body.
*/
inline std::uint8_t size_class_of(std::size_t prompt_bytes)
{
    constexpr std::array<std::size_t, 4> upper_bounds = {
        std::size_t(1) << 10,
        std::size_t(4) << 10,
        std::size_t(16) << 10,
        std::size_t(64) << 10};
    std::uint8_t found = 0;
    while (found < upper_bounds.size() && prompt_bytes > upper_bounds[found])
        ++found;
    return found;
}

} // namespace roseworks

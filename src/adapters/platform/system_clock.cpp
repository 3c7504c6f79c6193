#include "adapters/platform/system_clock.hpp"

#include <chrono>

namespace roseworks::platform
{

instant system_clock::now() const
{
    const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
    return instant(std::chrono::duration_cast<duration>(elapsed));
}

stamp_ms system_clock::wall() const
{
    const auto elapsed = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(elapsed)
        .count();
}

} // namespace roseworks::platform

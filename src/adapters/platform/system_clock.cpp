#include "adapters/platform/system_clock.hpp"

#include <chrono>
#include <ctime>

namespace roseworks::platform
{

instant system_clock::now() const
{
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    const auto elapsed = std::chrono::seconds(read.tv_sec) +
                         std::chrono::nanoseconds(read.tv_nsec);
    return instant(std::chrono::duration_cast<duration>(elapsed));
}

stamp_ms system_clock::wall() const
{
    const auto elapsed = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(elapsed)
        .count();
}

} // namespace roseworks::platform

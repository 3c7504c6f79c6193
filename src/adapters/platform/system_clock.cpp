#include "adapters/platform/system_clock.hpp"

#include <chrono>
#include <ctime>

namespace roseworks::platform
{

instant system_clock::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto elapsed = std::chrono::seconds(time.tv_sec) +
                         std::chrono::nanoseconds(time.tv_nsec);
    return instant(std::chrono::duration_cast<duration>(elapsed));
}

stamp_ms system_clock::wall() const
{
    const auto elapsed = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(elapsed)
        .count();
}

} // namespace roseworks::platform

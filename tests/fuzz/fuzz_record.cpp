#include <roseworks/codec.hpp>
#include <roseworks/fleet_state.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>

/// libFuzzer target: what decodes must encode to something that decodes to
/// the same bytes, and no bytes may throw, hang or take much memory. The first
/// byte picks the codec of records or of snapshots.
extern "C" int
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's own name
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::span bytes(
        reinterpret_cast<const std::byte*>(data + 1), size - 1);
    if (data[0] % 2 == 1)
    {
        (void)roseworks::fleet_state::restore(bytes);
        return 0;
    }
    const auto read = roseworks::decode(bytes);
    if (!read)
        return 0;
    const auto written = roseworks::encode(*read);
    const auto again = roseworks::decode(written);
    if (!again || roseworks::encode(*again) != written)
        std::abort();
    roseworks::fleet_state state;
    state.apply(roseworks::log_offset(1), *read);
    (void)state.hash();
    return 0;
}

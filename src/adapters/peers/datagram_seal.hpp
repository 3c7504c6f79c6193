#pragma once

#include "adapters/peers/mac_keys.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace roseworks
{

/** Authenticates datagrams between routers.

    Format: `u8` key number, `u64` counter (little-endian), content, and the
    first 16 bytes of the HMAC-SHA256 of everything before. The content isn't
    encrypted. The counter starts at the process's incarnation and increases
    with each datagram, so that a receiver can detect a repeated datagram (see
    `replay_window`).
*/
class datagram_seal
{
public:
    /// An authenticated datagram; `content` points into the datagram's bytes.
    struct opened_datagram
    {
        std::uint64_t counter = 0;
        std::span<std::byte const> content;
    };

    /// Number of bytes that `seal` adds to the content.
    static constexpr std::size_t overhead = 1 + 8 + 16;

    /**
        @param keys          Keys to accept and to seal with.
        @param first_counter Has to be higher than any counter of this router's
                             earlier processes: the time of the start in
                             microseconds.
    */
    datagram_seal(mac_keys keys, std::uint64_t first_counter);

    /// Replaces the keys after a reload of the key file.
    void replace_keys(mac_keys keys);

    /// @return An authenticated datagram with this content.
    std::vector<std::byte> seal(std::span<std::byte const> content);

    /// @return The content, or empty if the key is unknown or the MAC is wrong.
    std::optional<opened_datagram>
    open(std::span<std::byte const> datagram) const;

private:
    mac_keys keys;
    std::uint64_t counter;
};

/** Detects repeated datagrams of one sender by their counters.

    Accepts each counter once. A counter 64 or more below the highest one is
    rejected, because the window doesn't record whether it was seen.
*/
class replay_window
{
public:
    /// Records the counter as seen.
    /// @return Whether the counter is new.
    bool accept(std::uint64_t counter);

private:
    std::uint64_t highest = 0;
    std::uint64_t seen = 0; ///< bit i: whether `highest - i` was seen
};

} // namespace roseworks

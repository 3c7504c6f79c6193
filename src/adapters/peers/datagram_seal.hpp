#pragma once

#include "adapters/peers/mac_keys.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace roseworks
{

/** Seals and opens datagrams between routers.

    Shape: `u8` key number, `u64` counter (little-endian), content, 16 bytes of
    HMAC-SHA256 over all before it. The counter starts at the process's
    incarnation and grows with each datagram, so that a receiver can tell a
    repeated datagram (see `replay_window`).
*/
class datagram_seal
{
public:
    /// What `open` yields; `content` points into the datagram.
    struct opened
    {
        std::uint64_t counter = 0;
        std::span<std::byte const> content;
    };

    /// Bytes added to the content.
    static constexpr std::size_t overhead = 1 + 8 + 16;

    /**
        @param keys          Keys to accept and to seal with.
        @param first_counter Higher than any counter of this router's earlier
                             processes: microseconds at the start.
    */
    datagram_seal(mac_keys keys, std::uint64_t first_counter);

    /// Keys were reloaded.
    void replace_keys(mac_keys keys);

    /// @return The datagram for this content.
    std::vector<std::byte> seal(std::span<std::byte const> content);

    /// @return The content, empty when the key is unknown or the MAC is wrong.
    std::optional<opened> open(std::span<std::byte const> datagram) const;

private:
    mac_keys keys;
    std::uint64_t counter;
};

/** Remembers which counters of one sender were seen.

    Accepts each counter once; a counter more than 64 below the highest seen is
    refused, as it can't be told from a repeated one.
*/
class replay_window
{
public:
    /// @return Whether the counter is new; it is seen from now on.
    bool accept(std::uint64_t counter);

private:
    std::uint64_t highest = 0;
    std::uint64_t seen = 0;
};

} // namespace roseworks

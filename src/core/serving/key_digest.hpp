#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks
{

/** SHA-256 of an API key: what is kept and compared in the key's place.

    The order of comparing tells nothing about a key, as nobody can choose a key
    by its digest.
*/
struct key_digest
{
    std::array<std::uint8_t, 32> bytes{};

    /// Takes the same time wherever the two differ.
    bool operator==(const key_digest& other) const;
};

/// @return The digest of a key as its caller sends it.
key_digest digest_of(std::string_view key);

/// @return A few digits for logs that tell keys apart and give none away.
std::string fingerprint_of(const key_digest& digest);

struct key_digest_hash
{
    std::size_t operator()(const key_digest& digest) const;
};

} // namespace roseworks

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks
{

/** SHA-256 digest of an API key. The digest is stored and compared in place of
    the key.

    Lookup by digest leaks nothing about a key through timing, as nobody can
    choose a key with a given digest.
*/
struct key_digest
{
    std::array<std::uint8_t, 32> bytes{};

    /// Compares in constant time.
    bool operator==(const key_digest& other) const;
};

/// @param key The API key as sent by the caller.
key_digest digest_of(std::string_view key);

/// @return A few hexadecimal digits that identify the key in logs without
///         revealing it.
std::string fingerprint_of(const key_digest& digest);

struct key_digest_hash
{
    std::size_t operator()(const key_digest& digest) const;
};

} // namespace roseworks

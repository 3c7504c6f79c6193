#include "core/serving/key_digest.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <cstring>

namespace roseworks
{

bool key_digest::operator==(const key_digest& other) const
{
    return CRYPTO_memcmp(
               this->bytes.data(), other.bytes.data(), this->bytes.size()) == 0;
}

key_digest digest_of(std::string_view key)
{
    static_assert(SHA256_DIGEST_LENGTH == sizeof(key_digest::bytes));
    key_digest digest;
    SHA256(
        reinterpret_cast<const unsigned char*>(key.data()),
        key.size(),
        digest.bytes.data());
    return digest;
}

std::string fingerprint_of(const key_digest& digest)
{
    constexpr std::size_t shown_bytes = 4;
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned low_digit_mask = 15;
    std::string text;
    for (std::size_t i = 0; i < shown_bytes; ++i)
    {
        text += digits[digest.bytes[i] >> bits_per_digit];
        text += digits[digest.bytes[i] & low_digit_mask];
    }
    return text;
}

std::size_t key_digest_hash::operator()(const key_digest& digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.bytes.data(), sizeof(hash));
    return hash;
}

} // namespace roseworks

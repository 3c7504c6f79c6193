#pragma once

#include <roseworks/record.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// Size of a secret or public Ed25519 key.
inline constexpr std::size_t operator_key_bytes = 32;

/** Public half of a key that signs operators' records (Ed25519).

    It can only verify signatures, so routers and readers of the log can't sign
    with it.
*/
struct operator_key
{
    /// From 1; a signature names its key by this number.
    std::uint8_t number = 0;
    std::array<std::byte, operator_key_bytes> bytes{};

    friend bool operator==(const operator_key&, const operator_key&) = default;
};

/** Parse a public key in the form used by settings and tools.

    @param number Decimal, 1 to 255.
    @param hex    64 hex digits.
    @return       The key; empty if either is invalid.
*/
std::optional<operator_key>
parse_operator_key(std::string_view number, std::string_view hex);

/// @return The bytes as hex digits.
std::string key_hex(std::span<const std::byte> bytes);

/// @return The 32 bytes given by 64 hex digits; empty if the text is invalid.
std::optional<std::array<std::byte, operator_key_bytes>>
parse_key_hex(std::string_view hex);

/// Secret half of an operators' key. Only operators' tools have it.
class operator_signing_key
{
public:
    /** Create a key.

        @param number Its number, not 0.
        @param secret 32 random bytes.
        @return       The key; empty if the number or length is invalid.
    */
    static std::optional<operator_signing_key>
    make(std::uint8_t number, std::span<const std::byte> secret);

    const operator_key& public_key() const
    {
        return this->verifies;
    }

    /** Sign a record: its id, stamp and content.

        @param value The record; any later change invalidates the signature.
        @return      Whether its kind has a signature field.
    */
    bool sign(record& value) const;

private:
    operator_signing_key() = default;

    std::array<std::byte, operator_key_bytes> secret{};
    operator_key verifies;
};

/// @return The record's signature; null if its kind has no signature field.
const std::vector<std::byte>* signature_of(const record& value);

/// @return Number of the key named by the record's signature; 0 if unsigned.
std::uint8_t signing_number(const record& value);

/** Verify an operator's signature.

    @param value The record with its signature.
    @param key   A public key.
    @return      Whether the signature was made with this key and the record is
                 unchanged.
*/
bool signed_by(const record& value, const operator_key& key);

} // namespace roseworks

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

/// Bytes of an Ed25519 key, secret or public.
inline constexpr std::size_t operator_key_bytes = 32;

/** Public half of a key that signs operators' records (Ed25519).

    It only verifies: routers, the log and whoever reads it can't sign with it.
*/
struct operator_key
{
    std::uint8_t number = 0; ///< from 1; says which key signed
    std::array<std::byte, operator_key_bytes> bytes{};

    friend bool operator==(const operator_key&, const operator_key&) = default;
};

/** Read a public key as settings and tools write it.

    @param number Decimal, 1 to 255.
    @param hex    64 hex digits.
    @return       The key; empty when either is wrong.
*/
std::optional<operator_key>
parse_operator_key(std::string_view number, std::string_view hex);

/// @return The bytes as hex digits.
std::string key_hex(std::span<const std::byte> bytes);

/// @return 32 bytes of 64 hex digits; empty when the text isn't that.
std::optional<std::array<std::byte, operator_key_bytes>>
parse_key_hex(std::string_view hex);

/// Secret half of an operators' key. Held by operators' tools only.
class operator_signing_key
{
public:
    /** Make a key.

        @param number Its number, not 0.
        @param secret 32 random bytes.
        @return       The key; empty when the number or length is wrong.
    */
    static std::optional<operator_signing_key>
    make(std::uint8_t number, std::span<const std::byte> secret);

    const operator_key& public_key() const
    {
        return this->verifies;
    }

    /** Sign a record: its id, stamp and content.

        @param value The record; any later change voids the signature.
        @return      Whether its kind has room for a signature.
    */
    bool sign(record& value) const;

private:
    operator_signing_key() = default;

    std::array<std::byte, operator_key_bytes> secret{};
    operator_key verifies;
};

/// @return The record's signature; null when its kind has no room for one.
const std::vector<std::byte>* signature_of(const record& value);

/// @return Number of the key that a signature names; 0 without signature.
std::uint8_t signing_number(const record& value);

/** Check an operator's signature.

    @param value The record with its signature.
    @param key   A public key.
    @return      Whether this key signed this record, unchanged.
*/
bool signed_by(const record& value, const operator_key& key);

} // namespace roseworks

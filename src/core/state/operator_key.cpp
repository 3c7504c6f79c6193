#include <roseworks/codec.hpp>
#include <roseworks/operator_key.hpp>

#include <openssl/evp.h>

#include <algorithm>
#include <memory>
#include <type_traits>

namespace roseworks
{

namespace
{

/// A signature is the key's number and 64 bytes of Ed25519.
constexpr std::size_t ed25519_bytes = 64;
constexpr std::size_t signature_bytes = 1 + ed25519_bytes;

using pkey_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using digest_ptr = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

const unsigned char* raw(std::span<const std::byte> bytes)
{
    return reinterpret_cast<const unsigned char*>(bytes.data());
}

unsigned char* writable(std::span<std::byte> bytes)
{
    return reinterpret_cast<unsigned char*>(bytes.data());
}

pkey_ptr secret_pkey(std::span<const std::byte> secret)
{
    return {
        EVP_PKEY_new_raw_private_key(
            EVP_PKEY_ED25519, nullptr, raw(secret), secret.size()),
        &EVP_PKEY_free};
}

pkey_ptr public_pkey(const operator_key& key)
{
    return {
        EVP_PKEY_new_raw_public_key(
            EVP_PKEY_ED25519, nullptr, raw(key.bytes), key.bytes.size()),
        &EVP_PKEY_free};
}

template <class Record>
auto* signature_in(Record& value)
{
    using bytes = std::conditional_t<
        std::is_const_v<Record>,
        const std::vector<std::byte>,
        std::vector<std::byte>>;
    return std::visit(
        [](auto& payload) -> bytes*
        {
            if constexpr (requires { payload.signature; })
                return &payload.signature;
            else
                return nullptr;
        },
        value.payload);
}

/// @return What is signed: the record without its signature.
std::vector<std::byte> content_of(record value)
{
    signature_in(value)->clear();
    return encode(value);
}

} // namespace

std::optional<operator_signing_key> operator_signing_key::make(
    std::uint8_t number, std::span<const std::byte> secret)
{
    if (number == 0 || secret.size() != operator_key_bytes)
        return std::nullopt;
    operator_signing_key result;
    std::ranges::copy(secret, result.secret.begin());
    result.verifies.number = number;
    const pkey_ptr pkey = secret_pkey(secret);
    std::size_t length = operator_key_bytes;
    if (!pkey || EVP_PKEY_get_raw_public_key(
                     pkey.get(), writable(result.verifies.bytes), &length) != 1)
        return std::nullopt;
    return result;
}

bool operator_signing_key::sign(record& value) const
{
    std::vector<std::byte>* signature = signature_in(value);
    if (signature == nullptr)
        return false;
    const std::vector<std::byte> content = content_of(value);
    const pkey_ptr pkey = secret_pkey(this->secret);
    const digest_ptr digest(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    std::vector<std::byte> made(signature_bytes);
    made[0] = std::byte(this->verifies.number);
    std::size_t length = ed25519_bytes;
    const bool done =
        pkey && digest &&
        EVP_DigestSignInit(
            digest.get(), nullptr, nullptr, nullptr, pkey.get()) == 1 &&
        EVP_DigestSign(
            digest.get(),
            writable(std::span(made).subspan(1)),
            &length,
            raw(content),
            content.size()) == 1;
    if (done)
        *signature = std::move(made);
    return done;
}

const std::vector<std::byte>* signature_of(const record& value)
{
    return signature_in(value);
}

std::uint8_t signing_number(const record& value)
{
    const std::vector<std::byte>* signature = signature_of(value);
    if (signature == nullptr || signature->empty())
        return 0;
    return std::to_integer<std::uint8_t>(signature->front());
}

bool signed_by(const record& value, const operator_key& key)
{
    const std::vector<std::byte>* signature = signature_of(value);
    if (signature == nullptr || signature->size() != signature_bytes ||
        signing_number(value) != key.number)
        return false;
    const std::vector<std::byte> content = content_of(value);
    const pkey_ptr pkey = public_pkey(key);
    const digest_ptr digest(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    return pkey && digest &&
           EVP_DigestVerifyInit(
               digest.get(), nullptr, nullptr, nullptr, pkey.get()) == 1 &&
           EVP_DigestVerify(
               digest.get(),
               raw(std::span(*signature).subspan(1)),
               ed25519_bytes,
               raw(content),
               content.size()) == 1;
}

} // namespace roseworks

#include "adapters/peers/datagram_seal.hpp"

#include <boost/endian/conversion.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <utility>

namespace roseworks
{

namespace
{

constexpr std::size_t header_bytes = 1 + 8;
constexpr std::size_t mac_bytes = 16;
constexpr std::uint64_t window_bits = 64;

std::array<unsigned char, mac_bytes>
compute_mac(std::span<std::byte const> key, std::span<std::byte const> data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> hmac{};
    unsigned int length = 0;
    HMAC(
        EVP_sha256(),
        key.data(),
        static_cast<int>(key.size()),
        reinterpret_cast<const unsigned char*>(data.data()),
        data.size(),
        hmac.data(),
        &length);
    std::array<unsigned char, mac_bytes> result{};
    std::copy_n(hmac.begin(), mac_bytes, result.begin());
    return result;
}

} // namespace

datagram_seal::datagram_seal(mac_keys keys, std::uint64_t first_counter)
    : keys(std::move(keys))
    , counter(first_counter)
{
}

void datagram_seal::replace_keys(mac_keys replacement)
{
    this->keys = std::move(replacement);
}

std::vector<std::byte> datagram_seal::seal(std::span<std::byte const> content)
{
    std::vector<std::byte> datagram(header_bytes + content.size());
    datagram[0] = std::byte(this->keys.current);
    boost::endian::store_little_u64(
        reinterpret_cast<unsigned char*>(datagram.data()) + 1, ++this->counter);
    std::ranges::copy(content, datagram.begin() + header_bytes);
    const auto& key = this->keys.keys.at(this->keys.current);
    const auto mac = compute_mac(key, datagram);
    const auto* first = reinterpret_cast<const std::byte*>(mac.data());
    datagram.insert(datagram.end(), first, first + mac.size());
    return datagram;
}

std::optional<datagram_seal::opened_datagram>
datagram_seal::open(std::span<std::byte const> datagram) const
{
    if (datagram.size() < overhead)
        return std::nullopt;
    const auto key_number = std::to_integer<std::uint8_t>(datagram[0]);
    const auto key = this->keys.keys.find(key_number);
    if (key == this->keys.keys.end())
        return std::nullopt;
    const auto authenticated = datagram.first(datagram.size() - mac_bytes);
    const auto expected_mac = compute_mac(key->second, authenticated);
    const auto* received_mac = datagram.data() + authenticated.size();
    if (CRYPTO_memcmp(expected_mac.data(), received_mac, mac_bytes) != 0)
        return std::nullopt;
    opened_datagram result;
    result.counter = boost::endian::load_little_u64(
        reinterpret_cast<const unsigned char*>(datagram.data()) + 1);
    result.content = authenticated.subspan(header_bytes);
    return result;
}

bool replay_window::accept(std::uint64_t counter)
{
    if (counter > this->highest)
    {
        std::uint64_t const ahead = counter - this->highest;
        this->seen = ahead >= window_bits ? 0 : this->seen << ahead;
        this->seen |= 1;
        this->highest = counter;
        return true;
    }
    std::uint64_t const behind = this->highest - counter;
    if (behind >= window_bits)
        return false;
    std::uint64_t const bit = std::uint64_t(1) << behind;
    if ((this->seen & bit) != 0)
        return false;
    this->seen |= bit;
    return true;
}

} // namespace roseworks

#include "adapters/peers/datagram_seal.hpp"

#include <roseworks/membership.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <vector>

/// Feeds any bytes to the opening of sealed datagrams and to the decoder of
/// their content. Aborts when a forged or damaged datagram is opened, when a
/// sealed one isn't, or when a message changes on its way round.

namespace
{

using namespace roseworks;

constexpr std::uint8_t key_number = 7;
constexpr std::size_t key_bytes = 32;
constexpr std::size_t longest_message = 512;

void require(bool holds)
{
    if (!holds)
        std::abort();
}

mac_keys test_keys()
{
    mac_keys keys;
    keys.current = key_number;
    keys.keys[key_number].assign(key_bytes, std::byte(0x5a));
    return keys;
}

void check_message(std::span<const std::byte> bytes)
{
    const auto read = decode_peer_message(bytes);
    if (!read)
        return;
    require(read->updates.size() <= membership::max_updates);
    const auto written = encode(*read);
    require(written.size() <= longest_message);
    const auto again = decode_peer_message(written);
    require(again && encode(*again) == written);
}

void check_seal(std::span<const std::byte> content, std::size_t damaged)
{
    datagram_seal seal(test_keys(), 1);
    std::vector<std::byte> sealed = seal.seal(content);
    require(sealed.size() == content.size() + datagram_seal::overhead);
    const auto opened = seal.open(sealed);
    require(opened && opened->content.size() == content.size());
    sealed[damaged % sealed.size()] ^= std::byte(1);
    require(!seal.open(sealed));
}

} // namespace

extern "C" int
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's own name
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::span bytes(
        reinterpret_cast<const std::byte*>(data + 1), size - 1);
    check_message(bytes);
    check_seal(bytes, data[0]);
    // Nobody who lacks the key can write what opens.
    require(!datagram_seal(test_keys(), 1).open(bytes));
    // Without keys, a datagram is checked for damage only.
    const datagram_seal open_seal(mac_keys::unauthenticated(), 1);
    const auto opened = open_seal.open(bytes);
    if (opened)
        check_message(opened->content);
    return 0;
}

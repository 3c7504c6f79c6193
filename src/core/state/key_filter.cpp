#include "core/state/key_filter.hpp"

namespace roseworks::detail
{

namespace
{

constexpr std::size_t bits_per_key = 12;
constexpr std::size_t bits_per_word = 64;
constexpr unsigned bits_set = 4;
constexpr unsigned bit_index_bits = 6; ///< number a bit of a word

/// Keys are hashes already, but a caller could choose them.
std::uint64_t mixed(const claim_key& key)
{
    constexpr std::uint64_t odd = 0x9E3779B97F4A7C15ULL;
    std::uint64_t hash = (key.high ^ (key.low * odd)) * odd;
    hash ^= hash >> 32;
    return hash * odd;
}

std::uint64_t bits_of(std::uint64_t hash)
{
    std::uint64_t bits = 0;
    for (unsigned i = 0; i < bits_set; ++i)
    {
        const std::uint64_t chosen = hash >> (i * bit_index_bits);
        bits |= std::uint64_t(1) << (chosen % bits_per_word);
    }
    return bits;
}

} // namespace

key_filter::key_filter(std::size_t expected)
    : words(expected * bits_per_key / bits_per_word + 1)
{
}

void key_filter::add(const claim_key& key)
{
    const std::uint64_t hash = mixed(key);
    this->words[this->place(hash)] |= bits_of(hash);
}

bool key_filter::may_hold(const claim_key& key) const
{
    const std::uint64_t hash = mixed(key);
    const std::uint64_t bits = bits_of(hash);
    return (this->words[this->place(hash)] & bits) == bits;
}

/// Of the hash's upper half; the bits come from its lower one.
std::size_t key_filter::place(std::uint64_t hash) const
{
    return (hash >> 32) % this->words.size();
}

} // namespace roseworks::detail

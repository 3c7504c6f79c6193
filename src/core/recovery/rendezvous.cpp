#include <roseworks/rendezvous.hpp>

#include <xxhash.h>

#include <algorithm>

namespace roseworks
{

namespace
{

/// Finalizer of SplitMix64: every input bit moves every output bit.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xBF58476D1CE4E5B9ULL;
    value ^= value >> 27;
    value *= 0x94D049BB133111EBULL;
    return value ^ (value >> 31);
}

/// Whether `one` goes before `other`; ties are broken by the younger session.
bool goes_before(rendezvous_key key, session_id one, session_id other)
{
    const std::uint64_t mine = rendezvous_weight(key, one);
    const std::uint64_t theirs = rendezvous_weight(key, other);
    return mine != theirs ? mine > theirs : one > other;
}

} // namespace

std::uint64_t rendezvous_weight(rendezvous_key key, session_id session)
{
    const auto domain = static_cast<std::uint64_t>(key.domain);
    return mix(mix(mix(domain) + key.value) + session.value);
}

session_id
rendezvous_choice(rendezvous_key key, std::span<const session_id> alive)
{
    session_id chosen;
    for (const session_id candidate : alive)
    {
        if (!chosen || goes_before(key, candidate, chosen))
        {
            chosen = candidate;
        }
    }
    return chosen;
}

std::size_t rendezvous_rank(
    rendezvous_key key, std::span<const session_id> alive, session_id self)
{
    return static_cast<std::size_t>(std::count_if(
        alive.begin(),
        alive.end(),
        [&](session_id other)
        {
            return other != self && goes_before(key, other, self);
        }));
}

author_id author_of(std::string_view name)
{
    const std::uint64_t hash = XXH64(name.data(), name.size(), 0);
    return author_id(hash != 0 ? hash : 1);
}

} // namespace roseworks

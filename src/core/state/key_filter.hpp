#pragma once

#include <roseworks/record.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace roseworks::detail
{

/** A Bloom filter of claim keys, with all bits of a key in one word.

    Says of a key that it was never added, or that it may have been: about one
    in fifty that weren't. Follows from decided state and isn't saved with it.
*/
class key_filter
{
public:
    /// @param expected Keys that will be added, about.
    explicit key_filter(std::size_t expected);

    void add(const claim_key& key);

    /// @return False only when the key was never added.
    bool may_hold(const claim_key& key) const;

private:
    std::size_t place(std::uint64_t hash) const;

    std::vector<std::uint64_t> words;
};

} // namespace roseworks::detail

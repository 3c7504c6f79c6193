#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <cstddef>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace roseworks::peers
{

/// A checksum of what follows it is the first of a word's bytes.
inline constexpr std::size_t checksum_bytes = 8;

/// @return The content behind its checksum.
std::string seal(std::string_view content);

/// @return The content; empty when the checksum isn't its own, or when there
///         is none.
std::optional<std::string_view> unseal(std::string_view sealed);

/// @return A word as cereal writes it.
template <class Word>
std::string to_archive(const Word& word)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(word);
    }
    return out.str();
}

} // namespace roseworks::peers

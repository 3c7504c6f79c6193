#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cereal/archives/portable_binary.hpp>

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <span>
#include <streambuf>
#include <string_view>
#include <type_traits>
#include <vector>

namespace roseworks::detail
{

/// Writes fields to cereal's portable binary archive, little-endian. Lengths
/// are 32 bits. The counterpart of `archive_reader`, with the same members.
class archive_writer
{
public:
    static constexpr bool reads = false;

    explicit archive_writer(std::streambuf& to)
        : stream(&to)
        , archive(
              this->stream,
              cereal::PortableBinaryOutputArchive::Options::LittleEndian())
    {
    }

    template <class T>
    requires std::is_arithmetic_v<T>
    void number(T value)
    {
        if constexpr (std::is_same_v<T, bool>)
            this->archive(static_cast<std::uint8_t>(value ? 1 : 0));
        else
            this->archive(value);
    }

    template <class Tag, class Rep>
    void number(strong_id<Tag, Rep> id)
    {
        this->archive(id.value);
    }

    /// Write a log time.
    void time(stamp_ms value)
    {
        this->archive(value);
    }

    /// Write an enumerator as its number; `count` only matters on reading.
    template <class Enum>
    void choice(Enum value, [[maybe_unused]] std::size_t count)
    {
        this->archive(static_cast<std::uint8_t>(value));
    }

    void text(std::string_view value)
    {
        this->number(static_cast<std::uint32_t>(value.size()));
        this->archive.saveBinary<1>(
            value.data(), static_cast<std::streamsize>(value.size()));
    }

    void bytes(std::span<std::byte const> value)
    {
        this->number(static_cast<std::uint32_t>(value.size()));
        this->raw(value);
    }

    /// Write bytes without their length.
    void raw(std::span<std::byte const> value)
    {
        this->archive.saveBinary<1>(
            value.data(), static_cast<std::streamsize>(value.size()));
    }

    /// Write a length and each item.
    template <class T, class Each>
    void list(const std::vector<T>& items, Each&& each)
    {
        this->number(static_cast<std::uint32_t>(items.size()));
        for (const T& item : items)
            each(item);
    }

private:
    std::ostream stream;
    cereal::PortableBinaryOutputArchive archive;
};

} // namespace roseworks::detail

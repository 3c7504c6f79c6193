#pragma once

#include "core/state/byte_streams.hpp"

#include <roseworks/codec.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cereal/archives/portable_binary.hpp>

#include <cstddef>
#include <cstdint>
#include <istream>
#include <optional>
#include <span>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace roseworks::detail
{

/// Highest log time: the end of the year 9999, far from overflow.
inline constexpr stamp_ms latest_stamp_ms = 253'402'300'799'000;

/** Reads fields from cereal's portable binary archive; the bytes may be
    hostile.

    Every length is checked against the bytes left before memory is taken. The
    first fault is kept; from then on all reads leave their target as it is,
    so that callers check `failed()` once at the end.
*/
class archive_reader
{
public:
    static constexpr bool reads = true;

    explicit archive_reader(std::span<std::byte const> bytes)
        : source(bytes)
        , stream(&this->source)
    {
        if (bytes.empty() || bytes[0] != little_endian)
            this->fail("not a little-endian archive");
        else
            this->archive.emplace(this->stream);
    }

    bool failed() const
    {
        return this->fault.has_value();
    }

    const codec_error& error() const
    {
        return *this->fault;
    }

    /// Keep a fault, unless there is one already.
    void fail(std::string what)
    {
        if (!this->fault)
            this->fault = codec_error{std::move(what), this->source.position()};
    }

    template <class T>
    requires std::is_arithmetic_v<T>
    void number(T& value)
    {
        if constexpr (std::is_same_v<T, bool>)
        {
            std::uint8_t wide = 0;
            this->number(wide);
            if (wide > 1)
                this->fail("not a boolean");
            value = wide == 1;
        }
        else if (this->has(sizeof(T)))
            (*this->archive)(value);
    }

    template <class Tag, class Rep>
    void number(strong_id<Tag, Rep>& id)
    {
        this->number(id.value);
    }

    /// Read a log time; one that can't be is a fault.
    void time(stamp_ms& value)
    {
        this->number(value);
        if (value < 0 || value > 2 * latest_stamp_ms)
            this->fail("time out of range");
    }

    /// Read an enumerator; numbers from `count` on are a fault.
    template <class Enum>
    void choice(Enum& value, std::size_t count)
    {
        std::uint8_t index = 0;
        this->number(index);
        if (this->failed())
            return;
        if (index >= count)
            this->fail("unknown enumerator");
        else
            value = static_cast<Enum>(index);
    }

    void text(std::string& value)
    {
        const std::size_t length = this->length();
        if (this->failed())
            return;
        value.resize(length);
        this->archive->loadBinary<1>(
            value.data(), static_cast<std::streamsize>(length));
    }

    void bytes(std::vector<std::byte>& value)
    {
        const std::size_t length = this->length();
        if (!this->failed())
            this->raw(value, length);
    }

    /// Read bytes whose length is known to be there.
    void raw(std::vector<std::byte>& value, std::size_t length)
    {
        if (!this->has(length))
            return;
        value.resize(length);
        this->archive->loadBinary<1>(
            value.data(), static_cast<std::streamsize>(length));
    }

    /// Read a length and that many items; each takes at least one byte.
    template <class T, class Each>
    void list(std::vector<T>& items, Each&& each)
    {
        const std::size_t count = this->length();
        for (std::size_t i = 0; i < count && !this->failed(); ++i)
            each(items.emplace_back());
    }

    /// @return A 32-bit length that isn't above the bytes left, else 0.
    std::size_t length()
    {
        std::uint32_t length = 0;
        this->number(length);
        if (!this->failed() && length > this->source.remaining())
            this->fail("length beyond the end");
        return this->failed() ? 0 : length;
    }

    std::size_t remaining() const
    {
        return this->source.remaining();
    }

    /** Read a block of known length.

        @param length Its bytes; at most `remaining()`.
        @param read   Reads its fields; what it leaves over is a fault.
    */
    template <class Read>
    void block(std::size_t length, Read&& read)
    {
        if (!this->has(length))
            return;
        const std::size_t before = this->source.narrow(length);
        read();
        this->finish();
        this->source.widen(before);
    }

    /// Bytes left over are a fault.
    void finish()
    {
        if (!this->failed() && this->source.remaining() != 0)
            this->fail("trailing bytes");
    }

private:
    static constexpr std::byte little_endian{1};

    bool has(std::size_t size)
    {
        if (this->failed())
            return false;
        if (this->source.remaining() >= size)
            return true;
        this->fail("truncated");
        return false;
    }

    span_source source;
    std::istream stream;
    std::optional<cereal::PortableBinaryInputArchive> archive;
    std::optional<codec_error> fault;
};

} // namespace roseworks::detail

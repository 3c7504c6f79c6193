#pragma once

#include <xxhash.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <memory>
#include <span>
#include <streambuf>
#include <vector>

namespace roseworks::detail
{

/// Stream buffer that appends to a vector of bytes.
class byte_sink : public std::streambuf
{
public:
    /// @return The number of bytes written so far.
    std::size_t size() const
    {
        return this->written.size();
    }

    /** Overwrite a 32-bit little-endian number written before.

        @param position Where it starts.
        @param value    Its new value.
    */
    void patch(std::size_t position, std::uint32_t value)
    {
        for (std::size_t i = 0; i < sizeof(value); ++i)
            this->written[position + i] =
                static_cast<std::byte>((value >> (8 * i)) & 0xFF);
    }

    /// @return The bytes, leaving the sink empty.
    std::vector<std::byte> take()
    {
        return std::move(this->written);
    }

protected:
    std::streamsize xsputn(const char* from, std::streamsize count) override
    {
        const auto* first = reinterpret_cast<const std::byte*>(from);
        this->written.insert(this->written.end(), first, first + count);
        return count;
    }

    int_type overflow(int_type c) override
    {
        this->written.push_back(static_cast<std::byte>(c));
        return c;
    }

private:
    std::vector<std::byte> written;
};

/// Stream buffer that hashes what is written, without keeping it.
class hash_sink : public std::streambuf
{
public:
    hash_sink()
        : state(XXH64_createState(), &XXH64_freeState)
    {
        XXH64_reset(this->state.get(), 0);
    }

    /// @return xxHash64 of all bytes written so far.
    std::uint64_t digest()
    {
        this->flush();
        return XXH64_digest(this->state.get());
    }

protected:
    std::streamsize xsputn(const char* from, std::streamsize count) override
    {
        const auto size = static_cast<std::size_t>(count);
        if (size > this->buffer.size() - this->used)
            this->flush();
        if (size > this->buffer.size())
        {
            XXH64_update(this->state.get(), from, size);
            return count;
        }
        std::memcpy(this->buffer.data() + this->used, from, size);
        this->used += size;
        return count;
    }

    int_type overflow(int_type c) override
    {
        const char one = static_cast<char>(c);
        this->xsputn(&one, 1);
        return c;
    }

private:
    void flush()
    {
        XXH64_update(this->state.get(), this->buffer.data(), this->used);
        this->used = 0;
    }

    std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state;
    std::array<char, 4096> buffer;
    std::size_t used = 0;
};

/// Stream buffer that reads a span, up to a limit that can be narrowed.
class span_source : public std::streambuf
{
public:
    explicit span_source(std::span<std::byte const> bytes)
        : from(bytes)
        , end(bytes.size())
    {
    }

    /// @return Bytes left before the limit.
    std::size_t remaining() const
    {
        return this->end - this->at;
    }

    /// @return Bytes read so far.
    std::size_t position() const
    {
        return this->at;
    }

    /** Narrow what may be read to the next bytes.

        @param length At most `remaining()`.
        @return       The limit before, for `widen`.
    */
    std::size_t narrow(std::size_t length)
    {
        const std::size_t before = this->end;
        this->end = this->at + length;
        return before;
    }

    /// Set the limit back to what `narrow` returned.
    void widen(std::size_t before)
    {
        this->end = before;
    }

protected:
    std::streamsize xsgetn(char* to, std::streamsize count) override
    {
        const std::size_t wanted = static_cast<std::size_t>(count);
        const std::size_t size = std::min(wanted, this->remaining());
        if (size != 0)
            std::memcpy(to, this->from.data() + this->at, size);
        this->at += size;
        return static_cast<std::streamsize>(size);
    }

private:
    std::span<std::byte const> from;
    std::size_t at = 0;
    std::size_t end = 0;
};

} // namespace roseworks::detail

#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace roseworks
{

/** Reads one message that `cereal::PortableBinaryOutputArchive` wrote on a
    machine with the same byte order.

    Rejects a length greater than the number of remaining bytes before it
    allocates memory. cereal's own input archive allocates any length that a
    forged message claims.
*/
class message_archive
    : public cereal::
          InputArchive<message_archive, cereal::AllowEmptyClassElision>
{
public:
    /// @param message Not copied; has to outlive the archive.
    /// @throws cereal::Exception if the message has another byte order.
    explicit message_archive(std::string_view message)
        : InputArchive<message_archive, cereal::AllowEmptyClassElision>(this)
        , rest(message)
    {
        std::uint8_t is_little = 0;
        this->read(&is_little, sizeof(is_little));
        constexpr bool little = std::endian::native == std::endian::little;
        if (is_little != (little ? 1 : 0))
            throw cereal::Exception("message has another byte order");
    }

    /// @throws cereal::Exception if fewer bytes are left.
    void read(void* target, std::size_t size)
    {
        if (size > this->rest.size())
            throw cereal::Exception("message is truncated");
        std::memcpy(target, this->rest.data(), size);
        this->rest.remove_prefix(size);
    }

    std::size_t remaining() const
    {
        return this->rest.size();
    }

private:
    std::string_view rest;
};

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(message_archive& archive, T& value)
{
    archive.read(&value, sizeof(value));
}

/// Reads any byte other than 0 as true, because a `bool` with another
/// representation would be undefined behaviour.
inline void CEREAL_LOAD_FUNCTION_NAME(message_archive& archive, bool& value)
{
    std::uint8_t value_byte = 0;
    archive.read(&value_byte, sizeof(value_byte));
    value = value_byte != 0;
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(
    message_archive& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

/// Rejects more elements than bytes are left; each element takes at least one
/// byte.
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(
    message_archive& archive, cereal::SizeTag<T>& length)
{
    archive(length.size);
    if (length.size > archive.remaining())
        throw cereal::Exception("length exceeds the end of the message");
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(
    message_archive& archive, cereal::BinaryData<T>& bytes)
{
    archive.read(bytes.data, static_cast<std::size_t>(bytes.size));
}

} // namespace roseworks

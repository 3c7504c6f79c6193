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

/** Reads what `cereal::PortableBinaryOutputArchive` wrote on a machine of the
    same byte order, from one datagram.

    A length that the rest of the datagram can't hold is an error before memory
    is taken for it: cereal's own archive takes whatever a forged word names.
*/
class word_archive
    : public cereal::InputArchive<word_archive, cereal::AllowEmptyClassElision>
{
public:
    /// @param word Borrowed; has to outlive the archive.
    /// @throws cereal::Exception when it isn't a word of this byte order.
    explicit word_archive(std::string_view word)
        : InputArchive<word_archive, cereal::AllowEmptyClassElision>(this)
        , rest(word)
    {
        std::uint8_t is_little = 0;
        this->read(&is_little, sizeof(is_little));
        constexpr bool little = std::endian::native == std::endian::little;
        if (is_little != (little ? 1 : 0))
            throw cereal::Exception("another byte order");
    }

    /// @throws cereal::Exception when the word is shorter.
    void read(void* into, std::size_t size)
    {
        if (size > this->rest.size())
            throw cereal::Exception("the word is too short");
        std::memcpy(into, this->rest.data(), size);
        this->rest.remove_prefix(size);
    }

    std::size_t left() const
    {
        return this->rest.size();
    }

private:
    std::string_view rest;
};

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(word_archive& archive, T& value)
{
    archive.read(&value, sizeof(value));
}

/// Any byte but 0 is true: another one isn't a value of the type.
inline void CEREAL_LOAD_FUNCTION_NAME(word_archive& archive, bool& value)
{
    std::uint8_t byte = 0;
    archive.read(&byte, sizeof(byte));
    value = byte != 0;
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(
    word_archive& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

/// Each element takes a byte at least.
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(
    word_archive& archive, cereal::SizeTag<T>& length)
{
    archive(length.size);
    if (length.size > archive.left())
        throw cereal::Exception("a length beyond the word's end");
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(
    word_archive& archive, cereal::BinaryData<T>& bytes)
{
    archive.read(bytes.data, static_cast<std::size_t>(bytes.size));
}

} // namespace roseworks

#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace roseworks
{

/** The name of a model or adapter, at most 255 bytes. The object has 16 bytes.

    Owns a copy of its characters or borrows them from an object that outlives
    it. The 87,000 names of a routing table are borrowed from the fold, so that
    they aren't copied.
*/
class servable_name
{
public:
    static constexpr std::size_t max_length = 255;

    servable_name() = default;

    /// Copies the value, truncated to `max_length` bytes.
    servable_name(std::string_view value)
        : size(static_cast<std::uint8_t>(value.substr(0, max_length).size()))
        , owned(true)
    {
        char* copy = new char[this->size];
        value.copy(copy, this->size);
        this->text = copy;
    }

    servable_name(const char* value)
        : servable_name(std::string_view(value))
    {
    }

    servable_name(const std::string& value)
        : servable_name(std::string_view(value))
    {
    }

    /// Refers to the value's characters without copying them.
    /// @param value Must outlive the result and all its copies.
    static servable_name borrow(std::string_view value)
    {
        servable_name result;
        result.text = value.data();
        result.size =
            static_cast<std::uint8_t>(value.substr(0, max_length).size());
        return result;
    }

    servable_name(const servable_name& other)
        : servable_name(
              other.owned ? servable_name(other.view()) : borrow(other))
    {
    }

    servable_name(servable_name&& other) noexcept
    {
        this->swap(other);
    }

    servable_name& operator=(servable_name other) noexcept
    {
        this->swap(other);
        return *this;
    }

    ~servable_name()
    {
        if (this->owned)
            delete[] this->text;
    }

    std::string_view view() const
    {
        return {this->text, this->size};
    }

    operator std::string_view() const
    {
        return this->view();
    }

    bool is_borrowed() const
    {
        return !this->owned;
    }

    template <class Text>
    requires std::convertible_to<const Text&, std::string_view>
    friend bool operator==(const servable_name& one, const Text& other)
    {
        return one.view() == std::string_view(other);
    }

    friend bool operator==(const servable_name& one, const servable_name& other)
    {
        return one.view() == other.view();
    }

private:
    void swap(servable_name& other) noexcept
    {
        std::swap(this->text, other.text);
        std::swap(this->size, other.size);
        std::swap(this->owned, other.owned);
    }

    const char* text = nullptr;
    std::uint8_t size = 0;
    bool owned = false;
};

} // namespace roseworks

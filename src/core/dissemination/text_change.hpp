#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks
{

/// @return A digest that identifies a text among its other versions. It doesn't
///         protect against forgery.
std::uint64_t text_digest(std::string_view text);

/// The difference between two versions of a text. It refers to the unchanged
/// parts of the earlier version and contains the rest.
struct text_change
{
    std::uint64_t base_digest = 0; ///< of the version that it applies to
    std::uint64_t digest = 0;      ///< of the result
    std::uint64_t size = 0;        ///< of the result, in bytes
    std::string steps;             ///< encoded

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->base_digest, this->digest, this->size, this->steps);
    }

    bool operator==(const text_change&) const = default;
};

/** Compares two versions of a text that consists of objects in braces, such as
    JSON. The time is proportional to the size of both.

    An object that changed in any place is contained as a whole.
*/
text_change compare_texts(std::string_view before, std::string_view after);

/// @param max_bytes Maximum size of the result.
/// @return          The later version. Empty if the change doesn't apply to
///                  `before` or is malformed.
std::optional<std::string> apply_change(
    std::string_view before, const text_change& change, std::size_t max_bytes);

} // namespace roseworks

#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace roseworks
{

/** An integer id that can't be converted to an id of another kind.

    The value 0 means "none" in every kind of id.
*/
template <class Tag, class Rep>
struct strong_id
{
    using rep = Rep;

    Rep value = 0;

    constexpr strong_id() = default;

    constexpr explicit strong_id(Rep initial)
        : value(initial)
    {
    }

    /// @return Whether the id isn't "none".
    constexpr explicit operator bool() const
    {
        return this->value != 0;
    }

    friend constexpr auto
    operator<=>(const strong_id&, const strong_id&) = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->value);
    }
};

/// Position of an entry in the platform's log. The first is 1.
using log_offset = strong_id<struct log_offset_tag, std::uint64_t>;

/// Offset of the last accepted change of an entity; 0 when it doesn't exist.
using revision = strong_id<struct revision_tag, std::uint64_t>;

/// A model or adapter. Ids are assigned in log order and are the same on every
/// router.
using servable_id = strong_id<struct servable_tag, std::uint32_t>;

/// A model engine; assigned in log order.
using engine_id = strong_id<struct engine_tag, std::uint32_t>;

/// A plain service; assigned in log order.
using service_id = strong_id<struct service_tag, std::uint32_t>;

/// A caller with its own record; assigned in log order.
using caller_id = strong_id<struct caller_tag, std::uint32_t>;

/// A replica: the offset of the record that decided it.
using replica_id = strong_id<struct replica_tag, std::uint64_t>;

/// One run of a router process: the offset of its join record.
using session_id = strong_id<struct session_tag, std::uint64_t>;

/// Fencing number of an engine's lease: the offset of the record that
/// acquired it, so a later holder always has a higher number.
using fence = strong_id<struct fence_tag, std::uint64_t>;

/// Author of records: a stable hash of a VM's or operator's name.
using author_id = strong_id<struct author_tag, std::uint64_t>;

/// Software of a backend server: a stable hash of its service and the version
/// that it announces. The value 0 means "unknown" and is the same as nothing,
/// not even as another unknown one.
using software_version = strong_id<struct software_version_tag, std::uint64_t>;

/// Hash of a request's content, or of a part of its prompt. Either may crash
/// the backend servers that run it.
using fingerprint = strong_id<struct fingerprint_tag, std::uint64_t>;

} // namespace roseworks

template <class Tag, class Rep>
struct std::hash<roseworks::strong_id<Tag, Rep>>
{
    std::size_t operator()(roseworks::strong_id<Tag, Rep> id) const noexcept
    {
        // Fibonacci hashing: log offsets are consecutive numbers.
        return static_cast<std::size_t>(
            static_cast<std::uint64_t>(id.value) * 0x9E3779B97F4A7C15ULL);
    }
};

#pragma once

#include "ports/event_sink.hpp"

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string_view>

namespace roseworks::events
{

/// A row of the catalogue: what an event means and what to do about it.
struct event_entry
{
    event_id id;
    event_level level;
    std::string_view name;
    /// What happened, one sentence.
    std::string_view text;
    /// The names of the fields it may carry, separated by ", ".
    std::string_view fields;
    /// What the operator should do.
    std::string_view remedy;

    /// @return the number printed after `RW`.
    constexpr std::uint16_t number() const
    {
        return static_cast<std::uint16_t>(this->id);
    }

    /// @return whether the catalogue names that field for this event.
    bool has_field(std::string_view field) const;
};

/// @return all events, by rising number.
std::span<const event_entry> catalogue();

/// @return the row of an event; null for a number that has none.
const event_entry* find_entry(event_id id);

/// @return `debug`, `info`, `warn` or `error`.
std::string_view to_string(event_level level);

/// Writes docs/EVENTS.md.
void write_catalogue(std::ostream& out);

} // namespace roseworks::events

#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::tools
{

/// One event that a gateway wrote to its log.
struct log_line
{
    std::int64_t at_ms = 0; ///< wall clock, milliseconds since 1970
    std::string vm;
    std::string name; ///< of the event, as in docs/EVENTS.md
    boost::json::object fields;

    /// @return The field's text; empty where it is missing or no text.
    std::string_view text(std::string_view field) const;

    /// @return The field's number; 0 where it is missing or no whole number.
    std::int64_t number(std::string_view field) const;
};

/** Reads a line of a gateway's log. What a collector wrote before the event is
    passed over.

    @return Empty for a line that holds no event.
*/
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace roseworks::tools

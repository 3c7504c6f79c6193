#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace roseworks::edge
{

/** Looks over the bytes of a request's head before the HTTP parser sees them.

    Beast's parser is lenient where two parsers may disagree on where a request
    ends. This refuses these shapes: obsolete line folding, a bare CR or LF,
    control characters, and empty lines before the request line. Linear in
    the head's size, however the bytes arrive.
*/
class head_scan
{
public:
    enum class status : std::uint8_t
    {
        need_more,
        complete, ///< `size()` bytes are a whole head
        malformed ///< `fault()` says why
    };

    /// @param head all bytes received so far, from the request's first.
    /// @return     what is known of the head.
    status feed(std::string_view head);

    /// @return Bytes of the head, with its empty line.
    std::size_t size() const
    {
        return this->position;
    }

    /// @return What is malformed.
    std::string_view fault() const
    {
        return this->what;
    }

private:
    enum class place : std::uint8_t
    {
        line_start,
        in_line,
        after_cr,
        after_last_cr
    };

    status step(char byte);
    status at_line_start(char byte);
    status in_line(char byte);
    status fail(std::string_view fault);

    std::size_t position = 0;
    place now = place::line_start;
    bool first_line = true;
    status known = status::need_more;
    std::string_view what;
};

} // namespace roseworks::edge

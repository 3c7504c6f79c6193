#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace roseworks::edge
{

/** Validates the bytes of a request head before the HTTP parser reads them.

    Beast's parser accepts some heads on which two parsers may disagree about
    where the request ends (request smuggling). This class rejects them:
   obsolete line folding, a bare CR or LF, control characters, and empty lines
   before the request line. The time is linear in the size of the head, however
   the bytes are split into reads.
*/
class head_scan
{
public:
    enum class status : std::uint8_t
    {
        need_more,
        complete, ///< the first `size()` bytes are a whole head
        malformed ///< `fault()` describes the error
    };

    /// @param head All bytes of the request received so far.
    /// @return     The status of the head.
    status feed(std::string_view head);

    /// @return Size of the head in bytes, including the final empty line.
    std::size_t size() const
    {
        return this->position;
    }

    /// @return Description of the error if the head is malformed.
    std::string_view fault() const
    {
        return this->fault_text;
    }

private:
    enum class scan_state : std::uint8_t
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
    scan_state state = scan_state::line_start;
    bool first_line = true;
    status result = status::need_more;
    std::string_view fault_text;
};

} // namespace roseworks::edge

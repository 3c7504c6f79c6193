#include "adapters/edge/head_scan.hpp"

namespace roseworks::edge
{

namespace
{

bool is_control(char byte)
{
    const auto value = static_cast<unsigned char>(byte);
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7F;
    return (value < first_printable && byte != '\t') ||
           value == delete_character;
}

} // namespace

head_scan::status head_scan::feed(std::string_view head)
{
    while (this->result == status::need_more && this->position < head.size())
    {
        this->result = this->step(head[this->position]);
        ++this->position;
    }
    return this->result;
}

head_scan::status head_scan::step(char byte)
{
    switch (this->state)
    {
    case scan_state::line_start:
        return this->at_line_start(byte);
    case scan_state::in_line:
        return this->in_line(byte);
    case scan_state::after_cr:
        if (byte != '\n')
            return this->fail("bare CR in the head");
        this->state = scan_state::line_start;
        this->first_line = false;
        return status::need_more;
    case scan_state::after_last_cr:
        if (byte != '\n')
            return this->fail("bare CR in the head");
        return status::complete;
    }
    return status::need_more;
}

head_scan::status head_scan::at_line_start(char byte)
{
    if (byte == '\r' && this->first_line)
        return this->fail("empty line before the request line");
    if (byte == '\r')
    {
        this->state = scan_state::after_last_cr;
        return status::need_more;
    }
    if (byte == ' ' || byte == '\t')
        return this->fail("folded header line");
    this->state = scan_state::in_line;
    return this->in_line(byte);
}

head_scan::status head_scan::in_line(char byte)
{
    if (byte == '\r')
    {
        this->state = scan_state::after_cr;
        return status::need_more;
    }
    if (byte == '\n')
        return this->fail("bare LF in the head");
    if (is_control(byte))
        return this->fail("control character in the head");
    return status::need_more;
}

head_scan::status head_scan::fail(std::string_view fault)
{
    this->fault_text = fault;
    return status::malformed;
}

} // namespace roseworks::edge

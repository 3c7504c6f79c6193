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
    while (this->known == status::need_more && this->position < head.size())
    {
        this->known = this->step(head[this->position]);
        ++this->position;
    }
    return this->known;
}

head_scan::status head_scan::step(char byte)
{
    switch (this->now)
    {
    case place::line_start:
        return this->at_line_start(byte);
    case place::in_line:
        return this->in_line(byte);
    case place::after_cr:
        if (byte != '\n')
            return this->fail("bare CR in the head");
        this->now = place::line_start;
        this->first_line = false;
        return status::need_more;
    case place::after_last_cr:
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
        this->now = place::after_last_cr;
        return status::need_more;
    }
    if (byte == ' ' || byte == '\t')
        return this->fail("folded header line");
    this->now = place::in_line;
    return this->in_line(byte);
}

head_scan::status head_scan::in_line(char byte)
{
    if (byte == '\r')
    {
        this->now = place::after_cr;
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
    this->what = fault;
    return status::malformed;
}

} // namespace roseworks::edge

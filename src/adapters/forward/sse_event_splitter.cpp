#include "adapters/forward/sse_event_splitter.hpp"

#include <utility>

namespace roseworks::forward
{

namespace
{

constexpr std::string_view id_field = "id:";
constexpr char comment_start = ':';

} // namespace

std::string sse_event_splitter::feed(std::string_view bytes)
{
    std::string completed_events;
    for (const char byte : bytes)
        this->feed_byte(byte, completed_events);
    return completed_events;
}

void sse_event_splitter::feed_byte(char byte, std::string& completed_events)
{
    const cr_state previous = std::exchange(this->last_cr, cr_state::none);
    if (previous == cr_state::undecided && byte != '\n')
    {
        this->lines_end_with_cr = true;
        this->end_line(completed_events);
    }
    if (previous == cr_state::ended_line && byte == '\n')
    {
        this->complete_crlf(completed_events);
        return;
    }
    this->pending.push_back(byte);
    if (byte == '\n')
    {
        this->lines_end_with_cr = false;
        this->end_line(completed_events);
    }
    else if (byte == '\r' && this->lines_end_with_cr)
    {
        this->end_line(completed_events);
        this->last_cr = cr_state::ended_line;
    }
    else if (byte == '\r')
        this->last_cr = cr_state::undecided;
}

void sse_event_splitter::complete_crlf(std::string& completed_events)
{
    this->lines_end_with_cr = false;
    if (this->pending.empty())
    {
        completed_events.push_back('\n');
        return;
    }
    this->pending.push_back('\n');
    this->line_start = this->pending.size();
}

void sse_event_splitter::end_line(std::string& completed_events)
{
    std::string_view line =
        std::string_view(this->pending).substr(this->line_start);
    while (line.ends_with('\n') || line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty())
    {
        this->end_event(completed_events);
        return;
    }
    this->parse_line(line);
    this->line_start = this->pending.size();
}

void sse_event_splitter::end_event(std::string& completed_events)
{
    completed_events += this->pending;
    if (!this->pending_id.empty())
        this->id = std::exchange(this->pending_id, {});
    this->count += this->has_field ? 1 : 0;
    this->pending.clear();
    this->line_start = 0;
    this->has_field = false;
}

void sse_event_splitter::parse_line(std::string_view line)
{
    this->has_field = this->has_field || !line.starts_with(comment_start);
    if (!line.starts_with(id_field))
        return;
    line.remove_prefix(id_field.size());
    while (line.starts_with(' '))
        line.remove_prefix(1);
    this->pending_id = line;
}

std::string sse_event_splitter::take_remainder()
{
    std::string remainder = std::exchange(this->pending, {});
    this->discard_incomplete();
    return remainder;
}

void sse_event_splitter::discard_incomplete()
{
    this->pending.clear();
    this->pending_id.clear();
    this->line_start = 0;
    this->has_field = false;
    this->lines_end_with_cr = false;
    this->last_cr = cr_state::none;
}

} // namespace roseworks::forward

#include "adapters/edge/sse_reader.hpp"

#include <utility>

namespace roseworks::edge
{

namespace
{

constexpr std::string_view data_field = "data:";
constexpr std::string_view id_field = "id:";
constexpr char comment_start = ':';
constexpr std::string_view done_value = "[DONE]";

/// @return The value of the field, without one leading space.
std::string_view value_of(std::string_view line, std::string_view field)
{
    line.remove_prefix(field.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

} // namespace

bool sse_reader::feed(std::string_view bytes)
{
    for (const char byte : bytes)
    {
        this->feed_byte(byte);
        if (this->rejected || this->event.size() > this->limit)
            return false;
    }
    return true;
}

void sse_reader::feed_byte(char byte)
{
    const bool completes_cr = this->after_cr && byte == '\n';
    this->after_cr = byte == '\r';
    if (completes_cr)
    {
        // The LF of a CRLF belongs to the line that the CR has ended.
        this->last_line_end->push_back(byte);
        if (this->last_line_end == &this->event)
            this->line_start = this->event.size();
        return;
    }
    if (byte != '\r' && byte != '\n')
    {
        this->event.push_back(byte);
        return;
    }
    const bool blank = this->event.size() == this->line_start;
    if (!blank)
        this->end_line();
    this->event.push_back(byte);
    this->line_start = this->event.size();
    this->last_line_end = &this->event;
    if (blank)
        this->end_event();
}

void sse_reader::end_line()
{
    const std::string_view line =
        std::string_view(this->event).substr(this->line_start);
    this->has_field = this->has_field || !line.starts_with(comment_start);
    if (line.starts_with(id_field))
        this->id = value_of(line, id_field);
    if (!line.starts_with(data_field))
        return;
    const bool says_done = value_of(line, data_field) == done_value;
    this->is_done_event = !this->has_data && says_done;
    this->has_data = true;
}

void sse_reader::end_event()
{
    const bool after_done = !this->done.empty();
    const bool is_counted =
        this->has_data && !this->is_done_event && !after_done;
    if (is_counted && this->position && !this->position->accept(this->id))
    {
        this->rejected = true;
        return;
    }
    this->id.clear();
    std::string& target =
        this->is_done_event && !after_done ? this->done : this->ready;
    if (!after_done)
    {
        target.append(this->event);
        this->data_events += is_counted ? 1 : 0;
    }
    this->event.clear();
    this->line_start = 0;
    this->has_field = false;
    this->has_data = false;
    this->is_done_event = false;
    // Everything after [DONE] is discarded, including the LF of a CRLF that
    // ends a discarded event.
    this->last_line_end = after_done ? &this->event : &target;
}

void sse_reader::finish()
{
    if (this->event.size() > this->line_start)
        this->end_line();
    if (!this->event.empty())
    {
        this->event.append("\n\n");
        this->end_event();
    }
    this->after_cr = false;
}

std::string sse_reader::take_ready()
{
    return std::exchange(this->ready, {});
}

} // namespace roseworks::edge

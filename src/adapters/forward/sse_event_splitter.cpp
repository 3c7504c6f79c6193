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
    {
        this->pending.push_back(byte);
        if (byte != '\n')
            continue;
        std::string_view line =
            std::string_view(this->pending).substr(this->line_start);
        line.remove_suffix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        const bool is_blank = line.empty();
        if (!is_blank)
            this->parse_line();
        this->line_start = this->pending.size();
        if (!is_blank)
            continue;
        completed_events += this->pending;
        if (!this->pending_id.empty())
            this->id = std::exchange(this->pending_id, {});
        this->count += this->has_field ? 1 : 0;
        this->pending.clear();
        this->line_start = 0;
        this->has_field = false;
    }
    return completed_events;
}

void sse_event_splitter::parse_line()
{
    std::string_view line =
        std::string_view(this->pending).substr(this->line_start);
    this->has_field = this->has_field || !line.starts_with(comment_start);
    if (!line.starts_with(id_field))
        return;
    line.remove_prefix(id_field.size());
    while (line.starts_with(' '))
        line.remove_prefix(1);
    while (line.ends_with('\n') || line.ends_with('\r'))
        line.remove_suffix(1);
    this->pending_id = line;
}

std::string sse_event_splitter::take_remainder()
{
    this->line_start = 0;
    this->has_field = false;
    return std::exchange(this->pending, {});
}

void sse_event_splitter::discard_incomplete()
{
    this->pending.clear();
    this->pending_id.clear();
    this->line_start = 0;
    this->has_field = false;
}

} // namespace roseworks::forward

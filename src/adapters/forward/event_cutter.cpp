#include "adapters/forward/event_cutter.hpp"

#include <utility>

namespace roseworks::forward
{

namespace
{

constexpr std::string_view id_field = "id:";

} // namespace

std::string event_cutter::feed(std::string_view bytes)
{
    std::string whole;
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
        const bool blank = line.empty();
        if (!blank)
            this->end_line();
        this->line_start = this->pending.size();
        if (!blank)
            continue;
        whole += this->pending;
        if (!this->pending_id.empty())
            this->id = std::exchange(this->pending_id, {});
        ++this->count;
        this->pending.clear();
        this->line_start = 0;
    }
    return whole;
}

void event_cutter::end_line()
{
    std::string_view line =
        std::string_view(this->pending).substr(this->line_start);
    if (!line.starts_with(id_field))
        return;
    line.remove_prefix(id_field.size());
    while (line.starts_with(' '))
        line.remove_prefix(1);
    while (line.ends_with('\n') || line.ends_with('\r'))
        line.remove_suffix(1);
    this->pending_id = line;
}

std::string event_cutter::take_rest()
{
    this->line_start = 0;
    return std::exchange(this->pending, {});
}

void event_cutter::restart()
{
    this->pending.clear();
    this->pending_id.clear();
    this->line_start = 0;
}

} // namespace roseworks::forward

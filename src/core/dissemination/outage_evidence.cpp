#include "core/dissemination/outage_evidence.hpp"

#include <algorithm>

namespace roseworks
{

void outage_evidence::answered_at(instant when)
{
    if (!this->last_answer)
        this->gap_end = when;
    else if (when <= *this->last_answer)
        return;
    else if (when - *this->last_answer >= this->min_length)
    {
        this->gap_begin = *this->last_answer;
        this->gap_end = when;
    }
    this->last_answer = when;
}

bool outage_evidence::answered_between(instant begin, instant end)
{
    if (!this->last_answer)
        return false;
    if (begin <= *this->last_answer)
        this->last_answer = std::max(*this->last_answer, end);
    const bool covers_gap = this->gap_end > this->gap_begin &&
                            begin <= this->gap_begin && end >= this->gap_end;
    if (!covers_gap)
        return false;
    this->gap_begin = begin;
    this->gap_end = begin;
    return true;
}

bool outage_evidence::may_have_been_out(instant end) const
{
    if (!this->last_answer || end - *this->last_answer >= this->min_length)
        return true;
    // Other routers may notice the end of an outage later than the first
    // answer.
    return this->gap_end > this->gap_begin && end > this->gap_begin &&
           end < this->gap_end + this->min_length;
}

} // namespace roseworks

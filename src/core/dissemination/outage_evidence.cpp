#include "core/dissemination/outage_evidence.hpp"

namespace roseworks
{

void outage_evidence::store_answered(instant when)
{
    if (when <= this->last_answer)
        return;
    if (when - this->last_answer >= this->min_length)
    {
        this->gap_begin = this->last_answer;
        this->gap_end = when;
    }
    this->last_answer = when;
}

bool outage_evidence::may_have_been_out(instant end) const
{
    if (end - this->last_answer >= this->min_length)
        return true;
    // Other routers may notice the end of an outage later than the first
    // answer.
    return end > this->gap_begin && end < this->gap_end + this->min_length;
}

} // namespace roseworks

#include "core/hedging/attempt_race.hpp"

#include <algorithm>

namespace roseworks
{

namespace
{

race_side other_of(race_side side)
{
    return side == race_side::first ? race_side::second : race_side::first;
}

} // namespace

attempt_race::attempt_race(bool is_stream, instant second_sent_at)
{
    if (is_stream)
        this->overlap_end = second_sent_at + max_stream_overlap;
}

bool attempt_race::output_began(race_side side, instant now)
{
    this->tick(now);
    if (!this->is_running(side))
        return false;
    this->state_of(side) = state::won;
    if (this->is_running(other_of(side)))
        this->state_of(other_of(side)) = state::closed;
    return true;
}

void attempt_race::ended(race_side side)
{
    if (this->is_running(side))
        this->state_of(side) = state::ended;
}

void attempt_race::tick(instant now)
{
    const auto end = this->overlap_ends();
    if (end && now >= *end)
        this->state_of(race_side::first) = state::closed;
}

std::optional<instant> attempt_race::overlap_ends() const
{
    const bool both_run = this->is_running(race_side::first) &&
                          this->is_running(race_side::second);
    return both_run ? this->overlap_end : std::nullopt;
}

std::optional<race_side> attempt_race::winner() const
{
    for (const race_side side : {race_side::first, race_side::second})
    {
        if (this->state_of(side) == state::won)
            return side;
    }
    return std::nullopt;
}

bool attempt_race::has_failed() const
{
    return std::ranges::none_of(
        this->states,
        [](state one)
        {
            return one == state::running || one == state::won;
        });
}

} // namespace roseworks

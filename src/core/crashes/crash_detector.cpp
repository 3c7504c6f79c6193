#include "core/crashes/crash_detector.hpp"

#include <algorithm>

namespace roseworks
{

crash_detector::crash_detector(options chosen)
    : settings(chosen)
{
}

duration crash_detector::memory_of(run_end end) const
{
    if (end == run_end::closed)
        return this->settings.closed_memory;
    return end == run_end::connection ? this->settings.broken_memory
                                      : this->settings.silent_memory;
}

void crash_detector::run_broken(
    const run_content& content,
    server_life life,
    run_end end,
    instant sent,
    instant now)
{
    const duration memory = this->memory_of(end);
    const auto ended = this->lives.find(life);
    const bool is_over =
        ended != this->lives.end() &&
        this->is_related({end, sent, now}, ended->second.known_at);
    if (is_over)
        this->detected.push_back({content, life, ended->second.evidence, now});
    if (is_over && is_proof(ended->second.evidence))
        return;
    this->runs.push_back({content, life, end, now, now + memory});
    if (this->runs.size() > this->settings.max_runs)
        this->runs.pop_front();
}

bool crash_detector::is_related(const late_run& run, instant end_known_at) const
{
    const bool was_running = run.sent <= end_known_at;
    return was_running ||
           run.broken_at - end_known_at <= this->memory_of(run.end);
}

void crash_detector::life_reached(server_life life, instant now)
{
    for (broken_run& run : this->runs)
    {
        if (run.life != life)
            continue;
        run.forget_at =
            std::min(run.forget_at, now + this->settings.reached_memory);
        if (run.end == run_end::closed)
            this->harmless.push_back(run.content);
    }
    std::erase_if(
        this->runs,
        [life](const broken_run& run)
        {
            return run.life == life && run.end == run_end::closed;
        });
}

void crash_detector::life_ended(
    server_life life, crash_evidence evidence, instant now)
{
    const auto [place, added] =
        this->lives.try_emplace(life, ended_life{evidence, now});
    if (added)
        this->life_order.push_back(life);
    else if (is_proof(evidence) && !is_proof(place->second.evidence))
        place->second = {evidence, now};
    if (this->life_order.size() > this->settings.max_lives)
    {
        this->lives.erase(this->life_order.front());
        this->life_order.pop_front();
    }
    for (const broken_run& run : this->runs)
    {
        if (run.life == life && run.forget_at >= now)
            this->detected.push_back(
                {run.content, life, evidence, run.broken_at});
    }
    if (!is_proof(evidence))
        return;
    std::erase_if(
        this->runs,
        [life](const broken_run& run)
        {
            return run.life == life;
        });
}

void crash_detector::tick(instant now)
{
    std::erase_if(
        this->runs,
        [now](const broken_run& run)
        {
            return run.forget_at < now;
        });
    const auto is_forgotten = [this, now](server_life life)
    {
        return now - this->lives.at(life).known_at >
               this->settings.broken_memory;
    };
    while (!this->life_order.empty() && is_forgotten(this->life_order.front()))
    {
        this->lives.erase(this->life_order.front());
        this->life_order.pop_front();
    }
}

} // namespace roseworks

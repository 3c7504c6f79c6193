#include "core/crashes/request_gate.hpp"

#include <xxhash.h>

#include <algorithm>

namespace roseworks
{

request_gate::request_gate(options chosen)
    : settings(chosen)
    , answers(std::max<std::size_t>(chosen.answer_slots, 1))
{
}

std::size_t request_gate::slot_of(fingerprint request) const
{
    return static_cast<std::size_t>(request.value % this->answers.size());
}

bool request_gate::was_answered(fingerprint request, instant now) const
{
    const answer& last = this->answers[this->slot_of(request)];
    return last.request == request &&
           now - last.when <= this->settings.answer_memory;
}

duration request_gate::trial_delay(fingerprint request) const
{
    const std::uint64_t hash =
        XXH64(&request.value, sizeof(request.value), this->settings.seed);
    const auto spread =
        static_cast<std::uint64_t>(this->settings.trial_spread.count());
    return duration(static_cast<duration::rep>(hash % (spread + 1)));
}

duration request_gate::refused_for(
    const blocked_requests& known, fingerprint request, instant now) const
{
    const auto found = known.blocked_until.find(request);
    if (found == known.blocked_until.end() || this->was_answered(request, now))
        return duration::zero();
    instant until = found->second;
    const auto trial = this->trials.find(request);
    if (trial != this->trials.end())
        until = std::max(until, trial->second + this->settings.trial_length);
    return std::max(until + this->trial_delay(request) - now, duration::zero());
}

request_gate::decision request_gate::admit(
    const blocked_requests& known, fingerprint request, instant now)
{
    const auto found = known.blocked_until.find(request);
    if (found == known.blocked_until.end())
        return {};
    if (this->was_answered(request, now))
        return {outcome::harmless, {}};
    const duration wait = this->refused_for(known, request, now);
    if (wait > duration::zero())
        return {outcome::refused, wait};
    std::erase_if(
        this->trials,
        [this, now](const auto& entry)
        {
            return now - entry.second >= this->settings.trial_length;
        });
    this->trials[request] = now;
    return {outcome::trial, {}};
}

void request_gate::answered(fingerprint request, instant now)
{
    this->answers[this->slot_of(request)] = {request, now};
    this->trials.erase(request);
}

} // namespace roseworks

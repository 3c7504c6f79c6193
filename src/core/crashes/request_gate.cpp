#include "core/crashes/request_gate.hpp"

#include <xxhash.h>

#include <algorithm>

namespace roseworks
{

request_gate::request_gate(options chosen)
    : settings(chosen)
    , answers(chosen.answer_slots, chosen.answer_memory)
{
}

duration request_gate::trial_delay(
    const blocked_requests& known, fingerprint request) const
{
    if (known.tried_at_once.contains(request))
        return duration::zero();
    const auto ordered = known.trial_delays.find(request);
    return ordered == known.trial_delays.end() ? this->drawn_delay(request)
                                               : ordered->second;
}

duration request_gate::drawn_delay(fingerprint request) const
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
    if (found == known.blocked_until.end() ||
        this->answers.contains(request, now))
        return duration::zero();
    instant until = found->second;
    const auto trial = this->trials.find(request);
    if (trial != this->trials.end())
        until = std::max(until, trial->second + this->settings.trial_length);
    until += this->trial_delay(known, request);
    return std::max(until - now, duration::zero());
}

request_gate::decision request_gate::admit(
    const blocked_requests& known, fingerprint request, instant now)
{
    const auto found = known.blocked_until.find(request);
    if (found == known.blocked_until.end())
        return {};
    if (this->answers.contains(request, now))
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
    this->answers.add(request, now);
    this->trials.erase(request);
}

} // namespace roseworks

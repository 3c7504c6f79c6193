#include "core/admission/caller_limits.hpp"

#include <algorithm>
#include <cassert>

namespace roseworks::detail
{

namespace
{

constexpr duration in_flight_retry_after = std::chrono::milliseconds(500);
constexpr duration caller_idle_timeout = std::chrono::minutes(1);

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

caller_limits::admission caller_limits::admit(
    std::string_view name, const caller_spec& spec, instant now)
{
    admission result;
    entry& caller_entry = this->find_or_add(name, spec, now, result.caller);

    const double rate = spec.requests_per_second;
    caller_entry.tokens = std::min(
        rate, caller_entry.tokens + rate * seconds(now - caller_entry.last));
    caller_entry.last = now;

    if (spec.max_in_flight != 0 && caller_entry.in_flight >= spec.max_in_flight)
    {
        result.refused = in_flight_retry_after;
        return result;
    }
    if (spec.requests_per_second != 0)
    {
        if (caller_entry.tokens < 1)
        {
            result.refused =
                std::chrono::ceil<duration>(std::chrono::duration<double>(
                    (1 - caller_entry.tokens) / rate));
            return result;
        }
        caller_entry.tokens -= 1;
    }
    ++caller_entry.in_flight;
    return result;
}

caller_limits::entry& caller_limits::find_or_add(
    std::string_view name,
    const caller_spec& spec,
    instant now,
    caller_number& number)
{
    std::string key(name);
    const auto found = this->numbers.find(key);
    if (found != this->numbers.end())
    {
        number = found->second;
        return this->entries.at(number);
    }

    number = ++this->last_number;
    entry& added = this->entries[number];
    added.name = key;
    added.tokens = spec.requests_per_second;
    added.last = now;
    this->numbers.emplace(std::move(key), number);
    return added;
}

void caller_limits::share(caller_number caller)
{
    const auto found = this->entries.find(caller);
    assert(found != this->entries.end() && found->second.in_flight != 0);
    if (found != this->entries.end())
    {
        ++found->second.in_flight;
    }
}

void caller_limits::release(caller_number caller)
{
    const auto found = this->entries.find(caller);
    assert(found != this->entries.end() && found->second.in_flight != 0);
    if (found != this->entries.end() && found->second.in_flight != 0)
    {
        --found->second.in_flight;
    }
}

void caller_limits::purge(instant now)
{
    std::erase_if(
        this->entries,
        [this, now](const auto& item)
        {
            const entry& candidate = item.second;
            if (candidate.in_flight != 0 ||
                now - candidate.last < caller_idle_timeout)
            {
                return false;
            }
            this->numbers.erase(candidate.name);
            return true;
        });
}

} // namespace roseworks::detail

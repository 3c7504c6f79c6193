#include "core/pacing/server_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace roseworks
{

namespace
{

/// Floor for announced limits. A limited server must still get some requests,
/// because its answers show when the limit ends.
constexpr double least_per_second = 0.02;

/// Above the rate of any real server.
constexpr double most_per_second = 1e6;

/// Cap for ages in received messages (one hour).
constexpr std::int64_t longest_us = 3'600'000'000;

double bounded(double per_second)
{
    return std::clamp(per_second, least_per_second, most_per_second);
}

} // namespace

server_limits::server_limits(options chosen)
    : settings(std::move(chosen))
{
}

server_limits::entry* server_limits::find_or_add(std::string_view server)
{
    const auto found = this->known.find(server);
    if (found != this->known.end())
        return &found->second;
    if (this->known.size() >= this->settings.most_servers)
        return nullptr;
    entry& added = this->known[std::string(server)];
    added.limit.server = server;
    return &added;
}

bool server_limits::take(entry& one, double per_second, instant seen)
{
    const bool changed = one.limit.per_second != per_second;
    one.limit.per_second = per_second;
    one.limit.seen = seen;
    if (changed)
        this->changes.push_back(one.limit);
    return changed;
}

void server_limits::tell(entry& one, instant now)
{
    one.told = now;
    one.tellings_left = std::max(one.tellings_left - 1, 0);
    this->to_tell.push_back(one.limit.server);
}

void server_limits::answered(
    std::string_view server,
    std::optional<double> named,
    instant sent,
    instant now)
{
    if (!named && this->limit_of(server) == 0)
        return;
    entry* const one = this->find_or_add(server);
    const bool is_overtaken =
        !named && one != nullptr && sent < one->limit.seen;
    if (one == nullptr || is_overtaken)
        return;
    const bool was_limited = one->limit.per_second > 0;
    const bool changed = named ? this->take(*one, bounded(*named), now)
                               : this->take(*one, 0, sent);
    if (changed)
        one->tellings_left = this->settings.tellings;
    // Limits the message rate when a server changes its limit in each answer.
    const duration pause =
        changed ? this->settings.telling_pause : this->settings.confirm_pause;
    if (was_limited != named.has_value() || now - one->told >= pause)
        this->tell(*one, now);
}

void server_limits::heard(const server_limit_word& word, instant now)
{
    for (const told_server_limit& told : word.limits)
    {
        const auto age = std::clamp<std::int64_t>(told.age_us, 0, longest_us);
        const instant seen = now - duration(age);
        const bool makes_sense =
            std::isfinite(told.per_second) && told.per_second >= 0;
        const bool is_known = this->known.contains(told.server);
        if (!makes_sense || (told.per_second == 0 && !is_known))
            continue;
        entry* const one = this->find_or_add(told.server);
        if (one == nullptr || seen < one->limit.seen)
            continue;
        const double per_second =
            told.per_second == 0 ? 0 : bounded(told.per_second);
        if (this->take(*one, per_second, seen))
            one->tellings_left =
                0; // the router that observed the change repeats it
        one->told = now;
    }
}

void server_limits::forget(std::string_view server)
{
    const auto found = this->known.find(server);
    if (found == this->known.end())
        return;
    if (found->second.limit.per_second != 0)
        this->changes.push_back({std::string(server), 0, {}});
    this->known.erase(found);
}

void server_limits::tick(instant now)
{
    std::vector<std::string> old;
    for (auto& [server, one] : this->known)
    {
        const bool is_due = one.tellings_left > 0 &&
                            now - one.told >= this->settings.telling_pause;
        if (is_due)
            this->tell(one, now);
        const duration memory = one.limit.per_second == 0
                                    ? this->settings.end_memory
                                    : this->settings.lifetime;
        if (now - one.limit.seen >= memory)
            old.push_back(server);
    }
    for (const std::string& server : old)
        this->forget(server);
}

std::optional<instant> server_limits::next_tick() const
{
    std::optional<instant> next;
    for (const auto& [server, one] : this->known)
    {
        const duration memory = one.limit.per_second == 0
                                    ? this->settings.end_memory
                                    : this->settings.lifetime;
        const instant due = one.tellings_left > 0
                                ? one.told + this->settings.telling_pause
                                : one.limit.seen + memory;
        next = std::min(next.value_or(due), due);
    }
    return next;
}

double server_limits::limit_of(std::string_view server) const
{
    const auto found = this->known.find(server);
    return found == this->known.end() ? 0 : found->second.limit.per_second;
}

std::vector<server_limit> server_limits::in_force() const
{
    std::vector<server_limit> all;
    for (const auto& [server, one] : this->known)
    {
        if (one.limit.per_second > 0)
            all.push_back(one.limit);
    }
    return all;
}

std::vector<server_limit> server_limits::take_changes()
{
    return std::exchange(this->changes, {});
}

std::optional<server_limit_word> server_limits::take_word(instant now)
{
    if (this->to_tell.empty())
        return std::nullopt;
    server_limit_word word;
    word.router = this->settings.router;
    for (const std::string& server : std::exchange(this->to_tell, {}))
    {
        const auto found = this->known.find(server);
        if (found == this->known.end())
            continue;
        const server_limit& limit = found->second.limit;
        word.limits.push_back(
            {server, limit.per_second, duration(now - limit.seen).count()});
    }
    return word;
}

} // namespace roseworks

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
constexpr double min_per_second = 0.02;

/// Above the rate of any real server.
constexpr double max_per_second = 1e6;

/// Cap for ages in received messages (one hour).
constexpr std::int64_t max_age_us = 3'600'000'000;

double clamp_rate(double per_second)
{
    return std::clamp(per_second, min_per_second, max_per_second);
}

} // namespace

server_limits::server_limits(options config)
    : settings(std::move(config))
{
}

server_limits::entry* server_limits::find_or_add(std::string_view server)
{
    const auto found = this->entries.find(server);
    if (found != this->entries.end())
        return &found->second;
    if (this->entries.size() >= this->settings.max_servers)
        return nullptr;
    entry& added = this->entries[std::string(server)];
    added.limit.server = server;
    return &added;
}

bool server_limits::set_limit(entry& record, double per_second, instant seen)
{
    const bool changed = record.limit.per_second != per_second;
    record.limit.per_second = per_second;
    record.limit.seen = seen;
    if (changed)
        this->changes.push_back(record.limit);
    return changed;
}

void server_limits::announce(entry& record, instant now)
{
    record.announced_at = now;
    record.announcements_left = std::max(record.announcements_left - 1, 0);
    this->pending_announcements.push_back(record.limit.server);
}

void server_limits::handle_answer(
    std::string_view server,
    std::optional<double> announced,
    instant sent,
    instant now)
{
    if (!announced && this->limit_of(server) == 0)
        return;
    entry* const record = this->find_or_add(server);
    const bool is_overtaken =
        !announced && record != nullptr &&
        sent < record->limit.seen + this->settings.end_delay;
    if (record == nullptr || is_overtaken)
        return;
    const bool was_limited = record->limit.per_second > 0;
    const bool changed =
        announced ? this->set_limit(*record, clamp_rate(*announced), now)
                  : this->set_limit(*record, 0, sent);
    if (changed)
        record->announcements_left = this->settings.announcement_count;
    // Limits the message rate when a server changes its limit in each answer.
    const duration interval = changed ? this->settings.announcement_interval
                                      : this->settings.refresh_interval;
    if (was_limited != announced.has_value() ||
        now - record->announced_at >= interval)
        this->announce(*record, now);
}

void server_limits::handle_update(
    const server_limit_update& update, instant now)
{
    for (const server_limit_entry& reported : update.limits)
    {
        const auto age =
            std::clamp<std::int64_t>(reported.age_us, 0, max_age_us);
        const instant seen = now - duration(age);
        const bool is_valid =
            std::isfinite(reported.per_second) && reported.per_second >= 0;
        const bool is_known = this->entries.contains(reported.server);
        if (!is_valid || (reported.per_second == 0 && !is_known))
            continue;
        entry* const record = this->find_or_add(reported.server);
        if (record == nullptr || seen < record->limit.seen)
            continue;
        const double per_second =
            reported.per_second == 0 ? 0 : clamp_rate(reported.per_second);
        if (this->set_limit(*record, per_second, seen))
            // The router that observed the change repeats the message.
            record->announcements_left = 0;
        record->announced_at = now;
    }
}

void server_limits::remove(std::string_view server)
{
    const auto found = this->entries.find(server);
    if (found == this->entries.end())
        return;
    if (found->second.limit.per_second != 0)
        this->changes.push_back({std::string(server), 0, {}});
    this->entries.erase(found);
}

void server_limits::tick(instant now)
{
    std::vector<std::string> expired;
    for (auto& [server, record] : this->entries)
    {
        const bool is_due =
            record.announcements_left > 0 &&
            now - record.announced_at >= this->settings.announcement_interval;
        if (is_due)
            this->announce(record, now);
        const duration retention = record.limit.per_second == 0
                                       ? this->settings.ended_limit_retention
                                       : this->settings.limit_retention;
        if (now - record.limit.seen >= retention)
            expired.push_back(server);
    }
    for (const std::string& server : expired)
        this->remove(server);
}

std::optional<instant> server_limits::next_tick() const
{
    std::optional<instant> next;
    for (const auto& [server, record] : this->entries)
    {
        const duration retention = record.limit.per_second == 0
                                       ? this->settings.ended_limit_retention
                                       : this->settings.limit_retention;
        const instant due =
            record.announcements_left > 0
                ? record.announced_at + this->settings.announcement_interval
                : record.limit.seen + retention;
        next = std::min(next.value_or(due), due);
    }
    return next;
}

double server_limits::limit_of(std::string_view server) const
{
    const auto found = this->entries.find(server);
    return found == this->entries.end() ? 0 : found->second.limit.per_second;
}

std::vector<server_limit> server_limits::in_force() const
{
    std::vector<server_limit> all;
    for (const auto& [server, record] : this->entries)
    {
        if (record.limit.per_second > 0)
            all.push_back(record.limit);
    }
    return all;
}

std::vector<server_limit> server_limits::take_changes()
{
    return std::exchange(this->changes, {});
}

std::optional<server_limit_update> server_limits::take_update(instant now)
{
    if (this->pending_announcements.empty())
        return std::nullopt;
    server_limit_update update;
    update.router = this->settings.router;
    for (const std::string& server :
         std::exchange(this->pending_announcements, {}))
    {
        const auto found = this->entries.find(server);
        if (found == this->entries.end())
            continue;
        const server_limit& limit = found->second.limit;
        update.limits.push_back(
            {server, limit.per_second, duration(now - limit.seen).count()});
    }
    return update;
}

} // namespace roseworks

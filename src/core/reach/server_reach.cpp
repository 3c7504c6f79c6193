#include "core/reach/server_reach.hpp"

#include <algorithm>

namespace roseworks
{

server_reach::server_reach(options chosen)
    : settings(chosen)
    , random(chosen.seed)
{
}

bool server_reach::tries_direct(std::string_view server, instant now) const
{
    const way* known = this->find(server);
    if (known != nullptr && known->failed_at)
        return now >= known->retry_at;
    const bool is_proven =
        known != nullptr && known->opened_at &&
        now - *known->opened_at <= this->settings.direct_lifetime;
    return !this->cut_off || is_proven;
}

bool server_reach::tries_as_last_resort(
    std::string_view server, instant now) const
{
    const auto is_recent = [&](const std::optional<instant>& attempt)
    {
        return attempt && now - *attempt <= this->settings.unanswered_lifetime;
    };
    const way* known = this->find(server);
    const bool was_unanswered = known != nullptr &&
                                known->last_failure == failure::no_answer &&
                                is_recent(known->failed_at);
    return !was_unanswered &&
           !(this->cut_off && is_recent(this->last_unanswered));
}

bool server_reach::asks_others(std::string_view server, instant now) const
{
    const way* known = this->find(server);
    return known == nullptr || !known->unreached_at ||
           now - *known->unreached_at > this->settings.unreached_lifetime;
}

bool server_reach::may_reuse_direct(std::string_view server) const
{
    const way* known = this->find(server);
    return known == nullptr || !known->failed_at ||
           known->last_failure == failure::refused;
}

void server_reach::direct_opened(std::string_view server, instant now)
{
    way& known = this->find_or_add(server);
    known = way();
    known.opened_at = now;
    this->update(now);
}

void server_reach::direct_failed(
    std::string_view server, failure how, instant now)
{
    way& known = this->find_or_add(server);
    known.opened_at.reset();
    known.reached_by_other = known.failed_at && known.reached_by_other;
    known.failed_at = now;
    known.last_failure = how;
    if (how == failure::no_answer)
        this->last_unanswered = now;
    known.retry_interval = std::clamp(
        known.retry_interval * 2,
        this->settings.min_retry_interval,
        this->settings.max_retry_interval);
    known.retry_at = now + this->jittered(known.retry_interval);
    this->update(now);
}

void server_reach::opened_by_other(std::string_view server, instant now)
{
    way& known = this->find_or_add(server);
    known.unreached_at.reset();
    known.reached_by_other = known.failed_at.has_value();
    this->update(now);
}

void server_reach::unreached_by_all(std::string_view server, instant now)
{
    way& known = this->find_or_add(server);
    known.reached_by_other = false;
    known.unreached_at = now;
    this->update(now);
}

server_reach::way& server_reach::find_or_add(std::string_view server)
{
    return this->ways.try_emplace(std::string(server)).first->second;
}

const server_reach::way* server_reach::find(std::string_view server) const
{
    const auto found = this->ways.find(server);
    return found == this->ways.end() ? nullptr : &found->second;
}

void server_reach::update(instant now)
{
    const auto is_expired = [&](const auto& entry)
    {
        const way& one = entry.second;
        const bool is_open =
            one.opened_at &&
            now - *one.opened_at <= this->settings.direct_lifetime;
        const bool is_failed =
            one.failed_at &&
            now - *one.failed_at <= this->settings.failure_lifetime;
        return !is_open && !is_failed && !one.unreached_at;
    };
    std::erase_if(this->ways, is_expired);
    this->lost = 0;
    this->reached = 0;
    for (auto& [address, one] : this->ways)
    {
        this->reached += one.opened_at ? 1 : 0;
        this->lost += one.reached_by_other ? 1 : 0;
        if (one.unreached_at &&
            now - *one.unreached_at > this->settings.unreached_lifetime)
            one.unreached_at.reset();
    }
    this->cut_off = this->lost >= this->settings.min_lost_servers &&
                    this->lost > this->reached;
}

duration server_reach::jittered(duration length)
{
    const auto half = length / 2;
    const auto steps = static_cast<duration::rep>(this->random() >> 48);
    return half + half * steps / (1 << 16);
}

} // namespace roseworks

#include "core/request/crash_ledger.hpp"

namespace roseworks
{

crash_ledger::crash_ledger(options chosen)
    : settings(chosen)
{
}

void crash_ledger::broke(
    fingerprint request, std::string_view server, instant now)
{
    this->unconfirmed.push_back({request, std::string(server), now});
    while (this->unconfirmed.size() > this->settings.most_requests)
        this->unconfirmed.pop_front();
}

bool crash_ledger::server_lost(std::string_view server, instant now)
{
    bool news = false;
    for (const broken& one : this->unconfirmed)
    {
        const bool in_time = now - one.when <= this->settings.confirmation;
        if (one.server != server || !in_time)
            continue;
        record& of = this->records[one.request];
        of.crashed.insert(one.server);
        of.last = now;
        const bool enough = of.crashed.size() >= this->settings.most_crashes;
        news = (enough && this->blocked_now.insert(one.request).second) || news;
    }
    std::erase_if(
        this->unconfirmed,
        [server](const broken& one)
        {
            return one.server == server;
        });
    return news;
}

bool crash_ledger::tick(instant now)
{
    while (!this->unconfirmed.empty() &&
           now - this->unconfirmed.front().when > this->settings.confirmation)
        this->unconfirmed.pop_front();
    bool freed = false;
    std::erase_if(
        this->records,
        [&](const auto& entry)
        {
            if (now - entry.second.last <= this->settings.remembered)
                return false;
            freed = this->blocked_now.erase(entry.first) != 0 || freed;
            return true;
        });
    return freed;
}

} // namespace roseworks

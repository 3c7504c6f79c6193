#include "core/request/crash_detector.hpp"

namespace roseworks
{

crash_detector::crash_detector(options chosen)
    : settings(chosen)
{
}

void crash_detector::record_break(
    fingerprint request, std::string_view server, instant now)
{
    this->unconfirmed.push_back({request, std::string(server), now});
    while (this->unconfirmed.size() > this->settings.max_unconfirmed)
        this->unconfirmed.pop_front();
}

bool crash_detector::server_lost(std::string_view server, instant now)
{
    bool newly_blocked = false;
    for (const broken_connection& connection : this->unconfirmed)
    {
        const bool in_time =
            now - connection.broken_at <= this->settings.confirmation_window;
        if (connection.server != server || !in_time)
            continue;
        crash_history& history = this->histories[connection.request];
        history.crashed_servers.insert(connection.server);
        history.last_crash = now;
        const bool enough =
            history.crashed_servers.size() >= this->settings.block_threshold;
        newly_blocked =
            (enough &&
             this->blocked_requests.insert(connection.request).second) ||
            newly_blocked;
    }
    std::erase_if(
        this->unconfirmed,
        [server](const broken_connection& connection)
        {
            return connection.server == server;
        });
    return newly_blocked;
}

bool crash_detector::tick(instant now)
{
    while (!this->unconfirmed.empty() &&
           now - this->unconfirmed.front().broken_at >
               this->settings.confirmation_window)
        this->unconfirmed.pop_front();
    bool unblocked = false;
    std::erase_if(
        this->histories,
        [&](const auto& entry)
        {
            if (now - entry.second.last_crash <= this->settings.crash_lifetime)
                return false;
            unblocked =
                this->blocked_requests.erase(entry.first) != 0 || unblocked;
            return true;
        });
    return unblocked;
}

} // namespace roseworks

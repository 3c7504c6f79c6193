#include "core/origins/software_history.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>

namespace roseworks
{

namespace
{

/// Sightings in one message, so that it fits into a datagram.
constexpr std::size_t max_sightings = 40;

/// A history of at least this length is sent as this length.
constexpr duration max_observed = std::chrono::hours(1);

} // namespace

service_key key_of_service(std::string_view name)
{
    const std::uint64_t hash = XXH64(name.data(), name.size(), 0);
    return service_key(hash == 0 ? 1 : hash);
}

void software_history::listed(
    std::span<const listed_software> servers, instant now)
{
    for (auto& [service, versions] : this->services)
    {
        for (auto& [software, seen] : versions)
        {
            // It was listed until now.
            if (seen.is_listed)
                seen.last_seen = now;
            seen.is_listed = false;
        }
    }
    for (const listed_software& server : servers)
    {
        sighting& seen = this->services[server.service][server.software];
        seen.last_seen = now;
        seen.is_listed = true;
    }
}

void software_history::add_sightings(const origin_message& message, instant now)
{
    for (const software_sighting& one : message.sightings)
    {
        const instant last_seen =
            now - duration(std::max<std::int64_t>(one.age_us, 0));
        sighting& seen = this->services[service_key(one.service)]
                                       [software_version(one.software)];
        seen.last_seen = std::max(seen.last_seen, last_seen);
    }
}

void software_history::extend(const origin_message& message, instant now)
{
    // A message that may leave sightings out proves nothing of the past.
    if (message.sightings.size() < max_sightings)
        this->complete_since =
            std::min(this->complete_since, now - duration(message.observed_us));
}

void software_history::add_seen(
    std::span<const listed_software> servers, instant since, instant now)
{
    for (const listed_software& server : servers)
        this->services[server.service][server.software].last_seen = now;
    this->complete_since = std::min(this->complete_since, since);
}

std::optional<software_version> software_history::only_software(
    service_key service, duration period, instant now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || this->complete_since > now - period)
        return std::nullopt;
    std::optional<software_version> only;
    for (const auto& [software, seen] : found->second)
    {
        if (!seen.is_listed && seen.last_seen < now - period)
            continue;
        if (only || !software)
            return std::nullopt;
        only = software;
    }
    return only;
}

bool software_history::had_several(
    service_key service, duration period, instant now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return false;
    const auto is_recent = [&](const auto& one)
    {
        return one.second.is_listed || one.second.last_seen >= now - period;
    };
    return std::ranges::count_if(found->second, is_recent) > 1;
}

void software_history::write_to(origin_message& message, instant now) const
{
    message.observed_us =
        std::min(
            now - std::max(this->complete_since, now - max_observed),
            max_observed)
            .count();
    for (const auto& [service, versions] : this->services)
    {
        for (const auto& [software, seen] : versions)
        {
            if (message.sightings.size() == max_sightings)
                return;
            const instant last = seen.is_listed ? now : seen.last_seen;
            message.sightings.push_back(
                {service.value, software.value, duration(now - last).count()});
        }
    }
}

void software_history::drop_before(instant oldest)
{
    for (auto& [service, versions] : this->services)
        std::erase_if(
            versions,
            [oldest](const auto& one)
            {
                return !one.second.is_listed && one.second.last_seen < oldest;
            });
    std::erase_if(
        this->services,
        [](const auto& one)
        {
            return one.second.empty();
        });
}

} // namespace roseworks

#pragma once

#include "core/origins/origin_message.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace roseworks
{

/// A service, as a hash of its name.
using service_key = strong_id<struct service_key_tag, std::uint64_t>;

service_key key_of_service(std::string_view name);

/// A backend server's service and software, as the registry lists it.
struct listed_software
{
    service_key service;
    software_version software; ///< 0: unknown
};

/** Which software the servers of each service had lately, those that have left
    included.

    If a service had one version only for longer than any stream lives, that
    version began each of its streams. */
class software_history
{
public:
    /// @param since From when on what is listed is complete.
    explicit software_history(instant since)
        : complete_since(since)
    {
    }

    /// The registry lists these servers now, and no others.
    void listed(std::span<const listed_software> servers, instant now);

    /// Adds what another router has seen.
    void add_sightings(const origin_message& message, instant now);

    /// Takes the other router's history for as complete as that router does.
    void extend(const origin_message& message, instant now);

    /** @param period How long streams can live.
        @return       The only software that the service had for this period;
                      empty if there were others, or if the period isn't known.
    */
    std::optional<software_version>
    only_software(service_key service, duration period, instant now) const;

    /// @return Whether the service had several versions within a period.
    bool had_several(service_key service, duration period, instant now) const;

    /// Adds software that servers had during some time up to now.
    /// @param since From when on nothing is missing.
    void add_seen(
        std::span<const listed_software> servers, instant since, instant now);

    /// @return From when on the history is complete.
    instant since() const
    {
        return this->complete_since;
    }

    /// Adds the history to a message for another router.
    void write_to(origin_message& message, instant now) const;

    /// Forgets what was seen last before this time.
    void drop_before(instant oldest);

private:
    struct sighting
    {
        instant last_seen;
        bool is_listed = false; ///< in the latest listing
    };

    using by_software = std::map<software_version, sighting>;

    std::map<service_key, by_software> services;
    instant complete_since;
};

} // namespace roseworks

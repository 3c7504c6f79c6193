#pragma once

#include "core/dissemination/configuration_history.hpp"
#include "core/dissemination/directory_copy.hpp"
#include "core/dissemination/registry_change_tracker.hpp"

#include <roseworks/instant.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace roseworks
{

/// Makes the copies of topics that other routers request from this one.
class copy_provider
{
public:
    /// A large copy is reused for all requests within this time: on a VM with
    /// little CPU, making a copy takes longer than sending it.
    static constexpr duration full_copy_lifetime =
        std::chrono::milliseconds(250);

    /// @param changes  The registry as known by this router.
    /// @param versions The configuration. Both must outlive this object.
    copy_provider(
        const registry_change_tracker& changes,
        const configuration_history& versions);

    /// @param state How far this router knows the requested topic.
    /// @return      Null when this router knows nothing of the topic.
    std::shared_ptr<const directory_copy> make_copy(
        const copy_request& request, const topic_state& state, instant now);

private:
    /// A copy of the configuration for all that have the same version.
    struct configuration_copy
    {
        std::uint64_t known_digest = 0;  ///< of the requesters' version
        std::uint64_t newest_digest = 0; ///< of the version in the copy
        instant made_at;
        std::shared_ptr<const directory_copy> copy;
    };

    std::shared_ptr<const directory_copy>
    full_copy(const topic_state& state, instant now);
    std::shared_ptr<const directory_copy> copy_configuration(
        const copy_request& request, const topic_state& state, instant now);

    const registry_change_tracker& registry;
    const configuration_history& configurations;
    std::vector<configuration_copy> configuration_copies;
    std::shared_ptr<const directory_copy> cached_copy;
    instant cached_at;
};

} // namespace roseworks

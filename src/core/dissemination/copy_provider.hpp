#pragma once

#include "core/dissemination/directory_copy.hpp"
#include "core/dissemination/registry_change_tracker.hpp"

#include <roseworks/instant.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace roseworks
{

/// Makes the copies of topics that other routers request from this one.
class copy_provider
{
public:
    /// A copy of the whole registry is reused for all requests within this
    /// time: on a VM with little CPU, making a copy takes longer than sending
    /// it.
    static constexpr duration full_copy_lifetime =
        std::chrono::milliseconds(250);

    /// @param changes The registry as known by this router; must outlive this
    ///                object.
    explicit copy_provider(const registry_change_tracker& changes);

    /// Sets the configuration to copy.
    /// @param text   A valid configuration, as stored.
    /// @param offset Its offset.
    void set_configuration(std::string_view text, std::uint64_t offset);

    /// @param state How far this router knows the requested topic.
    /// @return      Null when this router knows nothing of the topic.
    std::shared_ptr<const directory_copy> make_copy(
        const copy_request& request, const topic_state& state, instant now);

private:
    std::shared_ptr<const directory_copy>
    full_copy(const topic_state& state, instant now);

    const registry_change_tracker& registry;
    std::string configuration;
    std::uint64_t configuration_offset = 0;
    std::shared_ptr<const directory_copy> cached_copy;
    instant cached_at;
};

} // namespace roseworks

#pragma once

#include "core/dissemination/directory_copy.hpp"
#include "core/dissemination/registry_changes.hpp"

#include <roseworks/instant.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace roseworks
{

/// What this router gives to others that ask it for a topic of the store.
class copy_giver
{
public:
    /// A whole registry, written once, is given to all that ask within so long:
    /// making it takes a weak VM longer than sending it.
    static constexpr duration whole_kept = std::chrono::milliseconds(250);

    /// @param changes The registry as it is known here; borrowed.
    explicit copy_giver(const registry_changes& changes);

    /// A configuration that could be read, as the store keeps it.
    void configuration_read(std::string_view text, std::uint64_t offset);

    /// @param state How far the topic that is asked for is known here, and how
    ///              long ago nothing before that was missing.
    /// @return      Null when nothing of the topic is known.
    std::shared_ptr<const directory_copy>
    give(const copy_ask& ask, const topic_state& state, instant now);

private:
    std::shared_ptr<const directory_copy>
    whole(const topic_state& state, instant now);

    const registry_changes& registry;
    std::string configuration;
    std::uint64_t configuration_offset = 0;
    std::shared_ptr<const directory_copy> last_whole;
    instant last_whole_made;
};

} // namespace roseworks

#pragma once

#include "core/dissemination/directory_word.hpp"
#include "core/dissemination/registry_change.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace roseworks
{

/// A topic of the store that routers copy from each other.
enum class directory_topic : std::uint8_t
{
    deployment = 1, ///< the operators' configuration
    registry = 2    ///< of backend servers
};

/// One router asks another for what that one knows of a topic.
struct copy_ask
{
    directory_topic topic = directory_topic::deployment;
    bool knows_any = false; ///< it has read the topic before
    std::uint64_t next = 0; ///< it knows all before this offset

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(
            static_cast<std::uint8_t>(this->topic),
            this->knows_any,
            this->next);
    }

    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t number = 0;
        archive(number, this->knows_any, this->next);
        this->topic = static_cast<directory_topic>(number);
    }
};

/** What a router knows of a topic, whole, for one that can't read the store or
    needn't.

    As true as the router that gives it: a configuration is decoded and checked
    as if the store had given it, and counts only if its version is newer.
*/
struct directory_copy
{
    topic_state state;
    std::string configuration; ///< as the store keeps it; empty: no newer one
    std::uint64_t offset = 0;  ///< of the configuration
    /// Whole entries and removals; entries without the copies of weights.
    std::vector<registry_change> servers;
    /// The servers are all there are, not only what changed since the ask's
    /// offset.
    bool is_whole = true;
    /// Of a whole registry: its removals from this offset on are among them.
    std::uint64_t removals_from = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->state,
            this->configuration,
            this->offset,
            this->servers,
            this->is_whole,
            this->removals_from);
    }
};

/// What a copy is worth to its asker.
enum class copy_use : std::uint8_t
{
    none,     ///< older than what is known, or it says nothing
    confirms, ///< as far as what is known, and as of when
    changes,  ///< what is new in the registry since what is known
    whole     ///< the configuration, or all of the registry
};

/// @param known How far the asker knows the topic by now; its age is below zero
///              where it knows nothing.
copy_use judge(
    const directory_copy& copy,
    directory_topic topic,
    const topic_state& known);

/// @return The registry of a whole copy.
std::vector<server_entry> entries_of(const directory_copy& copy);

} // namespace roseworks

#pragma once

#include "core/dissemination/configuration_history.hpp"
#include "core/dissemination/directory_update.hpp"
#include "core/dissemination/registry_change.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace roseworks
{

/// A topic of the store that routers can copy from each other.
enum class directory_topic : std::uint8_t
{
    deployment = 1, ///< the operators' configuration
    registry = 2    ///< the backend servers
};

/// Requests a copy of a topic from another router.
struct copy_request
{
    directory_topic topic = directory_topic::deployment;
    bool knows_any = false; ///< the requester has read the topic before
    std::uint64_t next = 0; ///< the requester knows all before this offset
    /// Digest of the configuration that the requester has; 0: it needs the
    /// whole configuration.
    std::uint64_t digest = 0;
    /// How long the request may be held until there are newer records.
    std::int64_t hold_us = 0;
    bool accepts_compressed =
        false; ///< the requester decodes compressed copies

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(
            static_cast<std::uint8_t>(this->topic),
            this->knows_any,
            this->next,
            this->digest,
            this->hold_us,
            this->accepts_compressed);
    }

    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t number = 0;
        archive(number, this->knows_any, this->next);
        this->topic = static_cast<directory_topic>(number);
        // Routers of earlier versions leave the other fields out.
        if constexpr (requires { archive.remaining(); })
        {
            if (archive.remaining() == 0)
                return;
        }
        archive(this->digest, this->hold_us, this->accepts_compressed);
    }
};

/** A copy of a topic, for a router that cannot or need not read the store.

    A copy is only as trustworthy as the router that sent it. A configuration is
    decoded and checked as one read from the store, and applied only if its
    version is newer.
*/
struct directory_copy
{
    topic_state state;
    std::string configuration; ///< as stored; empty: no newer one, or `changes`
    std::uint64_t offset = 0;  ///< of the configuration
    /// Full entries and removals; entries without the copies of weights.
    std::vector<registry_change> servers;
    /// Whether `servers` is the whole registry, rather than the changes since
    /// the offset in the request.
    bool is_whole = true;
    /// If `is_whole`, `servers` includes all removals from this offset on.
    std::uint64_t removals_from = 0;
    /// The configuration as changes of the one that the requester has.
    std::vector<configuration_change> changes;

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
        // Routers of earlier versions leave the changes out.
        if constexpr (requires { archive.remaining(); })
        {
            if (archive.remaining() == 0)
                return;
        }
        archive(this->changes);
        if constexpr (requires { archive.remaining(); })
        {
            if (archive.remaining() == 0)
                return;
        }
        serialize_versions(archive, this->servers);
    }
};

/// What a received copy contributes to the state of the requester.
enum class copy_verdict : std::uint8_t
{
    none,     ///< nothing: it is older than the state, or empty
    confirms, ///< no change, but it confirms the state as of a later time
    changes,  ///< the changes of the topic since the state
    whole     ///< the configuration, or the whole registry
};

/// Decides how a received copy is used.
/// @param known How far the requester knows the topic by now; its age is
///              negative if it knows nothing.
copy_verdict evaluate_copy(
    const directory_copy& copy,
    directory_topic topic,
    const topic_state& known);

/// @return The entries of a copy of the whole registry, without removals.
std::vector<server_entry> entries_of(const directory_copy& copy);

} // namespace roseworks

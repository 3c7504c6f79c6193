#pragma once

#include "core/dissemination/configuration_history.hpp"
#include "core/dissemination/registry_change.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace roseworks
{

/// How far a router knows one topic of the store.
struct topic_state
{
    std::uint64_t next = 0; ///< the offset after the last known record
    /// Time since the data was known to be complete up to `next`; negative:
    /// nothing is known.
    std::int64_t age_us = -1;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->next, this->age_us);
    }
};

/// Announces to all other routers what one router has read from the store. It
/// is sent by the placement owner after each of its reads, and by a router that
/// read the store because no update arrived. Updates may be lost or late: a
/// router that misses one reads the store itself.
struct directory_update
{
    topic_state deployment; ///< of the configuration
    topic_state registry;
    topic_state routers;
    /// `changes` holds all changes of the registry from this offset up to
    /// `registry.next`.
    std::uint64_t registry_from = 0;
    std::vector<registry_change> changes; ///< in order of their offsets
    /// How long ago the store became reachable again; negative: there was no
    /// recent outage.
    std::int64_t outage_ended_us_ago = -1;
    /// For how long the store has answered the sender, or routers that update
    /// it, without an outage in which entries expire.
    std::int64_t answered_for_us = 0;
    /// Address of the router that sent the update. Others request the new
    /// configuration from it.
    std::string sender;
    /// The newest change of the configuration; empty if it is too large for a
    /// datagram.
    std::vector<configuration_change> configuration;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->deployment,
            this->registry,
            this->routers,
            this->registry_from,
            this->changes,
            this->outage_ended_us_ago);
        // Routers of earlier versions leave this field out.
        if constexpr (requires { archive.remaining(); })
        {
            if (archive.remaining() == 0)
                return;
        }
        archive(this->answered_for_us);
        if constexpr (requires { archive.remaining(); })
        {
            if (archive.remaining() == 0)
                return;
        }
        archive(this->sender, this->configuration);
        if constexpr (requires { archive.remaining(); })
        {
            if (archive.remaining() == 0)
                return;
        }
        serialize_versions(archive, this->changes);
    }
};

/// @return The approximate encoded size of all changes.
std::size_t changes_bytes(const directory_update& update);

/** Splits an update that is too large for one datagram. Each part covers a
    range of offsets of the registry, so that a receiver detects a lost part as
    a gap.

    @param max_bytes Maximum size of the changes of a part. A change that is
                     larger is sent in a part of its own.
*/
std::vector<directory_update>
split(const directory_update& update, std::size_t max_bytes);

} // namespace roseworks

#pragma once

#include "core/dissemination/registry_change.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace roseworks
{

/// How far a router has read one topic of the store.
struct topic_state
{
    std::uint64_t next = 0; ///< the offset after the last one read
    /// How long ago nothing before it was missing; below zero: not known.
    std::int64_t age_us = -1;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->next, this->age_us);
    }
};

/// What one router has read of the store, told to all others: the placement
/// owner after each of its reads, and whoever had to read while nobody told.
/// May be lost or late: who misses one reads the store itself.
struct directory_word
{
    topic_state deployment; ///< of the configuration
    topic_state registry;
    topic_state routers;
    /// The changes account for all of the registry from here to its state.
    std::uint64_t registry_from = 0;
    std::vector<registry_change> changes; ///< in order of their offsets
    /// How long the store has answered again after it was away; below zero: it
    /// wasn't away lately.
    std::int64_t back_for_us = -1;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->deployment,
            this->registry,
            this->routers,
            this->registry_from,
            this->changes,
            this->back_for_us);
    }
};

/// @return The size of all changes of a word, about.
std::size_t changes_bytes(const directory_word& word);

/** Cuts a word that is too long for a packet into several. Each accounts for a
    part of the registry, so that one that is lost leaves a gap which its
    hearer sees.

    @param room Bytes of changes in one word at most, where one has that much
                room.
*/
std::vector<directory_word> split(const directory_word& word, std::size_t room);

} // namespace roseworks

#pragma once

#include "core/serving/engine_residency.hpp"

#include <roseworks/instant.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace roseworks
{

/// Requests that wait at one router for a model or adapter. Times are left
/// over when the word is sent: routers' clocks can't be compared.
struct servable_need
{
    /// No request of it can meet its objective any more.
    static constexpr std::int64_t no_objective =
        std::numeric_limits<std::int64_t>::max();

    std::string servable; ///< its key
    std::uint32_t waiting = 0;
    std::int64_t objective_in_us = no_objective; ///< the earliest
    std::int64_t deadline_in_us = 0;             ///< the earliest

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->servable,
            this->waiting,
            this->objective_in_us,
            this->deadline_in_us);
    }
};

/// @return Time between two words of what a router runs: longer with many
///         routers, so that the owner hears some 200 a second at most.
constexpr duration use_word_pause(std::size_t routers)
{
    constexpr duration shortest = std::chrono::milliseconds(100);
    constexpr duration longest = std::chrono::milliseconds(500);
    constexpr duration each = std::chrono::milliseconds(5);
    return std::clamp(
        each * static_cast<duration::rep>(routers), shortest, longest);
}

/// What one router runs of a servable on one engine.
struct servable_use
{
    std::string servable; ///< its key
    std::string engine;   ///< id of the engine's entry
    std::uint32_t running = 0;
    std::uint32_t started = 0; ///< since the word before

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->servable, this->engine, this->running, this->started);
    }
};

/// A router's word to the placement owner. Lost or late words only cost time:
/// all of it is told again.
struct router_word
{
    std::string router;
    std::uint64_t run = 0;      ///< which run of the router
    std::uint64_t sequence = 0; ///< rises within a run
    std::vector<servable_need> needs;
    std::vector<servable_use> uses;
    /// Ids of engines that it couldn't connect to just now.
    std::vector<std::string> unreached;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->router,
            this->run,
            this->sequence,
            this->needs,
            this->uses,
            this->unreached);
    }
};

/// When a model that no engine has can be there.
struct servable_outlook
{
    std::string model;            ///< its key
    std::int64_t ready_in_us = 0; ///< left when the word is sent

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->model, this->ready_in_us);
    }
};

/// The placement owner's word to the routers.
struct owner_word
{
    std::string owner;
    std::uint64_t tenure = 0;
    std::uint32_t routers = 0; ///< that sent word lately, the owner included
    bool leaves = false;       ///< it owns placement no longer
    /// Its term has ended without a renewal: it orders nothing, and another
    /// router may own placement. What it says of engines still holds.
    bool lapsed = false;
    std::vector<engine_residency> engines;
    std::vector<servable_outlook> outlooks;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->owner,
            this->tenure,
            this->routers,
            this->leaves,
            this->lapsed,
            this->engines,
            this->outlooks);
    }
};

/// A connection broke under a request on one run of a server.
struct break_word
{
    std::string router;
    std::uint64_t request = 0; ///< fingerprint of the request's content
    std::string server;        ///< id of its entry

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->router, this->request, this->server);
    }
};

} // namespace roseworks

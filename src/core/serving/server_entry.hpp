#pragma once

#include <roseworks/instant.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace roseworks
{

/// A model in an engine's accelerator memory.
struct resident_model
{
    std::string name;
    std::vector<std::string> adapters;

    bool operator==(const resident_model&) const = default;
};

/// Models and weights that an engine reports. The report lags behind.
struct engine_holdings
{
    std::vector<resident_model> resident;
    std::vector<std::string> in_memory; ///< copies of weights
    std::vector<std::string> on_disk;   ///< copies of weights
    /// Whether the copies are known: messages from other routers omit them.
    bool copies_known = true;

    bool operator==(const engine_holdings&) const = default;
};

/** The registry entry of a backend server, written by the server itself.

    The source is untrusted: the decoder validates each field, and the data
    stays advisory. A server that restarts with the same id has another
    `born_ms`.
*/
struct server_entry
{
    std::string id;
    std::int64_t born_ms = 0; ///< start time, milliseconds since the Unix epoch
    std::string service;
    std::string version; ///< of its software; empty: it announces none
    std::string address; ///< ip:port
    std::string data_centre;
    std::uint32_t slots = 1;
    bool leaving = false;
    engine_holdings holdings;
    /// Revision of this entry in the registry. Of two servers at one address,
    /// the one with the higher revision is running.
    std::uint64_t registry_revision = 0;

    /// Compares everything but the registry revision.
    bool operator==(const server_entry& other) const
    {
        return this->id == other.id && this->born_ms == other.born_ms &&
               this->service == other.service &&
               this->version == other.version &&
               this->address == other.address &&
               this->data_centre == other.data_centre &&
               this->slots == other.slots && this->leaving == other.leaving &&
               this->holdings == other.holdings;
    }
};

} // namespace roseworks

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

/// What an engine says that it holds. Lags.
struct engine_holdings
{
    std::vector<resident_model> resident;
    std::vector<std::string> in_memory; ///< copies of weights
    std::vector<std::string> on_disk;   ///< copies of weights
    /// Whether the copies were said: another router's word leaves them out.
    bool copies_known = true;

    bool operator==(const engine_holdings&) const = default;
};

/** A backend server as it registered itself.

    A claim by a stranger: checked field by field when it is decoded, and a
    hint from then on. A server that starts anew under its old id says so by
    another `born_ms`.
*/
struct server_entry
{
    std::string id;
    std::int64_t born_ms = 0; ///< its start, milliseconds since 1970
    std::string service;
    std::string address; ///< ip:port
    std::string data_centre;
    std::uint32_t slots = 1;
    bool leaving = false;
    engine_holdings holdings;
    /// The registry's number of this word: of two servers at one address, the
    /// one with the later word runs there.
    std::uint64_t heard = 0;

    /// @return Whether the other word says the same.
    bool operator==(const server_entry& other) const
    {
        return this->id == other.id && this->born_ms == other.born_ms &&
               this->service == other.service &&
               this->address == other.address &&
               this->data_centre == other.data_centre &&
               this->slots == other.slots && this->leaving == other.leaving &&
               this->holdings == other.holdings;
    }
};

} // namespace roseworks

#pragma once

#include <roseworks/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace roseworks
{

/// What a rendezvous key names, so that equal numbers of two kinds hash apart.
enum class rendezvous_domain : std::uint8_t
{
    engine_lease = 1,
    proposer = 2,
    checkpoint = 3,
    obituary = 4 ///< who writes down that a router is gone
};

/// A thing of which one live session shall take care.
struct rendezvous_key
{
    rendezvous_domain domain = rendezvous_domain::engine_lease;
    std::uint64_t value = 0;
};

/** Weight of a session for a key (highest random weight hashing).

    A hint: who is chosen changes with the set of live sessions, and two routers
    may see different sets. Equal on every machine.

    @param key     What is to be taken care of.
    @param session A candidate.
    @return        Its weight; the highest of the live sessions is chosen.
*/
std::uint64_t rendezvous_weight(rendezvous_key key, session_id session);

/** Choose the session that takes care of a key.

    @param key   What is to be taken care of.
    @param alive Candidates, in any order.
    @return      The chosen one, 0 when there are none.
*/
session_id
rendezvous_choice(rendezvous_key key, std::span<const session_id> alive);

/** Place of a session in a key's order of candidates.

    @param key   What is to be taken care of.
    @param alive Candidates, in any order.
    @param self  The session asked about; needn't be among them.
    @return      0 when it is the chosen one, 1 when it is next, and so on.
*/
std::size_t rendezvous_rank(
    rendezvous_key key, std::span<const session_id> alive, session_id self);

/// @return The stable hash of a VM's or operator's name; never 0.
author_id author_of(std::string_view name);

} // namespace roseworks

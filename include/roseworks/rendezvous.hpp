#pragma once

#include <roseworks/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace roseworks
{

/// Kind of a rendezvous key, so that equal numbers of different kinds have
/// different hashes.
enum class rendezvous_domain : std::uint8_t
{
    engine_lease = 1,
    proposer = 2,
    checkpoint = 3,
    gone_report = 4 ///< who appends the `router_gone` record
};

/// A task for which one live session is responsible.
struct rendezvous_key
{
    rendezvous_domain domain = rendezvous_domain::engine_lease;
    std::uint64_t value = 0;
};

/** Weight of a session for a key (highest random weight hashing).

    A hint: the choice depends on the set of live sessions, and two routers may
    see different sets. The weight is the same on every machine.

    @param key     The task.
    @param session A candidate.
    @return        Its weight; the live session with the highest is chosen.
*/
std::uint64_t rendezvous_weight(rendezvous_key key, session_id session);

/** Choose the session responsible for a key.

    @param key   The task.
    @param alive Candidates, in any order.
    @return      The chosen session; 0 if there are no candidates.
*/
session_id
rendezvous_choice(rendezvous_key key, std::span<const session_id> alive);

/** Rank of a session in a key's order of candidates.

    @param key   The task.
    @param alive Candidates, in any order.
    @param self  The session to rank; may be missing from the candidates.
    @return      0 for the chosen session, 1 for the next one, and so on.
*/
std::size_t rendezvous_rank(
    rendezvous_key key, std::span<const session_id> alive, session_id self);

/// @return The stable hash of a VM's or operator's name; never 0.
author_id author_of(std::string_view name);

} // namespace roseworks

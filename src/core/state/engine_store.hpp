#pragma once

#include "core/state/named_store.hpp"

#include <roseworks/fleet_state.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <type_traits>
#include <vector>

namespace roseworks::detail
{

/// An engine and its lease.
struct engine_row : named_row<engine_spec>
{
    std::uint32_t reserved_mib = 0;
    session_id holder;
    fence held;
    /// Former holders that are neither proven gone nor have released, oldest
    /// first: an order of theirs may still arrive.
    std::vector<session_id> earlier;
};

/// Archives the lease; `reserved_mib` is counted anew from the replicas.
template <class Io, class Row>
requires std::derived_from<std::remove_const_t<Row>, engine_row>
void further_fields(Io& io, Row& row)
{
    io.number(row.holder);
    io.number(row.held);
    io.list(
        row.earlier,
        [&io](auto& session)
        {
            io.number(session);
        });
}

/// The engines and their leases, by interned id. Decided state.
class engine_store : public named_store<engine_id, engine_spec, engine_row>
{
public:
    /// Remove an engine without replicas. Its former holders are remembered.
    void remove(engine_id id);

    std::optional<engine_view> view(engine_id id) const;

    /// @return Whether a former holder's order may reach an engine that
    ///         doesn't check fencing numbers.
    bool order_may_be_in_flight(engine_id id) const;

    /// @return Whether the session is among the engine's former holders.
    bool former_holder(engine_id id, session_id session) const;
};

} // namespace roseworks::detail

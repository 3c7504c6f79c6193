#pragma once

#include "core/state/fleet_data.hpp"

#include <roseworks/fleet_state.hpp>

#include <vector>

namespace roseworks
{

/// What `fleet_state` holds: the decided data and the last record's effects.
class fleet_state::impl
{
public:
    fold_result apply(log_offset offset, const record& value);

    detail::fleet_data data;
    std::vector<state_change> changes;

private:
    void advance_time(detail::fold_context& context, stamp_ms stamp);
    void sweep();
    fold_result dispatch(detail::fold_context& context, const record& value);
};

} // namespace roseworks

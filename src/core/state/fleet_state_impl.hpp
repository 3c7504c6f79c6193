#pragma once

#include "core/state/fleet_data.hpp"

#include <roseworks/fleet_state.hpp>

#include <utility>
#include <vector>

namespace roseworks
{

/// What `fleet_state` holds: the decided data and the last record's effects.
class fleet_state::impl
{
public:
    explicit impl(options given)
        : settings(std::move(given))
    {
    }

    fold_result apply(log_offset offset, const record& value);

    options settings;
    detail::fleet_data data;
    std::vector<state_change> changes;

private:
    void advance_time(detail::fold_context& context, stamp_ms stamp);
    void sweep();
    fold_result dispatch(detail::fold_context& context, const record& value);
    fold_result
    fold_config(detail::fold_context& context, const config_change& value);
};

} // namespace roseworks

#pragma once

#include "core/state/fleet_data.hpp"

#include <roseworks/record.hpp>

namespace roseworks::detail
{

/** Check that an operator's record may count.

    From the first accepted key on, operators' records need the signature of an
    accepted one. Records of routers need none: their author runs.

    @param context Of the record; keeps the id of a signed one.
    @param value   The record.
    @return        `accepted` when it may count, else why not.
*/
fold_result check_signature(fold_context& context, const record& value);

/** Fold a change of the operators' keys; its signature has been checked.

    @param context Of the record.
    @param value   The payload.
    @param whole   The record with it.
    @return        What became of it.
*/
fold_result fold(
    fold_context& context,
    const operator_key_change& value,
    const record& whole);

} // namespace roseworks::detail

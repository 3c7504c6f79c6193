#include "core/state/archive_reader.hpp"
#include "core/state/config_fold.hpp"
#include "core/state/fleet_state_impl.hpp"
#include "core/state/grant_fold.hpp"
#include "core/state/operator_fold.hpp"
#include "core/state/replica_fold.hpp"
#include "core/state/request_fold.hpp"
#include "core/state/router_fold.hpp"

#include <algorithm>
#include <cassert>

namespace roseworks
{

namespace
{

/// The most that one record moves the log's time, once it has begun.
constexpr stamp_ms max_step_ms = 3'600'000;
/// Log time between two sweeps of what is kept for long.
constexpr stamp_ms sweep_ms = 3'600'000;

} // namespace

fold_result fleet_state::impl::apply(log_offset offset, const record& value)
{
    assert(offset > this->data.folded);
    this->changes.clear();
    this->data.folded = offset;
    // Checkpoints describe the state and must not move it.
    if (std::holds_alternative<checkpoint_chunk>(value.payload))
        return detail::accept();

    detail::fold_context context{this->data, offset, this->changes};
    this->advance_time(context, value.stamp);
    fold_result result;
    if (!this->data.duplicates.first(value.id, this->data.log_time))
        result.status = fold_status::duplicate;
    else
        result = this->dispatch(context, value);
    detail::grant_slots(context);
    return result;
}

void fleet_state::impl::advance_time(
    detail::fold_context& context, stamp_ms stamp)
{
    const stamp_ms before = this->data.log_time;
    const stamp_ms after = std::min(stamp, detail::latest_stamp_ms);
    if (after <= before)
        return;
    this->data.log_time =
        before == 0 ? after : std::min(after, before + max_step_ms);
    detail::expire(context);
    if (before / sweep_ms != this->data.log_time / sweep_ms)
        this->sweep();
}

void fleet_state::impl::sweep()
{
    const detail::session_store& sessions = this->data.sessions;
    this->data.duplicates.sweep(
        this->data.log_time,
        [&sessions](author_id author, std::uint64_t incarnation)
        {
            const session_id newest = sessions.newest(author);
            return sessions.live(newest) &&
                   sessions.find(newest)->incarnation == incarnation;
        });
    this->data.sessions.sweep(this->data.log_time);
}

fold_result
fleet_state::impl::dispatch(detail::fold_context& context, const record& value)
{
    if (fold_result result = detail::check_signature(context, value);
        result.status != fold_status::accepted)
        return result;
    return std::visit(
        [&]<class T>(const T& payload) -> fold_result
        {
            if constexpr (std::is_same_v<T, unknown_record>)
                return {fold_status::unknown, {}, {}, {}};
            else if constexpr (std::is_same_v<T, config_change>)
                return detail::config_fold(context, payload).run();
            else if constexpr (std::is_same_v<T, router_join>)
                return detail::fold(context, payload, value.id);
            else if constexpr (std::is_same_v<T, operator_key_change>)
                return detail::fold(context, payload, value);
            else if constexpr (std::is_same_v<T, checkpoint_chunk>)
                return detail::accept();
            else
                return detail::fold(context, payload);
        },
        value.payload);
}

std::string_view to_string(reject_reason reason)
{
    switch (reason)
    {
    case reject_reason::none:
        return "none";
    case reject_reason::revision_moved:
        return "revision_moved";
    case reject_reason::unknown_entity:
        return "unknown_entity";
    case reject_reason::invalid_spec:
        return "invalid_spec";
    case reject_reason::unsigned_change:
        return "unsigned_change";
    case reject_reason::replicas_at_maximum:
        return "replicas_at_maximum";
    case reject_reason::engine_memory:
        return "engine_memory";
    case reject_reason::engine_unusable:
        return "engine_unusable";
    case reject_reason::base_not_ready:
        return "base_not_ready";
    case reject_reason::illegal_transition:
        return "illegal_transition";
    case reject_reason::fence_not_current:
        return "fence_not_current";
    case reject_reason::session_ended:
        return "session_ended";
    case reject_reason::lease_held:
        return "lease_held";
    case reject_reason::lease_renewed:
        return "lease_renewed";
    case reject_reason::not_proven_gone:
        return "not_proven_gone";
    case reject_reason::claim_expired:
        return "claim_expired";
    case reject_reason::claim_held:
        return "claim_held";
    case reject_reason::not_holder:
        return "not_holder";
    case reject_reason::entity_in_use:
        return "entity_in_use";
    case reject_reason::store_slots:
        return "store_slots";
    case reject_reason::wrong_signature:
        return "wrong_signature";
    case reject_reason::replayed_change:
        return "replayed_change";
    }
    return "unknown";
}

} // namespace roseworks

#include "core/state/request_fold.hpp"

#include <string>

namespace roseworks::detail
{

namespace
{

fold_result session_over(session_id session)
{
    return reject(
        reject_reason::session_ended,
        "session " + std::to_string(session.value) + " has ended or never was");
}

/// A caller's clock may be ahead of the log's time by so much.
constexpr stamp_ms clock_margin_ms = 30'000;

/// @return Whether every earlier claim of a key made at `issued` is still
///         known. Such a claim was opened when the log's time was at least
///         `issued - clock_margin_ms`.
bool all_claims_known(const fleet_data& data, stamp_ms issued)
{
    const stamp_ms horizon = data.policy.spec.claim_horizon_ms;
    const bool is_ahead = issued > data.log_time + clock_margin_ms;
    const bool is_old = data.log_time - issued >= horizon - clock_margin_ms;
    return !is_ahead && !is_old;
}

} // namespace

fold_result fold(fold_context& context, const claim_open& value)
{
    fleet_data& data = context.data;
    if (!data.sessions.live(value.session))
        return session_over(value.session);
    if (const auto held = data.claims.find(value.key))
        return reject(
            reject_reason::claim_held,
            held->outcome != claim_outcome::open
                ? std::string("the key's call has ended")
                : "session " + std::to_string(held->session.value) +
                      " claimed the key",
            held->opened);
    if (value.issued != 0 && !all_claims_known(data, value.issued))
        return reject(
            reject_reason::claim_expired,
            "the key was made at " + std::to_string(value.issued) +
                " ms, outside of the horizon");
    data.claims.open(value, context.offset, data.log_time);
    state_change& change = context.note(state_change::kind::claim_opened);
    change.key = value.key;
    change.session = value.session;
    return accept();
}

fold_result fold(fold_context& context, const claim_close& value)
{
    fleet_data& data = context.data;
    const auto row = data.claims.find(value.key);
    if (!row)
        return reject(reject_reason::unknown_entity, "the key isn't claimed");
    if (row->outcome != claim_outcome::open)
        return reject(reject_reason::illegal_transition, "the claim is closed");
    if (row->session != value.session)
        return reject(
            reject_reason::not_holder,
            "session " + std::to_string(row->session.value) +
                " claimed the key",
            row->opened);
    if (!data.sessions.live(value.session))
        return session_over(value.session);
    if (value.outcome == claim_outcome::open)
        return reject(
            reject_reason::illegal_transition, "the claim would stay open");
    data.claims.close(
        value,
        context.offset,
        data.log_time,
        data.policy.spec.claim_horizon_ms);
    state_change& change = context.note(state_change::kind::claim_closed);
    change.key = value.key;
    change.session = value.session;
    return accept();
}

fold_result fold(fold_context& context, const request_suspect& value)
{
    fleet_data& data = context.data;
    if (!data.sessions.live(value.session))
        return session_over(value.session);
    if (value.engine && !data.engines.known(value.engine))
        return reject(
            reject_reason::unknown_entity,
            "engine " + std::to_string(value.engine.value) + " never was");
    const policy_spec& policy = data.policy.spec;
    const bool blocks = data.suspects.suspect(
        value.request,
        data.log_time + policy.crash_block_ms,
        policy.crash_threshold);
    state_change& change = context.note(state_change::kind::request_suspected);
    change.request = value.request;
    change.engine = value.engine;
    change.session = value.session;
    if (blocks)
        context.note(state_change::kind::request_blocked).request =
            value.request;
    return accept();
}

fold_result fold(fold_context& context, const request_unblock& value)
{
    if (!context.data.suspects.forget(value.request))
        return reject(
            reject_reason::unknown_entity, "the request isn't suspect");
    context.note(state_change::kind::request_unblocked).request = value.request;
    return accept();
}

void expire(fold_context& context)
{
    fleet_data& data = context.data;
    const stamp_ms horizon = data.policy.spec.claim_horizon_ms;
    data.claims.forget_until(
        data.log_time - horizon,
        [&data](session_id session)
        {
            return data.sessions.live(session);
        });
    data.suspects.sweep(
        data.log_time,
        [&context](fingerprint request)
        {
            context.note(state_change::kind::request_unblocked).request =
                request;
        });
}

} // namespace roseworks::detail

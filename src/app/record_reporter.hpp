#pragma once

#include "ports/event_sink.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/fleet_state.hpp>
#include <roseworks/ids.hpp>

namespace roseworks::app
{

/** Turns folded records into numbered events: the running half of the audit
    trail. Names are looked up in the state, which may be ahead of the record.
*/
class record_reporter
{
public:
    explicit record_reporter(event_sink& events);

    /// @param folded The record and what became of it.
    /// @param state  The folded state.
    /// @param self   This router's session; 0: none yet.
    void report(
        const folded_record& folded, const fleet_state& state, session_id self);

private:
    struct scene
    {
        const folded_record& folded;
        const fleet_state& state;
        session_id self;
    };

    void report_rejected(const scene& at);
    void report_unknown(const scene& at);
    void report_accepted(const scene& at, const config_change& change);
    void report_accepted(const scene& at, const router_leave& leave);
    void report_accepted(const scene& at, const router_gone& gone);
    void report_accepted(const scene& at, const lease_acquire& taken);
    void report_accepted(const scene& at, const lease_release& freed);
    void report_accepted(const scene& at, const replica_decide& decided);
    void report_accepted(const scene& at, const replica_report& moved);
    void report_accepted(const scene& at, const grant_open& opened);
    void report_accepted(const scene& at, const grant_settle& settled);
    void report_accepted(const scene& at, const request_suspect& suspect);
    void report_accepted(const scene& at, const request_unblock& unblocked);
    void report_accepted(const scene& at, const operator_key_change& change);
    void report_accepted(const scene& at, const checkpoint_chunk& chunk);
    template <class Payload>
    void report_accepted(const scene& at, const Payload& payload);
    void report_session_end(const scene& at, session_id ended, const char* why);

    event_sink& events;
};

} // namespace roseworks::app

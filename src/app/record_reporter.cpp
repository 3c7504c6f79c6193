#include "app/record_reporter.hpp"

#include "ports/hex_text.hpp"

#include <roseworks/names.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace roseworks::app
{

namespace
{

std::string text_of(const record_id& id)
{
    return to_hex(id.author.value) + '-' + std::to_string(id.incarnation) +
           '-' + std::to_string(id.sequence);
}

std::string engine_name(const fleet_state& state, engine_id id)
{
    const std::optional<engine_view> engine = state.engine(id);
    return engine ? std::string(engine->name) : std::to_string(id.value);
}

std::string servable_name(const fleet_state& state, servable_id id)
{
    const std::optional<servable_view> servable = state.servable(id);
    return servable ? std::string(servable->name) : std::to_string(id.value);
}

std::string session_name(const fleet_state& state, session_id id)
{
    const std::optional<session_view> session = state.session(id);
    return session ? std::string(session->name) : std::to_string(id.value);
}

bool is_refused_signature(reject_reason reason)
{
    return reason == reject_reason::unsigned_change ||
           reason == reject_reason::wrong_signature ||
           reason == reject_reason::replayed_change;
}

/// @return The event of a move to this state that has a reason; empty for a
///         silent one and for the end, which has a proof.
std::optional<event_id> event_of(replica_state to)
{
    switch (to)
    {
    case replica_state::decided:
        return event_id::replica_decided;
    case replica_state::loading:
        return event_id::replica_loading;
    case replica_state::ready:
        return event_id::replica_ready;
    case replica_state::unloading:
        return event_id::replica_unloading;
    case replica_state::failed:
        return event_id::replica_failed;
    case replica_state::gone:
    case replica_state::draining:
        break;
    }
    return {};
}

} // namespace

record_reporter::record_reporter(event_sink& sink)
    : events(sink)
{
}

void record_reporter::report(
    const folded_record& folded, const fleet_state& state, session_id self)
{
    const scene at{folded, state, self};
    switch (folded.result.status)
    {
    case fold_status::rejected:
        this->report_rejected(at);
        return;
    case fold_status::unknown:
        this->report_unknown(at);
        return;
    case fold_status::duplicate:
        return;
    case fold_status::accepted:
        break;
    }
    std::visit(
        [&](const auto& payload)
        {
            this->report_accepted(at, payload);
        },
        folded.value.payload);
}

void record_reporter::report_rejected(const scene& at)
{
    const fold_result& result = at.folded.result;
    if (is_refused_signature(result.reason))
    {
        this->events.report(
            event_id::operator_record_refused,
            {{"offset", at.folded.offset.value},
             {"kind", kind_name(at.folded.value.payload)},
             {"record_id", text_of(at.folded.value.id)},
             {"reason", to_string(result.reason)},
             {"detail", result.detail}});
        return;
    }
    this->events.report(
        event_id::record_rejected,
        {{"offset", at.folded.offset.value},
         {"kind", kind_name(at.folded.value.payload)},
         {"record_id", text_of(at.folded.value.id)},
         {"reason", to_string(result.reason)},
         {"winner", result.winner.value}});
}

void record_reporter::report_unknown(const scene& at)
{
    this->events.report(
        event_id::schema_unknown,
        {{"offset", at.folded.offset.value},
         {"kind", kind_name(at.folded.value.payload)},
         {"schema", at.folded.value.schema},
         {"entity", at.folded.result.detail}});
}

void record_reporter::report_accepted(
    const scene& at, const config_change& change)
{
    for (const entity_change& entity : change.changes)
    {
        this->events.report(
            event_id::configuration_accepted,
            {{"offset", at.folded.offset.value},
             {"kind", to_string(entity.kind)},
             {"entity", entity.name},
             {"revision", at.folded.offset.value},
             {"author", change.author}});
        if (entity.schema <= newest_entity_schema)
            continue;
        this->events.report(
            event_id::schema_unknown,
            {{"offset", at.folded.offset.value},
             {"kind", to_string(entity.kind)},
             {"schema", entity.schema},
             {"entity", entity.name}});
    }
}

void record_reporter::report_accepted(
    const scene& at, const router_leave& leave)
{
    this->report_session_end(at, leave.session, "left");
}

void record_reporter::report_accepted(const scene& at, const router_gone& gone)
{
    this->report_session_end(at, gone.session, "proven gone");
}

void record_reporter::report_session_end(
    const scene& at, session_id ended, const char* why)
{
    if (ended == at.self)
        return;
    this->events.report(
        event_id::peer_gone,
        {{"session", ended.value},
         {"peer", session_name(at.state, ended)},
         {"reason", std::string_view(why)}});
}

void record_reporter::report_accepted(
    const scene& at, const lease_acquire& taken)
{
    const std::string engine = engine_name(at.state, taken.engine);
    if (taken.session == at.self)
    {
        this->events.report(
            event_id::lease_acquired,
            {{"engine", engine}, {"offset", at.folded.offset.value}});
    }
    else if (taken.previous && taken.previous == at.self)
    {
        this->events.report(
            event_id::lease_lost,
            {{"engine", engine},
             {"holder", session_name(at.state, taken.session)},
             {"offset", at.folded.offset.value}});
    }
}

void record_reporter::report_accepted(
    const scene& at, const lease_release& freed)
{
    if (freed.session != at.self)
        return;
    this->events.report(
        event_id::lease_released,
        {{"engine", engine_name(at.state, freed.engine)},
         {"offset", at.folded.offset.value}});
}

void record_reporter::report_accepted(
    const scene& at, const replica_decide& decided)
{
    const std::optional<servable_view> servable =
        at.state.servable(decided.servable);
    this->events.report(
        event_id::replica_decided,
        {{"replica", at.folded.offset.value},
         {"servable", servable_name(at.state, decided.servable)},
         {"engine", engine_name(at.state, decided.engine)},
         {"memory_mib", servable ? servable->memory_mib : 0},
         {"offset", at.folded.offset.value},
         {"reason", to_string(decided.urgency)}});
}

void record_reporter::report_accepted(
    const scene& at, const replica_report& moved)
{
    // A replica that is gone is no longer in the state.
    const std::optional<replica_view> replica = at.state.replica(moved.replica);
    const std::string servable =
        replica ? servable_name(at.state, replica->servable) : std::string();
    const std::string engine =
        replica ? engine_name(at.state, replica->engine) : std::string();
    if (moved.to == replica_state::gone)
    {
        this->events.report(
            event_id::replica_gone,
            {{"replica", moved.replica.value},
             {"servable", servable},
             {"engine", engine},
             {"offset", at.folded.offset.value},
             {"proof", moved.cause}});
    }
    const std::optional<event_id> id = event_of(moved.to);
    if (!id)
        return;
    this->events.report(
        *id,
        {{"replica", moved.replica.value},
         {"servable", servable},
         {"engine", engine},
         {"offset", at.folded.offset.value},
         {"reason", moved.cause}});
}

void record_reporter::report_accepted(const scene& at, const grant_open& opened)
{
    const std::string engine = engine_name(at.state, opened.engine);
    if (opened.memory_mib == 0)
    {
        this->events.report(
            event_id::grant_closed,
            {{"engine", engine}, {"offset", at.folded.offset.value}});
        return;
    }
    this->events.report(
        event_id::grant_opened,
        {{"engine", engine},
         {"memory_mib", opened.memory_mib},
         {"slots", opened.loads},
         {"term_ms", opened.term_ms},
         {"offset", at.folded.offset.value}});
}

void record_reporter::report_accepted(
    const scene& at, const grant_settle& settled)
{
    const std::string_view outcome = settled.used ? "used" : "freed";
    this->events.report(
        event_id::grant_settled,
        {{"replica", settled.replica.value},
         {"outcome", outcome},
         {"offset", at.folded.offset.value}});
}

void record_reporter::report_accepted(
    const scene& at, const request_suspect& suspect)
{
    const std::string fingerprint = to_hex(suspect.request.value);
    if (at.state.blocked(suspect.request))
    {
        this->events.report(
            event_id::fingerprint_blocked, {{"fingerprint", fingerprint}});
        return;
    }
    this->events.report(
        event_id::crash_suspected,
        {{"fingerprint", fingerprint},
         {"engine", engine_name(at.state, suspect.engine)}});
}

void record_reporter::report_accepted(
    const scene&, const request_unblock& unblocked)
{
    this->events.report(
        event_id::fingerprint_unblocked,
        {{"fingerprint", to_hex(unblocked.request.value)}});
}

void record_reporter::report_accepted(
    const scene& at, const operator_key_change& change)
{
    const std::string_view what = change.key.empty() ? "retired" : "added";
    this->events.report(
        event_id::operator_key_changed,
        {{"offset", at.folded.offset.value},
         {"number", change.number},
         {"change", what},
         {"author", change.author}});
}

void record_reporter::report_accepted(
    const scene&, const checkpoint_chunk& chunk)
{
    const bool is_last = chunk.index + 1 == chunk.count;
    if (!is_last)
        return;
    this->events.report(
        event_id::checkpoint_written,
        {{"offset", chunk.at.value},
         {"chunks", chunk.count},
         {"hash", to_hex(chunk.state_hash)}});
}

/// Renewals and claims are too many for the trail; joins are told by the
/// peers' port, which knows who answers.
template <class Payload>
void record_reporter::report_accepted(const scene&, const Payload&)
{
}

} // namespace roseworks::app

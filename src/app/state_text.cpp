#include "app/state_text.hpp"

#include "ports/hex_text.hpp"

#include <roseworks/fleet_state.hpp>
#include <roseworks/names.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <optional>

namespace roseworks::app
{

namespace json = boost::json;

namespace
{

std::string session_name(const fleet_state& state, session_id id)
{
    const std::optional<session_view> session = state.session(id);
    return session ? std::string(session->name) : std::string();
}

json::array engines_of(const fleet_state& state)
{
    json::array engines;
    state.for_each_engine(
        [&](const engine_view& engine)
        {
            json::object one;
            one["name"] = engine.name;
            one["revision"] = engine.current.value;
            one["readable"] = engine.readable;
            one["holder"] = session_name(state, engine.holder);
            one["holder_session"] = engine.holder.value;
            one["fence"] = engine.held.value;
            one["reserved_mib"] = engine.reserved_mib;
            one["memory_mib"] =
                engine.spec == nullptr ? 0 : engine.spec->memory_mib;
            one["order_may_be_in_flight"] =
                state.order_may_be_in_flight(engine.id);
            engines.push_back(std::move(one));
        });
    return engines;
}

json::array replicas_of(const fleet_state& state)
{
    json::array replicas;
    state.for_each_replica(
        [&](const replica_view& replica)
        {
            const auto servable = state.servable(replica.servable);
            const auto engine = state.engine(replica.engine);
            json::object one;
            one["replica"] = replica.id.value;
            one["servable"] = servable ? servable->name : std::string_view();
            one["engine"] = engine ? engine->name : std::string_view();
            one["state"] = to_string(replica.state);
            one["memory_mib"] = replica.memory_mib;
            one["holds_slot"] = replica.holds_slot;
            replicas.push_back(std::move(one));
        });
    return replicas;
}

json::array sessions_of(const fleet_state& state)
{
    json::array sessions;
    state.for_each_session(
        [&](const session_view& session)
        {
            if (session.ended)
                return;
            json::object one;
            one["session"] = session.id.value;
            one["name"] = session.name;
            one["incarnation"] = session.incarnation;
            one["peer_address"] = session.peer_address;
            one["http_address"] = session.http_address;
            sessions.push_back(std::move(one));
        });
    return sessions;
}

} // namespace

std::string
make_state_text(const control_loop& loop, const state_text_frame& frame)
{
    json::object text;
    text["router"] = frame.router;
    text["data_centre"] = frame.data_centre;
    text["ready"] = loop.is_caught_up();
    text["log_available"] = loop.log_available();
    text["lag"] = loop.lag();
    text["queued"] = frame.queued;
    text["in_flight"] = frame.in_flight;
    text["taken_at_ms"] = frame.taken_at;
    if (loop.driven() == nullptr)
        return json::serialize(text);

    const controller& driven = *loop.driven();
    const fleet_state& state = driven.state();
    std::uint64_t servables = 0;
    state.for_each_servable(
        [&](const servable_view&)
        {
            ++servables;
        });
    text["offset"] = state.folded().value;
    text["hash"] = to_hex(state.hash());
    text["session"] = driven.session().value;
    text["servables"] = servables;
    text["policy_revision"] =
        state.entity_revision(entity_kind::policy, "policy").value;
    text["engines"] = engines_of(state);
    text["replicas"] = replicas_of(state);
    text["sessions"] = sessions_of(state);
    return json::serialize(text);
}

} // namespace roseworks::app

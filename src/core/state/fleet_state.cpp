#include "core/state/fleet_state_impl.hpp"

#include <roseworks/fleet_state.hpp>

#include <cassert>

namespace roseworks
{

namespace
{

session_view view_of(session_id id, const detail::session_row& row)
{
    session_view view;
    view.id = id;
    view.author = row.author;
    view.incarnation = row.incarnation;
    view.name = row.name;
    view.data_centre = row.data_centre;
    view.peer_address = row.peer_address;
    view.http_address = row.http_address;
    view.last_renewal = row.last_renewal;
    view.ended = row.ended;
    return view;
}

} // namespace

fleet_state::fleet_state()
    : self(std::make_unique<impl>())
{
}

fleet_state::~fleet_state() = default;
fleet_state::fleet_state(fleet_state&&) noexcept = default;
fleet_state& fleet_state::operator=(fleet_state&&) noexcept = default;

fold_result fleet_state::apply(log_offset offset, const record& value)
{
    return this->self->apply(offset, value);
}

void fleet_state::skip(log_offset offset)
{
    assert(offset > this->self->data.folded);
    this->self->changes.clear();
    this->self->data.folded = offset;
}

std::span<const state_change> fleet_state::changes() const
{
    return this->self->changes;
}

log_offset fleet_state::folded() const
{
    return this->self->data.folded;
}

stamp_ms fleet_state::log_time() const
{
    return this->self->data.log_time;
}

servable_id fleet_state::find_servable(std::string_view name) const
{
    return this->self->data.servables.find(name);
}

engine_id fleet_state::find_engine(std::string_view name) const
{
    return this->self->data.engines.find(name);
}

service_id fleet_state::find_service(std::string_view name) const
{
    return this->self->data.services.find(name);
}

caller_id fleet_state::find_caller(std::string_view name) const
{
    return this->self->data.callers.find(name);
}

std::shared_ptr<const void> fleet_state::names_owner() const
{
    return this->self->data.servables.names_owner();
}

std::optional<servable_view> fleet_state::servable(servable_id id) const
{
    return this->self->data.servables.view(id);
}

std::optional<engine_view> fleet_state::engine(engine_id id) const
{
    return this->self->data.engines.view(id);
}

const service_spec* fleet_state::service(service_id id) const
{
    const auto* row = this->self->data.services.row(id);
    return row != nullptr ? &row->spec : nullptr;
}

const caller_spec* fleet_state::caller(caller_id id) const
{
    const auto* row = this->self->data.callers.row(id);
    return row != nullptr ? &row->spec : nullptr;
}

std::string_view fleet_state::service_name(service_id id) const
{
    return this->self->data.services.name(id);
}

std::string_view fleet_state::caller_name(caller_id id) const
{
    return this->self->data.callers.name(id);
}

const policy_spec& fleet_state::policy() const
{
    return this->self->data.policy.spec;
}

revision
fleet_state::entity_revision(entity_kind kind, std::string_view name) const
{
    return this->self->data.current(kind, name);
}

std::optional<entity_spec>
fleet_state::entity(entity_kind kind, std::string_view name) const
{
    const detail::fleet_data& data = this->self->data;
    const std::uint32_t id = data.find(kind, name);
    if (id == 0 || data.unread.contains({kind, id}))
        return std::nullopt;
    switch (kind)
    {
    case entity_kind::model:
    case entity_kind::adapter:
        return data.servables.spec(servable_id(id));
    case entity_kind::engine:
        return data.engines.row(engine_id(id))->spec;
    case entity_kind::service:
        return data.services.row(service_id(id))->spec;
    case entity_kind::caller:
        return data.callers.row(caller_id(id))->spec;
    case entity_kind::policy:
        return data.policy.spec;
    }
    return std::nullopt;
}

void fleet_state::for_each_servable(
    const std::function<void(const servable_view&)>& visit) const
{
    const auto& servables = this->self->data.servables;
    for (std::uint32_t id = 1; id <= servables.size(); ++id)
        if (const auto view = servables.view(servable_id(id)))
            visit(*view);
}

void fleet_state::for_each_engine(
    const std::function<void(const engine_view&)>& visit) const
{
    const auto& engines = this->self->data.engines;
    for (std::uint32_t id = 1; id <= engines.all().size(); ++id)
        if (const auto view = engines.view(engine_id(id)))
            visit(*view);
}

void fleet_state::for_each_service(
    const std::function<void(service_id, std::string_view)>& visit) const
{
    const auto& services = this->self->data.services;
    for (std::uint32_t id = 1; id <= services.size(); ++id)
        if (services.row(service_id(id)) != nullptr)
            visit(service_id(id), services.name(service_id(id)));
}

void fleet_state::for_each_caller(
    const std::function<void(caller_id, std::string_view)>& visit) const
{
    const auto& callers = this->self->data.callers;
    for (std::uint32_t id = 1; id <= callers.size(); ++id)
        if (callers.row(caller_id(id)) != nullptr)
            visit(caller_id(id), callers.name(caller_id(id)));
}

std::optional<replica_view> fleet_state::replica(replica_id id) const
{
    const replica_view* row = this->self->data.replicas.find(id);
    if (row == nullptr)
        return std::nullopt;
    return *row;
}

void fleet_state::for_each_replica(
    const std::function<void(const replica_view&)>& visit) const
{
    for (const auto& [id, row] : this->self->data.replicas.all())
        visit(row);
}

void fleet_state::for_each_replica_of(
    servable_id id, const std::function<void(const replica_view&)>& visit) const
{
    this->self->data.replicas.each_of(id, visit);
}

void fleet_state::for_each_replica_on(
    engine_id id, const std::function<void(const replica_view&)>& visit) const
{
    this->self->data.replicas.each_on(id, visit);
}

bool fleet_state::order_may_be_in_flight(engine_id id) const
{
    return this->self->data.engines.order_may_be_in_flight(id);
}

bool fleet_state::former_holder(engine_id id, session_id session) const
{
    return this->self->data.engines.former_holder(id, session);
}

std::optional<standing_grant_view>
fleet_state::standing_grant(engine_id id) const
{
    const standing_grant_view* row = this->self->data.grants.on(id);
    if (row == nullptr)
        return std::nullopt;
    return *row;
}

std::optional<granted_model_view>
fleet_state::granted_model(replica_id id) const
{
    const granted_model_view* row = this->self->data.grants.find(id);
    if (row == nullptr)
        return std::nullopt;
    return *row;
}

void fleet_state::for_each_granted_model(
    const std::function<void(const granted_model_view&)>& visit) const
{
    for (const auto& [id, row] : this->self->data.grants.models())
        visit(row);
}

std::optional<session_view> fleet_state::session(session_id id) const
{
    const detail::session_row* row = this->self->data.sessions.find(id);
    if (row == nullptr)
        return std::nullopt;
    return view_of(id, *row);
}

session_id fleet_state::live_session(author_id author) const
{
    const session_id newest = this->self->data.sessions.newest(author);
    return this->self->data.sessions.live(newest) ? newest : session_id();
}

void fleet_state::for_each_session(
    const std::function<void(const session_view&)>& visit) const
{
    for (const auto& [id, row] : this->self->data.sessions.all())
        visit(view_of(id, row));
}

std::optional<claim_view> fleet_state::claim(claim_key key) const
{
    const auto row = this->self->data.claims.find(key);
    if (!row)
        return std::nullopt;
    claim_view view;
    view.key = key;
    view.session = row->session;
    view.outcome = row->outcome;
    view.opened = row->opened;
    view.status = row->status;
    view.content = row->content;
    view.body = row->body;
    // Nobody is left who could say what became of it.
    if (row->outcome == claim_outcome::open &&
        !this->self->data.sessions.live(row->session))
        view.outcome = claim_outcome::may_have_run;
    return view;
}

bool fleet_state::blocked(fingerprint request) const
{
    const auto* row = this->self->data.suspects.find(request);
    return row != nullptr && row->blocked;
}

void fleet_state::for_each_suspect(
    const std::function<void(fingerprint)>& visit) const
{
    for (const auto& [request, row] : this->self->data.suspects.all())
        visit(request);
}

std::uint32_t fleet_state::recorded_crashes(fingerprint request) const
{
    const auto* row = this->self->data.suspects.find(request);
    return row != nullptr ? row->crashes : 0;
}

void fleet_state::for_each_operator_key(
    const std::function<void(const operator_key_view&)>& visit) const
{
    for (const auto& [number, row] : this->self->data.operator_keys.all())
        visit({row.key, row.retired, row.since});
}

} // namespace roseworks

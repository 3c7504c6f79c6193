#include "core/routing/sharded_table.hpp"

#include <roseworks/routing_table_builder.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace roseworks
{

namespace
{

/// Blocked and suspect requests are checked for expiry this often, in the time
/// of the log.
constexpr stamp_ms expiry_check_interval_ms = 1000;

route route_of(replica_id replica, const engine_view& engine)
{
    return {
        replica,
        engine.id,
        engine.spec->address,
        engine.spec->data_centre,
        engine.spec->vm};
}

} // namespace

class routing_table_builder::impl
{
public:
    void rebuild(const fleet_state& state);
    void update(const fleet_state& state);
    void
    set_grants(const fleet_state& state, std::span<const grant_hint> hints);

    detail::sharded_table table_draft;

private:
    struct placement
    {
        servable_id servable;
        engine_id engine;
    };

    void apply(const fleet_state& state, const state_change& change);
    void entity_put(const fleet_state& state, const state_change& change);
    void entity_removed(const state_change& change);
    void put_servable(const fleet_state& state, servable_id id);
    void add_granted(const fleet_state& state, servable_routes& entry) const;
    void put_service(const fleet_state& state, service_id id);
    void put_caller(const fleet_state& state, caller_id id);
    void put_engine(const fleet_state& state, engine_id id);
    void put_adapters_of(const fleet_state& state, servable_id base);
    void apply_move(const fleet_state& state, const state_change& change);
    void refresh_request(const fleet_state& state, fingerprint request);
    void check_expiry(const fleet_state& state);

    /// Replicas that are not gone. The state has no view of a gone replica, so
    /// its servable is looked up here.
    std::unordered_map<replica_id, placement> replicas;
    std::unordered_map<caller_id, std::string> callers;
    std::map<servable_id, grant_hint> grants;
    stamp_ms last_expiry_check = 0;
};

void routing_table_builder::impl::rebuild(const fleet_state& state)
{
    this->table_draft.clear();
    this->table_draft.retain_names(state.names_owner());
    this->replicas.clear();
    this->callers.clear();

    state.for_each_replica(
        [this](const replica_view& one)
        {
            this->replicas[one.id] = {one.servable, one.engine};
        });
    state.for_each_servable(
        [this, &state](const servable_view& one)
        {
            this->put_servable(state, one.id);
        });
    state.for_each_service(
        [this, &state](service_id id, std::string_view)
        {
            this->put_service(state, id);
        });
    state.for_each_caller(
        [this, &state](caller_id id, std::string_view)
        {
            this->put_caller(state, id);
        });
    state.for_each_suspect(
        [this, &state](fingerprint request)
        {
            this->refresh_request(state, request);
        });
}

void routing_table_builder::impl::update(const fleet_state& state)
{
    for (const state_change& change : state.changes())
    {
        this->apply(state, change);
    }
    this->check_expiry(state);
}

void routing_table_builder::impl::apply(
    const fleet_state& state, const state_change& change)
{
    using kind = state_change::kind;
    switch (change.what)
    {
    case kind::entity_put:
        this->entity_put(state, change);
        break;
    case kind::entity_removed:
        this->entity_removed(change);
        break;
    case kind::replica_moved:
        this->apply_move(state, change);
        break;
    case kind::request_suspected:
    case kind::request_blocked:
    case kind::request_unblocked:
        this->refresh_request(state, change.request);
        break;
    default:
        break;
    }
}

void routing_table_builder::impl::entity_put(
    const fleet_state& state, const state_change& change)
{
    const std::uint32_t id = change.entity_id;
    switch (change.entity)
    {
    case entity_kind::model:
    {
        const servable_routes* before = this->table_draft.find(servable_id(id));
        const std::uint16_t streams = before ? before->max_streams : 0;
        this->put_servable(state, servable_id(id));
        const servable_routes* after = this->table_draft.find(servable_id(id));
        if (before != nullptr && after != nullptr &&
            after->max_streams != streams)
        {
            this->put_adapters_of(state, servable_id(id));
        }
        break;
    }
    case entity_kind::adapter:
        this->put_servable(state, servable_id(id));
        break;
    case entity_kind::engine:
        this->put_engine(state, engine_id(id));
        break;
    case entity_kind::service:
        this->put_service(state, service_id(id));
        break;
    case entity_kind::caller:
        this->put_caller(state, caller_id(id));
        break;
    case entity_kind::policy:
        break;
    }
}

void routing_table_builder::impl::entity_removed(const state_change& change)
{
    const std::uint32_t id = change.entity_id;
    switch (change.entity)
    {
    case entity_kind::model:
    case entity_kind::adapter:
        this->table_draft.erase(servable_id(id));
        break;
    case entity_kind::service:
        this->table_draft.erase_service(service_id(id));
        break;
    case entity_kind::caller:
        if (const auto found = this->callers.find(caller_id(id));
            found != this->callers.end())
        {
            this->table_draft.erase_caller(found->second);
            this->callers.erase(found);
        }
        break;
    case entity_kind::engine: // only removed when no replica is left on it
    case entity_kind::policy:
        break;
    }
}

void routing_table_builder::impl::put_servable(
    const fleet_state& state, servable_id id)
{
    const auto view = state.servable(id);
    if (!view)
    {
        this->table_draft.erase(id);
        return;
    }
    servable_routes entry;
    entry.id = id;
    entry.name = this->table_draft.retains(state.names_owner())
                     ? servable_name::borrow(view->name)
                     : servable_name(view->name);
    entry.is_adapter = view->is_adapter;
    entry.max_streams = view->max_streams;
    entry.load_estimate_ms = view->load_estimate_ms;
    entry.max_replicas = view->max_replicas;
    state.for_each_replica_of(
        id,
        [&state, &entry](const replica_view& one)
        {
            const auto engine = state.engine(one.engine);
            if (one.state != replica_state::ready || !engine ||
                engine->spec == nullptr || engine->spec->draining)
            {
                return;
            }
            entry.ready.push_back(route_of(one.id, *engine));
        });
    this->add_granted(state, entry);
    std::sort(
        entry.ready.begin(),
        entry.ready.end(),
        [](const route& left, const route& right)
        {
            return left.replica < right.replica;
        });
    this->table_draft.put(std::move(entry));
}

/// Adds the replica of a granted model that its engine reports as loaded,
/// before the log has a record of it.
void routing_table_builder::impl::add_granted(
    const fleet_state& state, servable_routes& entry) const
{
    const auto hint = this->grants.find(entry.id);
    if (hint == this->grants.end())
    {
        return;
    }
    entry.granted = true;
    const grant_hint& what = hint->second;
    const auto engine = state.engine(what.engine);
    const bool listed = std::any_of(
        entry.ready.begin(),
        entry.ready.end(),
        [&what](const route& one)
        {
            return one.replica == what.replica;
        });
    if (what.loaded && !listed && engine && engine->spec != nullptr &&
        !engine->spec->draining)
    {
        entry.ready.push_back(route_of(what.replica, *engine));
    }
}

void routing_table_builder::impl::set_grants(
    const fleet_state& state, std::span<const grant_hint> hints)
{
    std::map<servable_id, grant_hint> before = std::move(this->grants);
    this->grants.clear();
    for (const grant_hint& hint : hints)
    {
        this->grants[hint.servable] = hint;
    }
    std::set<servable_id> affected;
    for (const auto* side : {&before, &this->grants})
    {
        for (const auto& [id, hint] : *side)
        {
            affected.insert(id);
        }
    }
    for (const servable_id id : affected)
    {
        const auto old_hint = before.find(id);
        const auto new_hint = this->grants.find(id);
        const bool same = old_hint != before.end() &&
                          new_hint != this->grants.end() &&
                          old_hint->second == new_hint->second;
        if (!same)
        {
            this->put_servable(state, id);
        }
    }
}

void routing_table_builder::impl::put_service(
    const fleet_state& state, service_id id)
{
    const service_spec* spec = state.service(id);
    if (spec == nullptr)
    {
        this->table_draft.erase_service(id);
        return;
    }
    service_routes entry;
    entry.id = id;
    entry.name = state.service_name(id);
    entry.repeatable = spec->repeatable;
    entry.max_streams = spec->max_streams;
    entry.backends = spec->backends;
    this->table_draft.put(std::move(entry));
}

void routing_table_builder::impl::put_caller(
    const fleet_state& state, caller_id id)
{
    const caller_spec* spec = state.caller(id);
    if (spec != nullptr)
    {
        this->callers[id] = state.caller_name(id);
        this->table_draft.put_caller(state.caller_name(id), *spec);
    }
}

void routing_table_builder::impl::put_engine(
    const fleet_state& state, engine_id id)
{
    std::set<servable_id> affected;
    state.for_each_replica_on(
        id,
        [&affected](const replica_view& one)
        {
            affected.insert(one.servable);
        });
    for (const servable_id one : affected)
    {
        this->put_servable(state, one);
    }
}

void routing_table_builder::impl::put_adapters_of(
    const fleet_state& state, servable_id base)
{
    std::vector<servable_id> adapters;
    state.for_each_servable(
        [&adapters, base](const servable_view& one)
        {
            if (one.is_adapter && one.base == base)
            {
                adapters.push_back(one.id);
            }
        });
    for (const servable_id one : adapters)
    {
        this->put_servable(state, one);
    }
}

void routing_table_builder::impl::apply_move(
    const fleet_state& state, const state_change& change)
{
    if (const auto view = state.replica(change.replica))
    {
        this->replicas[view->id] = {view->servable, view->engine};
    }
    const auto found = this->replicas.find(change.replica);
    if (found == this->replicas.end())
    {
        return;
    }
    const servable_id servable = found->second.servable;
    if (change.to == replica_state::gone)
    {
        this->replicas.erase(found);
    }
    if (change.from == replica_state::ready ||
        change.to == replica_state::ready)
    {
        this->put_servable(state, servable);
    }
}

void routing_table_builder::impl::refresh_request(
    const fleet_state& state, fingerprint request)
{
    const bool blocked = state.blocked(request);
    this->table_draft.set_blocked(request, blocked);
    this->table_draft.set_suspect(
        request, !blocked && state.recorded_crashes(request) != 0);
}

void routing_table_builder::impl::check_expiry(const fleet_state& state)
{
    const stamp_ms now = state.log_time();
    if (now - this->last_expiry_check < expiry_check_interval_ms)
    {
        return;
    }
    this->last_expiry_check = now;
    std::vector<fingerprint> seen = this->table_draft.blocked();
    const auto& suspects = this->table_draft.suspects();
    seen.insert(seen.end(), suspects.begin(), suspects.end());
    for (const fingerprint request : seen)
    {
        this->refresh_request(state, request);
    }
}

routing_table_builder::routing_table_builder()
    : self(std::make_unique<impl>())
{
}

routing_table_builder::~routing_table_builder() = default;
routing_table_builder::routing_table_builder(routing_table_builder&&) noexcept =
    default;
routing_table_builder&
routing_table_builder::operator=(routing_table_builder&&) noexcept = default;

void routing_table_builder::rebuild(const fleet_state& state)
{
    this->self->rebuild(state);
}

void routing_table_builder::update(const fleet_state& state)
{
    this->self->update(state);
}

void routing_table_builder::set_grants(
    const fleet_state& state, std::span<const grant_hint> hints)
{
    this->self->set_grants(state, hints);
}

void routing_table_builder::set_log_available(bool available)
{
    this->self->table_draft.set_log_available(available);
}

routing_table_ptr routing_table_builder::table()
{
    return this->self->table_draft.publish();
}

} // namespace roseworks

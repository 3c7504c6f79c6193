#include "tools/common/state_tables.hpp"

#include "tools/common/trail.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <ostream>
#include <set>

namespace roseworks::tools
{

namespace
{

namespace json = boost::json;

json::string text(std::string_view value)
{
    return json::string(value);
}

std::uint32_t count_replicas(const fleet_state& state, servable_id id)
{
    std::uint32_t count = 0;
    state.for_each_replica_of(
        id,
        [&count](const replica_view& replica)
        {
            count += replica.state == replica_state::ready ? 1 : 0;
        });
    return count;
}

text_table fleet_table(const log_history& history)
{
    const fleet_state& state = history.state();
    std::uint64_t models = 0;
    std::uint64_t adapters = 0;
    state.for_each_servable(
        [&](const servable_view& servable)
        {
            ++(servable.is_adapter ? adapters : models);
        });
    std::uint64_t engines = 0;
    std::uint64_t capacity = 0;
    std::uint64_t reserved = 0;
    state.for_each_engine(
        [&](const engine_view& engine)
        {
            ++engines;
            capacity += engine.spec ? engine.spec->memory_mib : 0;
            reserved += engine.reserved_mib;
        });
    std::uint64_t replicas = 0;
    std::uint64_t slots = 0;
    state.for_each_replica(
        [&](const replica_view& replica)
        {
            ++replicas;
            slots += replica.holds_slot ? 1 : 0;
        });
    std::uint64_t routers = 0;
    state.for_each_session(
        [&](const session_view& session)
        {
            routers += session.ended ? 0 : 1;
        });
    const policy_spec& policy = state.policy();
    return {
        {"what", "value"},
        {{"offset", state.folded().value},
         {"hash", text(to_hex(state.hash()))},
         {"models", models},
         {"adapters", adapters},
         {"engines", engines},
         {"engine_memory_mib", capacity},
         {"reserved_mib", reserved},
         {"replicas", replicas},
         {"routers", routers},
         {"store_slots_held", slots},
         {"store_slots", policy.store_slots},
         {"idle_weight", policy.idle_weight}}};
}

text_table servable_table(const log_history& history, bool adapters)
{
    const fleet_state& state = history.state();
    text_table table;
    table.columns = {
        "name",
        "revision",
        "version",
        "base",
        "memory_mib",
        "min",
        "max",
        "ready",
        "readable"};
    state.for_each_servable(
        [&](const servable_view& servable)
        {
            if (servable.is_adapter != adapters)
            {
                return;
            }
            const std::string base =
                adapters ? servable_name(state, servable.base) : "-";
            table.rows.push_back(
                {text(servable.name),
                 servable.current.value,
                 text(servable.version),
                 text(base),
                 servable.memory_mib,
                 servable.min_replicas,
                 servable.max_replicas,
                 count_replicas(state, servable.id),
                 servable.readable});
        });
    return table;
}

text_table models_table(const log_history& history)
{
    return servable_table(history, false);
}

text_table adapters_table(const log_history& history)
{
    return servable_table(history, true);
}

text_table replicas_table(const log_history& history)
{
    const fleet_state& state = history.state();
    text_table table;
    table.columns = {
        "replica",
        "servable",
        "engine",
        "state",
        "memory_mib",
        "slot",
        "since"};
    state.for_each_replica(
        [&](const replica_view& replica)
        {
            table.rows.push_back(
                {replica.id.value,
                 text(servable_name(state, replica.servable)),
                 text(engine_name(state, replica.engine)),
                 text(to_string(replica.state)),
                 replica.memory_mib,
                 replica.holds_slot,
                 replica.last_change.value});
        });
    return table;
}

text_table engines_table(const log_history& history)
{
    const fleet_state& state = history.state();
    text_table table;
    table.columns = {
        "name",
        "revision",
        "vm",
        "data_centre",
        "memory_mib",
        "reserved_mib",
        "draining",
        "fencing",
        "order_may_be_in_flight"};
    state.for_each_engine(
        [&](const engine_view& engine)
        {
            const engine_spec spec = engine.spec ? *engine.spec : engine_spec{};
            const bool checks = spec.fencing == fencing_kind::checks;
            table.rows.push_back(
                {text(engine.name),
                 engine.current.value,
                 text(spec.vm),
                 text(spec.data_centre),
                 spec.memory_mib,
                 engine.reserved_mib,
                 spec.draining,
                 text(checks ? "checks" : "ignores"),
                 state.order_may_be_in_flight(engine.id)});
        });
    return table;
}

text_table leases_table(const log_history& history)
{
    const fleet_state& state = history.state();
    text_table table;
    table.columns = {"engine", "holder", "fence", "last_renewal"};
    state.for_each_engine(
        [&](const engine_view& engine)
        {
            const auto holder = state.session(engine.holder);
            const std::string name =
                holder ? session_name(state, engine.holder) : "-";
            table.rows.push_back(
                {text(engine.name),
                 text(name),
                 engine.held.value,
                 holder ? holder->last_renewal.value : 0});
        });
    return table;
}

/// Calls `visit` with each value that `pick` finds in the kept records, once.
template <class Key, class Payload, class Visit>
void for_each_named(
    const log_history& history, Key Payload::*field, const Visit& visit)
{
    std::set<Key> seen;
    for (const history_entry& entry : history.entries())
    {
        const auto* payload =
            entry.value ? std::get_if<Payload>(&entry.value->payload) : nullptr;
        if (payload != nullptr && seen.insert(payload->*field).second)
        {
            visit(payload->*field);
        }
    }
}

text_table claims_table(const log_history& history)
{
    const fleet_state& state = history.state();
    text_table table;
    table.columns = {"key", "outcome", "session", "opened", "status"};
    for_each_named(
        history,
        &claim_open::key,
        [&](const claim_key& key)
        {
            const auto claim = state.claim(key);
            if (claim)
            {
                table.rows.push_back(
                    {text(to_hex(key)),
                     text(to_string(claim->outcome)),
                     text(session_name(state, claim->session)),
                     claim->opened.value,
                     claim->status});
            }
        });
    return table;
}

text_table blocks_table(const log_history& history)
{
    const fleet_state& state = history.state();
    text_table table;
    table.columns = {"request", "crashes", "blocked"};
    for_each_named(
        history,
        &request_suspect::request,
        [&](fingerprint request)
        {
            const std::uint32_t crashes = state.recorded_crashes(request);
            if (crashes != 0)
            {
                table.rows.push_back(
                    {text(to_hex(request.value)),
                     crashes,
                     state.blocked(request)});
            }
        });
    return table;
}

text_table keys_table(const log_history& history)
{
    text_table table;
    table.columns = {"number", "key", "state", "since"};
    history.state().for_each_operator_key(
        [&](const operator_key_view& view)
        {
            table.rows.push_back(
                {std::uint64_t(view.key.number),
                 text(key_hex(view.key.bytes)),
                 text(view.retired ? "retired" : "accepted"),
                 view.since.value});
        });
    return table;
}

constexpr std::array views{
    state_view{"fleet", &fleet_table},
    state_view{"models", &models_table},
    state_view{"adapters", &adapters_table},
    state_view{"replicas", &replicas_table},
    state_view{"engines", &engines_table},
    state_view{"leases", &leases_table},
    state_view{"claims", &claims_table},
    state_view{"blocks", &blocks_table},
    state_view{"keys", &keys_table}};

std::string cell_text(const json::value& cell)
{
    if (cell.is_string())
    {
        return std::string(cell.get_string());
    }
    if (cell.is_bool())
    {
        return cell.get_bool() ? "yes" : "no";
    }
    return json::serialize(cell);
}

} // namespace

std::ostream& operator<<(std::ostream& out, const text_table& table)
{
    std::vector<std::size_t> widths;
    for (std::string_view column : table.columns)
    {
        widths.push_back(column.size());
    }
    for (const auto& row : table.rows)
    {
        for (std::size_t index = 0; index < row.size(); ++index)
        {
            widths[index] =
                std::max(widths[index], cell_text(row[index]).size());
        }
    }
    const auto put = [&](std::size_t index, std::string_view cell)
    {
        const bool last = index + 1 == widths.size();
        const int width = last ? 0 : static_cast<int>(widths[index] + 2);
        out << std::left << std::setw(width) << cell << (last ? "\n" : "");
    };
    for (std::size_t index = 0; index < widths.size(); ++index)
    {
        put(index, table.columns[index]);
    }
    for (const auto& row : table.rows)
    {
        for (std::size_t index = 0; index < row.size(); ++index)
        {
            put(index, cell_text(row[index]));
        }
    }
    return out;
}

boost::json::value to_json(const text_table& table)
{
    json::array rows;
    for (const auto& row : table.rows)
    {
        json::object object;
        for (std::size_t index = 0; index < row.size(); ++index)
        {
            object[table.columns[index]] = row[index];
        }
        rows.push_back(std::move(object));
    }
    return rows;
}

std::span<const state_view> state_views()
{
    return views;
}

const state_view* find_state_view(std::string_view name)
{
    const auto found = std::find_if(
        views.begin(),
        views.end(),
        [name](const state_view& view)
        {
            return view.name == name;
        });
    return found == views.end() ? nullptr : &*found;
}

} // namespace roseworks::tools

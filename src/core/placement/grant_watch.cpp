#include "core/placement/grant_watch.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace roseworks::detail
{

grant_watch::grant_watch(
    const controller::options& wanted,
    const lease_keeper& lease_source,
    const engine_reports& report_source,
    const proposer& demand_source)
    : settings(wanted)
    , leases(lease_source)
    , reports(report_source)
    , proposals(demand_source)
{
}

const std::set<engine_id>& grant_watch::urgent() const
{
    return this->urgent_engines;
}

void grant_watch::step(const control_context& context)
{
    this->urgent_engines.clear();
    const std::vector<servable_demand> own = this->proposals.own_demands();
    // Nearly always: the log answers and nothing granted is of interest.
    if (context.log_available && own.empty() && this->told.empty())
    {
        return;
    }
    std::map<servable_id, servable_demand> wanted;
    for (const servable_demand& item : own)
    {
        wanted[item.servable] = item;
    }
    context.state.for_each_granted_model(
        [&](const granted_model_view& model)
        {
            const auto demand = wanted.find(model.servable);
            if (demand == wanted.end())
            {
                return;
            }
            if (!context.log_available)
            {
                this->urgent_engines.insert(model.engine);
            }
            this->forward(context, model, demand->second);
        });
    std::erase_if(
        this->forwarded,
        [&](const auto& item)
        {
            return !wanted.contains(item.first);
        });
    this->tell(context, this->look(context));
}

void grant_watch::forward(
    const control_context& context,
    const granted_model_view& model,
    const servable_demand& wanted)
{
    const std::optional<engine_view> engine =
        context.state.engine(model.engine);
    const std::optional<session_view> holder =
        engine ? context.state.session(engine->holder) : std::nullopt;
    if (!holder || engine->holder == context.self || !context.self)
    {
        return;
    }
    const auto [last, is_new] =
        this->forwarded.try_emplace(model.servable, context.now);
    if (!is_new && context.now < last->second + this->settings.demand_hold / 2)
    {
        return;
    }
    last->second = context.now;
    forward_demand message;
    message.to = engine->holder;
    message.peer_address = std::string(holder->peer_address);
    message.what = wanted;
    message.what.from = context.self;
    context.out.emplace_back(std::move(message));
}

bool grant_watch::shows_ready(engine_id engine, replica_id replica) const
{
    const engine_sighting* sighting = this->reports.find(engine);
    const resident* found =
        sighting != nullptr ? sighting->find(replica) : nullptr;
    return found != nullptr && found->state == replica_state::ready;
}

/// Memory in MiB of each grant that no model seen on its engine takes.
std::map<engine_id, std::uint64_t>
grant_watch::room(const control_context& context) const
{
    std::map<engine_id, std::uint64_t> left;
    context.state.for_each_engine(
        [&](const engine_view& engine)
        {
            const std::optional<standing_grant_view> grant =
                context.state.standing_grant(engine.id);
            if (grant &&
                this->leases.grant_in_force(context.state, engine, context.now))
            {
                left[engine.id] = grant->memory_mib;
            }
        });
    context.state.for_each_granted_model(
        [&](const granted_model_view& model)
        {
            const engine_sighting* sighting = this->reports.find(model.engine);
            const bool there =
                sighting != nullptr && sighting->find(model.id) != nullptr;
            const auto place = left.find(model.engine);
            if (there && place != left.end())
            {
                place->second -=
                    std::min<std::uint64_t>(place->second, model.memory_mib);
            }
        });
    return left;
}

std::vector<grant_hint> grant_watch::look(const control_context& context)
{
    const std::map<engine_id, std::uint64_t> left =
        context.log_available ? std::map<engine_id, std::uint64_t>()
                              : this->room(context);
    std::vector<grant_hint> hints;
    context.state.for_each_granted_model(
        [&](const granted_model_view& model)
        {
            const bool loaded = this->shows_ready(model.engine, model.id);
            const engine_sighting* sighting = this->reports.find(model.engine);
            const bool there =
                sighting != nullptr && sighting->find(model.id) != nullptr;
            const auto place = left.find(model.engine);
            const bool covered = place != left.end() &&
                                 (there || model.memory_mib <= place->second);
            if (loaded || covered)
            {
                hints.push_back(
                    {model.servable, model.id, model.engine, loaded});
            }
        });
    this->add_settled(context, hints);
    // Of several grants of a model the loaded one counts.
    std::sort(
        hints.begin(),
        hints.end(),
        [](const grant_hint& one, const grant_hint& other)
        {
            return std::tuple(one.servable, !one.loaded, one.replica) <
                   std::tuple(other.servable, !other.loaded, other.replica);
        });
    const auto end = std::unique(
        hints.begin(),
        hints.end(),
        [](const grant_hint& one, const grant_hint& other)
        {
            return one.servable == other.servable;
        });
    hints.erase(end, hints.end());
    return hints;
}

/// What was told to be loaded stays so until its replica counts as ready.
void grant_watch::add_settled(
    const control_context& context, std::vector<grant_hint>& hints) const
{
    for (const grant_hint& hint : this->told)
    {
        const std::optional<replica_view> replica =
            context.state.replica(hint.replica);
        const bool on_its_way =
            replica && (replica->state == replica_state::decided ||
                        replica->state == replica_state::loading);
        if (hint.loaded && on_its_way &&
            this->shows_ready(hint.engine, hint.replica))
        {
            hints.push_back(hint);
        }
    }
}

void grant_watch::tell(
    const control_context& context, std::vector<grant_hint> hints)
{
    if (hints == this->told)
    {
        return;
    }
    this->told = hints;
    context.out.emplace_back(grants_seen{std::move(hints)});
}

} // namespace roseworks::detail

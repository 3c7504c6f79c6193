#include "core/placement/grant_keeper.hpp"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>
#include <variant>

// The grant keeper's part while the log answers.

namespace roseworks::detail
{

namespace
{

/// After a record that the fold rejected.
constexpr duration rejected_pause = std::chrono::seconds(2);
/// Whether a grant may be opened is looked at so often.
constexpr duration open_interval = std::chrono::seconds(1);
/// Models are named, and spent memory is put back, so often.
constexpr duration naming_interval = std::chrono::seconds(10);

} // namespace

void grant_keeper::folded(
    const control_context& context, const fold_event& event)
{
    if (!event.handed_out)
    {
        return;
    }
    for (auto& [id, track] : this->engines)
    {
        if (track.records.erase(event.value.id.sequence) == 0)
        {
            continue;
        }
        if (const auto* settled =
                std::get_if<grant_settle>(&event.value.payload))
        {
            track.leaving_grant.erase(settled->replica);
        }
        // Another holder may have named the same model just before.
        const bool named =
            std::holds_alternative<grant_model>(event.value.payload);
        if (!named && event.result.status != fold_status::accepted)
        {
            track.records_not_before = context.now + rejected_pause;
        }
    }
}

void grant_keeper::record(
    const control_context& context,
    engine_track& track,
    record_payload payload) const
{
    track.records.insert(context.submit(std::move(payload)));
}

void grant_keeper::look_for_room(
    const control_context& context,
    const engine_view& engine,
    engine_track& track) const
{
    if (context.now >= track.look_again)
    {
        track.look_again = context.now + naming_interval;
        track.keeps_out = this->would_keep_out(context, engine);
    }
}

/// Whether a declared model fits on some engine, and on none beside the grants,
/// one on this engine included.
bool grant_keeper::would_keep_out(
    const control_context& context, const engine_view& engine) const
{
    struct place
    {
        std::uint32_t whole_mib = 0;
        std::uint32_t beside_mib = 0;
        std::uint16_t accelerators = 0;
    };
    std::vector<place> places;
    context.state.for_each_engine(
        [&](const engine_view& other)
        {
            if (!this->proposals.usable(other))
            {
                return;
            }
            const bool granted =
                other.id == engine.id || context.state.standing_grant(other.id);
            const std::uint32_t whole = other.spec->memory_mib;
            const std::uint32_t kept =
                granted ? std::min(whole, this->settings.grants.memory_mib) : 0;
            places.push_back({whole, whole - kept, other.spec->accelerators});
        });
    bool keeps_out = false;
    context.state.for_each_servable(
        [&](const servable_view& model)
        {
            if (keeps_out || model.is_adapter || !model.readable ||
                model.max_replicas == 0)
            {
                return;
            }
            bool fits = false;
            bool fits_beside = false;
            for (const place& item : places)
            {
                const bool runs = item.accelerators >= model.accelerators;
                fits = fits || (runs && item.whole_mib >= model.memory_mib);
                fits_beside = fits_beside ||
                              (runs && item.beside_mib >= model.memory_mib);
            }
            keeps_out = fits && !fits_beside;
        });
    return keeps_out;
}

void grant_keeper::settle(
    const control_context& context,
    const engine_view& engine,
    engine_track& track)
{
    std::vector<grant_settle> records;
    context.state.for_each_granted_model(
        [&](const granted_model_view& model)
        {
            if (model.engine != engine.id || model.held != engine.held ||
                track.leaving_grant.contains(model.id))
            {
                return;
            }
            const auto load = track.loads.find(model.id);
            if (load != track.loads.end() && load->second.order)
            {
                return;
            }
            const bool used = load != track.loads.end() && load->second.used;
            if (used || track.keeps_out ||
                this->to_be_freed(context, engine, model))
            {
                records.push_back({model.id, context.self, engine.held, used});
            }
        });
    for (const grant_settle& item : records)
    {
        track.leaving_grant.insert(item.replica);
        this->record(context, track, item);
    }
}

bool grant_keeper::to_be_freed(
    const control_context& context,
    const engine_view& engine,
    const granted_model_view& model) const
{
    const std::optional<servable_view> servable =
        context.state.servable(model.servable);
    return !servable || servable->current != model.servable_revision ||
           !this->proposals.usable(engine) ||
           this->proposals.is_demanded(model.servable);
}

bool grant_keeper::has_room(const engine_view& engine) const
{
    return this->proposals.usable(engine) &&
           engine.reserved_mib +
                   std::uint64_t(this->settings.grants.memory_mib) <=
               engine.spec->memory_mib;
}

/// All routers order the engines alike, so that two holders seldom open at
/// once; the weight store's slots bound the grants when they do.
bool grant_keeper::is_next_to_open(
    const control_context& context, const engine_view& engine) const
{
    std::uint32_t opened = 0;
    engine_id best;
    std::uint32_t most_free = 0;
    context.state.for_each_engine(
        [&](const engine_view& other)
        {
            if (context.state.standing_grant(other.id))
            {
                ++opened;
                return;
            }
            if (!other.holder || !this->has_room(other))
            {
                return;
            }
            const std::uint32_t free =
                other.spec->memory_mib - other.reserved_mib;
            if (!best || free > most_free)
            {
                best = other.id;
                most_free = free;
            }
        });
    return opened < this->settings.grants.engines && best == engine.id;
}

void grant_keeper::open(
    const control_context& context,
    const engine_view& engine,
    engine_track& track) const
{
    const grant_options& wanted = this->settings.grants;
    const std::optional<standing_grant_view> grant =
        context.state.standing_grant(engine.id);
    grant_open record;
    record.engine = engine.id;
    record.session = context.self;
    record.held = engine.held;
    record.memory_mib = wanted.memory_mib;
    record.loads = wanted.loads;
    record.term_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(wanted.term)
            .count());
    if (!grant)
    {
        const bool due = context.now >= track.open_not_before;
        if (!due || track.keeps_out)
        {
            return;
        }
        track.open_not_before = context.now + open_interval;
        if (this->is_next_to_open(context, engine))
        {
            this->record(context, track, record);
        }
        return;
    }
    if (grant->held == engine.held && context.now >= track.names_not_before)
    {
        this->resize(context, engine, *grant, track, record);
    }
}

/// Settled loads took memory from it: what is free is put back. On an engine
/// that is to be left it is closed.
void grant_keeper::resize(
    const control_context& context,
    const engine_view& engine,
    const standing_grant_view& grant,
    engine_track& track,
    grant_open wanted) const
{
    if (!this->proposals.usable(engine) || track.keeps_out)
    {
        bool named = false;
        context.state.for_each_granted_model(
            [&](const granted_model_view& model)
            {
                named = named || model.engine == engine.id;
            });
        if (!named)
        {
            this->record(
                context,
                track,
                grant_open{engine.id, context.self, engine.held, 0, 0, 0});
        }
        return;
    }
    const std::uint32_t free = engine.spec->memory_mib - engine.reserved_mib;
    wanted.memory_mib = std::min(wanted.memory_mib, grant.memory_mib + free);
    if (wanted.memory_mib > grant.memory_mib)
    {
        this->record(context, track, wanted);
    }
}

void grant_keeper::name_models(
    const control_context& context,
    const engine_view& engine,
    engine_track& track) const
{
    const std::optional<standing_grant_view> grant =
        context.state.standing_grant(engine.id);
    if (!grant || grant->held != engine.held || !track.records.empty() ||
        context.now < track.names_not_before || !this->proposals.usable(engine))
    {
        return;
    }
    track.names_not_before = context.now + naming_interval;
    for (const servable_view& model : this->candidates(context, engine, *grant))
    {
        this->record(
            context,
            track,
            grant_model{
                model.id, model.current, engine.id, context.self, engine.held});
    }
}

std::vector<servable_view> grant_keeper::candidates(
    const control_context& context,
    const engine_view& engine,
    const standing_grant_view& grant) const
{
    std::set<servable_id> taken;
    std::size_t named = 0;
    context.state.for_each_granted_model(
        [&](const granted_model_view& model)
        {
            taken.insert(model.servable);
            named += model.engine == engine.id ? 1 : 0;
        });
    context.state.for_each_replica(
        [&](const replica_view& replica)
        {
            taken.insert(replica.servable);
        });
    // Open grants share the models out, so that no two name the same.
    std::vector<engine_id> granted;
    context.state.for_each_engine(
        [&](const engine_view& other)
        {
            if (context.state.standing_grant(other.id))
            {
                granted.push_back(other.id);
            }
        });
    std::vector<servable_view> found;
    context.state.for_each_servable(
        [&](const servable_view& item)
        {
            const bool fits = item.readable && !item.is_adapter &&
                              item.memory_mib <= grant.memory_mib &&
                              item.accelerators <= engine.spec->accelerators;
            const bool cold = item.max_replicas != 0 &&
                              item.min_replicas == 0 &&
                              !taken.contains(item.id) &&
                              !this->proposals.is_demanded(item.id);
            if (fits && cold &&
                granted[item.id.value % granted.size()] == engine.id)
            {
                found.push_back(item);
            }
        });
    const auto last = [&](const servable_view& item)
    {
        return this->uses.last_use(item.id).value_or(instant::min());
    };
    std::stable_sort(
        found.begin(),
        found.end(),
        [&](const servable_view& one, const servable_view& other)
        {
            return last(one) > last(other);
        });
    const std::size_t most = this->settings.grants.models;
    found.resize(std::min(found.size(), most > named ? most - named : 0));
    return found;
}

} // namespace roseworks::detail

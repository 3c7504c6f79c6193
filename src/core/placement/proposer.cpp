#include "core/placement/proposer.hpp"

#include <algorithm>
#include <variant>

namespace roseworks::detail
{

namespace
{

constexpr duration first_retry = std::chrono::milliseconds(100);
constexpr duration longest_retry = std::chrono::seconds(5);
/// While nothing has room, room is looked for so often.
constexpr duration room_retry = std::chrono::milliseconds(500);
/// The same while a fresh report of an engine is on its way.
constexpr duration report_retry = std::chrono::milliseconds(100);
/// A report that didn't come is asked for again after so long.
constexpr duration report_memory = std::chrono::seconds(10);
/// After a failed load, the engine is the last choice for so long.
constexpr duration failure_memory = std::chrono::seconds(30);
/// What is known of a servable that nobody wants is kept for so long.
constexpr duration track_memory = std::chrono::minutes(1);
/// A further replica is added to busy ones at most so often.
constexpr duration scale_up_interval = std::chrono::seconds(2);
/// Reports older than this say nothing about an engine being reachable.
constexpr duration report_life = std::chrono::seconds(30);

} // namespace

proposer::proposer(
    const controller::options& wanted,
    const placement_policy& policy_source,
    preloader& preload_source,
    const activity& use_source,
    const vm_watch& vm_source,
    const engine_reports& report_source,
    const load_failures& streak_source)
    : settings(wanted)
    , policy(policy_source)
    , preloads(preload_source)
    , uses(use_source)
    , vms(vm_source)
    , reports(report_source)
    , load_streaks(streak_source)
{
}

void proposer::demanded(const servable_demand& what, instant now)
{
    servable_track& track = this->tracks[what.servable];
    if (what.waiting == 0)
    {
        track.demands.erase(what.from);
        return;
    }
    track.demands[what.from] = {what.waiting, what.urgency, now};
    if (!track.wanted_since)
    {
        track.wanted_since = now;
    }
}

bool proposer::wanted(servable_id id) const
{
    const auto track = this->tracks.find(id);
    return track != this->tracks.end() && !track->second.demands.empty();
}

std::optional<priority> proposer::wanted_as(servable_id id) const
{
    if (!this->wanted(id))
    {
        return {};
    }
    return sum(this->tracks.at(id)).urgency;
}

std::vector<servable_demand> proposer::own_demands() const
{
    std::vector<servable_demand> own;
    for (const auto& [id, track] : this->tracks)
    {
        const auto place = track.demands.find(session_id{});
        if (place != track.demands.end())
        {
            const demand& item = place->second;
            own.push_back({id, item.urgency, item.waiting, session_id{}});
        }
    }
    return own;
}

bool proposer::usable(const engine_view& engine) const
{
    return engine.readable && engine.spec != nullptr &&
           !engine.spec->draining && !this->vms.leaving(engine.spec->vm);
}

void proposer::folded(const control_context& context, const fold_event& event)
{
    for (const state_change& change : event.changes)
    {
        if (change.what == state_change::kind::entity_put ||
            change.what == state_change::kind::entity_removed)
        {
            this->catalogue_changed = true;
        }
        if (change.what != state_change::kind::replica_moved)
        {
            continue;
        }
        const std::optional<replica_view> replica =
            context.state.replica(change.replica);
        if (!replica)
        {
            this->evictions.erase(change.replica);
            continue;
        }
        servable_track& track = this->tracks[replica->servable];
        track.moved = context.now;
        if (change.to == replica_state::failed)
        {
            track.failures[replica->engine] = context.now;
        }
    }
    this->note_freed(context, event);
    if (!event.handed_out)
    {
        return;
    }
    if (event.result.status != fold_status::accepted)
    {
        std::erase_if(
            this->evictions,
            [&](const auto& item)
            {
                return item.second == event.value.id.sequence;
            });
    }
    if (const auto* decide = std::get_if<replica_decide>(&event.value.payload))
    {
        servable_track& track = this->tracks[decide->servable];
        track.pending.erase(event.value.id.sequence);
        if (event.result.status == fold_status::accepted)
        {
            track.retry = {};
            return;
        }
        track.retry = std::clamp(track.retry * 2, first_retry, longest_retry);
        track.not_before = context.now + track.retry;
    }
}

/// A granted model that was given free no longer closes other engines to it.
void proposer::note_freed(
    const control_context& context, const fold_event& event)
{
    const auto* settled = std::get_if<grant_settle>(&event.value.payload);
    const bool freed = settled != nullptr && !settled->used &&
                       event.result.status == fold_status::accepted;
    if (!freed)
    {
        return;
    }
    for (auto& [id, track] : this->tracks)
    {
        if (!track.demands.empty() && track.retry <= first_retry)
        {
            track.not_before = std::min(track.not_before, context.now);
        }
    }
}

void proposer::expire(instant now)
{
    std::erase_if(
        this->asked_reports,
        [&](const auto& item)
        {
            return now >= item.second + report_memory;
        });
    for (auto& [id, track] : this->tracks)
    {
        std::erase_if(
            track.demands,
            [&](const auto& item)
            {
                return now >= item.second.heard + this->settings.demand_hold;
            });
        std::erase_if(
            track.failures,
            [&](const auto& item)
            {
                return now >= item.second + failure_memory;
            });
        if (track.demands.empty() && !this->kept_ready.contains(id))
        {
            track.wanted_since.reset();
        }
    }
    // Most servables of a fleet are idle: nothing is kept of those.
    std::erase_if(
        this->tracks,
        [&](const auto& item)
        {
            const servable_track& track = item.second;
            return track.demands.empty() && track.pending.empty() &&
                   track.failures.empty() && !track.wanted_since &&
                   now >= track.moved + track_memory && now >= track.not_before;
        });
}

void proposer::list_declared(const fleet_state& state)
{
    this->kept_ready.clear();
    this->catalogue_changed = false;
    state.for_each_servable(
        [&](const servable_view& servable)
        {
            if (servable.min_replicas != 0)
            {
                this->kept_ready.insert(servable.id);
            }
        });
}

std::vector<servable_view> proposer::list_wishes(const fleet_state& state)
{
    if (this->catalogue_changed)
    {
        this->list_declared(state);
    }
    std::set<servable_id> ids = this->kept_ready;
    for (const auto& [id, track] : this->tracks)
    {
        if (!track.demands.empty())
        {
            ids.insert(id);
        }
    }
    std::vector<servable_view> wishes;
    for (const servable_id id : ids)
    {
        const std::optional<servable_view> servable = state.servable(id);
        if (servable)
        {
            wishes.push_back(*servable);
        }
    }
    return wishes;
}

void proposer::step(const control_context& context)
{
    this->expire(context.now);
    if (!context.log_available || !context.self)
    {
        return;
    }
    std::vector<servable_view> wishes = this->list_wishes(context.state);
    std::stable_sort(
        wishes.begin(),
        wishes.end(),
        [&](const servable_view& one, const servable_view& other)
        {
            return sum(this->tracks[one.id]).urgency <
                   sum(this->tracks[other.id]).urgency;
        });
    for (const servable_view& servable : wishes)
    {
        this->step_servable(context, servable);
    }
    this->step_preloads(context);
}

proposer::wish proposer::sum(const servable_track& track)
{
    wish total;
    for (const auto& [from, item] : track.demands)
    {
        total.waiting += item.waiting;
        total.urgency = std::min(total.urgency, item.urgency);
    }
    return total;
}

proposer::census proposer::count(
    const control_context& context, const servable_view& servable) const
{
    census have;
    context.state.for_each_replica_of(
        servable.id,
        [&](const replica_view& replica)
        {
            ++have.held;
            const std::optional<engine_view> engine =
                context.state.engine(replica.engine);
            const bool moves_on = replica.state == replica_state::decided ||
                                  replica.state == replica_state::loading ||
                                  replica.state == replica_state::ready;
            if (!moves_on || !engine || !this->usable(*engine))
            {
                return;
            }
            ++have.useful;
            have.ready += replica.state == replica_state::ready ? 1 : 0;
        });
    return have;
}

std::size_t proposer::wanted_replicas(
    const servable_view& servable, const wish& what, const census& have)
{
    std::size_t want = servable.min_replicas;
    if (what.waiting != 0)
    {
        const std::size_t streams =
            std::max<std::size_t>(1, servable.max_streams);
        const std::size_t for_waiting = (what.waiting + streams - 1) / streams;
        want = std::max(want, for_waiting);
        // Ready ones are full already, or nobody would wait for long.
        const bool crowded =
            have.ready == have.useful && have.ready != 0 &&
            std::size_t(what.waiting) * 2 > have.ready * streams;
        if (crowded)
        {
            want = std::max(want, have.useful + 1);
        }
    }
    return std::min<std::size_t>(want, servable.max_replicas);
}

void proposer::step_servable(
    const control_context& context, const servable_view& servable)
{
    servable_track& track = this->tracks[servable.id];
    const wish total = sum(track);
    const std::size_t rank =
        context.rank(rendezvous_domain::proposer, servable.id.value);
    if (rank != 0)
    {
        this->forward(context, servable.id, track);
    }
    if (!servable.readable || context.now < track.not_before ||
        context.now < this->load_streaks.not_before(servable.id))
    {
        return;
    }
    const census have = this->count(context, servable);
    const std::size_t want = wanted_replicas(servable, total, have);
    std::size_t useful = have.useful + track.pending.size();
    std::size_t held = have.held + track.pending.size();
    if (useful >= want)
    {
        if (total.waiting == 0)
        {
            track.wanted_since.reset();
        }
        return;
    }
    if (!track.wanted_since)
    {
        track.wanted_since = context.now;
    }
    const bool only_crowded = have.ready != 0 && have.ready == have.useful &&
                              useful >= servable.min_replicas;
    const instant due = std::max(
        *track.wanted_since,
        track.moved + (only_crowded ? scale_up_interval : duration{}));
    // The next in line steps in when the one before it lets nothing move.
    const duration turn =
        this->settings.proposer_timeout * static_cast<duration::rep>(rank);
    if (context.now < due + turn)
    {
        return;
    }
    while (useful < want && held < servable.max_replicas)
    {
        const std::size_t before = track.pending.size();
        this->propose(context, servable, track, total.urgency);
        if (track.pending.size() == before)
        {
            return;
        }
        ++useful;
        ++held;
    }
}

void proposer::forward(
    const control_context& context, servable_id id, servable_track& track)
{
    const auto own = track.demands.find(session_id{});
    if (own == track.demands.end() ||
        context.now < track.forwarded + this->settings.demand_hold / 2)
    {
        return;
    }
    const session_id to = rendezvous_choice(
        {rendezvous_domain::proposer, id.value}, context.alive);
    const std::optional<session_view> session = context.state.session(to);
    if (!session || to == context.self)
    {
        return;
    }
    track.forwarded = context.now;
    forward_demand message;
    message.to = to;
    message.peer_address = std::string(session->peer_address);
    message.what.servable = id;
    message.what.urgency = own->second.urgency;
    message.what.waiting = own->second.waiting;
    message.what.from = context.self;
    context.out.emplace_back(std::move(message));
}

void proposer::propose(
    const control_context& context,
    const servable_view& servable,
    servable_track& track,
    priority urgency)
{
    const std::optional<place> found =
        this->choose_engine(context, servable, track, true);
    if (found)
    {
        const std::optional<engine_view> engine =
            context.state.engine(found->engine);
        this->decide(context, servable, *engine, found->base, urgency);
        return;
    }
    track.not_before = context.now + room_retry;
    const bool has_place =
        this->choose_engine(context, servable, track, false).has_value();
    if (servable.is_adapter && !has_place)
    {
        this->want_base(context, servable, urgency);
        return;
    }
    if (has_place && !this->make_room(context, servable) &&
        !this->wanted_reads(context.now).empty())
    {
        track.not_before = context.now + report_retry;
    }
}

void proposer::decide(
    const control_context& context,
    const servable_view& servable,
    const engine_view& engine,
    replica_id base,
    priority urgency)
{
    replica_decide record;
    record.servable = servable.id;
    record.servable_revision = servable.current;
    record.engine = engine.id;
    record.engine_revision = engine.current;
    record.base = base;
    record.session = context.self;
    record.urgency = urgency;
    const std::uint64_t sequence = context.submit(record);
    this->tracks[servable.id].pending[sequence] = {
        engine.id, servable.memory_mib};
}

void proposer::want_base(
    const control_context& context,
    const servable_view& adapter,
    priority urgency)
{
    servable_demand needed;
    needed.servable = adapter.base;
    needed.urgency = urgency;
    needed.waiting = 1;
    this->demanded(needed, context.now);
}

instant proposer::next_tick() const
{
    instant next = instant::max();
    for (const auto& [id, track] : this->tracks)
    {
        if (!track.demands.empty())
        {
            next = std::min(next, track.not_before);
        }
    }
    return next;
}

} // namespace roseworks::detail

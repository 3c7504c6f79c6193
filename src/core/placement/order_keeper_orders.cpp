#include "core/placement/order_ids.hpp"
#include "core/placement/order_keeper.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace roseworks::detail
{

namespace
{

/// Refusals of a load, for whatever reason, after which it has failed.
constexpr unsigned max_refusals = 5;
constexpr duration first_retry = std::chrono::milliseconds(200);
constexpr duration longest_retry = std::chrono::seconds(10);
/// After an order, its effect is looked for so long before it is ordered again.
constexpr duration reorder_interval = std::chrono::seconds(2);
/// After a stale fence: the log will say who holds the lease.
constexpr duration stale_fence_pause = std::chrono::seconds(1);

std::string unload_order_id(replica_id replica)
{
    return "unload-" + std::to_string(replica.value);
}

} // namespace

void order_keeper::forget_settled(
    const control_context& context,
    std::map<replica_on, instant>& uncertain,
    duration settle)
{
    std::erase_if(
        uncertain,
        [&](const auto& item)
        {
            const auto& [where, lost] = item;
            const std::optional<engine_view> engine =
                context.state.engine(where.first);
            const bool held = engine && engine->holder == context.self;
            return held && !context.state.replica(where.second) &&
                   context.now >= lost + settle;
        });
}

bool order_keeper::order_settled(replica_on where, instant now) const
{
    const bool ordered = std::any_of(
        this->in_flight.begin(),
        this->in_flight.end(),
        [&](const auto& item)
        {
            const order_sent& sent = item.second;
            return sent.engine == where.first && sent.replica == where.second &&
                   sent.action == order_action::load;
        });
    const auto lost = this->uncertain.find(where);
    return !ordered && (lost == this->uncertain.end() ||
                        now >= lost->second + this->settings.lost_order_grace);
}

engine_order order_keeper::make_order(
    const engine_view& engine,
    replica_id replica,
    order_action action,
    std::string order_id)
{
    engine_order order;
    order.order = ++this->last_order;
    order.order_id = std::move(order_id);
    order.engine = engine.id;
    order.address = engine.spec->address;
    order.checks_credential = engine.spec->checks_credential;
    order.held = engine.held;
    order.action = action;
    order.replica = replica;
    return order;
}

void order_keeper::send(
    const control_context& context,
    const engine_view& engine,
    replica_track& item,
    const replica_view& replica,
    order_action action)
{
    if (this->winding_down &&
        !this->uncertain.contains({engine.id, replica.id}))
    {
        return;
    }
    const std::optional<servable_view> servable =
        context.state.servable(replica.servable);
    engine_order order = this->make_order(
        engine,
        replica.id,
        action,
        action == order_action::load ? load_order_id(replica.id)
                                     : unload_order_id(replica.id));
    order.memory_mib = replica.memory_mib;
    order.is_adapter = static_cast<bool>(replica.base);
    if (servable)
    {
        order.servable = std::string(servable->name);
        order.is_adapter = servable->is_adapter;
        order.version = std::string(servable->version);
        const std::optional<servable_view> base =
            context.state.servable(servable->base);
        order.base = base ? std::string(base->name) : std::string();
    }
    else if (action == order_action::load)
    {
        // Its entity was removed since: there is nothing to load.
        item.load_failed = true;
        return;
    }
    item.order = order.order;
    item.absent = {};
    this->in_flight[order.order] = {engine.id, replica.id, action, false};
    context.out.emplace_back(std::move(order));
}

void order_keeper::answered(
    std::uint64_t order, order_outcome outcome, instant now)
{
    const auto place = this->in_flight.find(order);
    if (place == this->in_flight.end())
    {
        return;
    }
    const order_sent sent = place->second;
    this->in_flight.erase(place);

    const replica_on where{sent.engine, sent.replica};
    if (sent.action == order_action::load)
    {
        // An acceptance covers every copy of the order: they have one id.
        if (outcome == order_outcome::unknown)
        {
            this->uncertain[where] = now;
        }
        else if (outcome == order_outcome::accepted)
        {
            this->uncertain.erase(where);
        }
    }
    const auto engine = this->engines.find(sent.engine);
    if (engine == this->engines.end())
    {
        return;
    }
    engine_track& track = engine->second;
    if (sent.is_stray)
    {
        this->answered_stray(track, sent, now);
        return;
    }
    const auto item = track.replicas.find(sent.replica);
    if (item != track.replicas.end() && item->second.order == order)
    {
        this->answered_replica(item->second, sent, outcome, now);
    }
}

void order_keeper::answered_stray(
    engine_track& track, const order_sent& sent, instant now)
{
    const auto stray = track.strays.find(sent.replica);
    if (stray == track.strays.end())
    {
        return;
    }
    stray->second.order.reset();
    stray->second.reads = 0;
    stray->second.not_before = now + reorder_interval;
}

void order_keeper::back_off(replica_track& item, instant now, duration at_least)
{
    item.retry = std::clamp(item.retry * 2, first_retry, longest_retry);
    item.not_before = now + std::max(item.retry, at_least);
}

void order_keeper::answered_replica(
    replica_track& item,
    const order_sent& sent,
    order_outcome outcome,
    instant now)
{
    item.order.reset();
    item.baseline = now;
    item.absent = {};
    const bool is_load = sent.action == order_action::load;
    const bool taken =
        outcome == order_outcome::accepted || outcome == order_outcome::unknown;
    if (is_load && taken && !item.loading_since)
    {
        item.loading_since = now;
    }
    switch (outcome)
    {
    case order_outcome::accepted:
        (is_load ? item.load_accepted : item.unload_accepted) = true;
        item.present = item.present && !is_load;
        back_off(item, now, reorder_interval);
        return;
    case order_outcome::unknown:
        // The reads until then show whether it took effect.
        item.load_accepted = item.load_accepted || is_load;
        back_off(item, now, this->settings.engine_poll);
        return;
    case order_outcome::out_of_memory:
        item.load_failed = item.load_failed || is_load;
        back_off(item, now, first_retry);
        return;
    case order_outcome::stale_fence:
        back_off(item, now, stale_fence_pause);
        return;
    case order_outcome::not_found:
        item.present = item.present && is_load;
        back_off(item, now, first_retry);
        return;
    case order_outcome::refused:
        ++item.refusals;
        item.load_failed = is_load && item.refusals >= max_refusals;
        back_off(item, now, first_retry);
        return;
    case order_outcome::not_sent:
        back_off(item, now, first_retry);
        return;
    }
}

} // namespace roseworks::detail

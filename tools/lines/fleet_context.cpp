#include "tools/lines/fleet_context.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::tools
{

namespace
{

/// Kept of each model and of each server.
constexpr std::size_t most_events = 200;

template <class Event>
void keep(std::deque<Event>& events, Event event)
{
    events.push_back(std::move(event));
    if (events.size() > most_events)
        events.pop_front();
}

bool any_between(
    const std::map<std::string, std::deque<std::int64_t>, std::less<>>& by_name,
    std::string_view name,
    std::int64_t from_ms,
    std::int64_t to_ms)
{
    const auto found = by_name.find(name);
    return found != by_name.end() && std::ranges::any_of(
                                         found->second,
                                         [=](std::int64_t at_ms)
                                         {
                                             return at_ms >= from_ms &&
                                                    at_ms <= to_ms;
                                         });
}

} // namespace

void fleet_context::take(const log_line& line)
{
    // Orders of adapters leave their model where it is, and so do those that an
    // engine refused.
    const bool is_done =
        line.name == "engine_order_ended" && line.text("outcome") == "accepted";
    if (is_done && line.text("adapter").empty())
        keep(
            this->orders[std::string(line.text("model"))],
            model_order{
                line.at_ms,
                std::string(line.text("engine")),
                line.text("action") == "unload"});
    if (line.name == "engine_ordered" && line.text("action") == "load")
        keep(
            this->loads[std::string(line.text("model"))],
            load_order{
                line.at_ms,
                std::string(line.text("engine")),
                std::string(line.text("source"))});
    else if (line.name == "server_gone")
        keep(this->gone[std::string(line.text("server"))], line.at_ms);
    else if (line.name == "engine_unreached")
        keep(this->unreached[std::string(line.text("engine"))], line.at_ms);
}

std::optional<fleet_context::load_order> fleet_context::load_between(
    std::string_view model, std::int64_t from_ms, std::int64_t to_ms) const
{
    const auto found = this->loads.find(model);
    if (found == this->loads.end())
        return std::nullopt;
    std::optional<load_order> last;
    for (const load_order& order : found->second)
    {
        const bool within = order.at_ms >= from_ms && order.at_ms <= to_ms;
        if (within && (!last || order.at_ms > last->at_ms))
            last = order;
    }
    return last;
}

bool fleet_context::was_unloaded(
    std::string_view model,
    std::string_view engine,
    std::int64_t before_ms) const
{
    const auto found = this->orders.find(model);
    if (found == this->orders.end())
        return false;
    const model_order* last = nullptr;
    for (const model_order& order : found->second)
    {
        const bool counts = order.engine == engine && order.at_ms <= before_ms;
        if (counts && (last == nullptr || order.at_ms >= last->at_ms))
            last = &order;
    }
    return last != nullptr && last->unloads;
}

bool fleet_context::gone_between(
    std::string_view server, std::int64_t from_ms, std::int64_t to_ms) const
{
    return any_between(this->gone, server, from_ms, to_ms);
}

bool fleet_context::unreached_between(
    std::string_view server, std::int64_t from_ms, std::int64_t to_ms) const
{
    return any_between(this->unreached, server, from_ms, to_ms);
}

} // namespace roseworks::tools

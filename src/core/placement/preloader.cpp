#include "core/placement/preloader.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace roseworks::detail
{

namespace
{

/// Expected uses are loaded so much ahead of the load's own length.
constexpr duration margin = std::chrono::seconds(2);
/// More than so many uses aren't expected at a time.
constexpr std::size_t most_expectations = 10'000;

/// Time that a cold servable takes from remote, with its base.
duration load_time(const fleet_state& state, servable_id id)
{
    const std::optional<servable_view> view = state.servable(id);
    if (!view)
    {
        return {};
    }
    duration time = std::chrono::milliseconds(view->load_estimate_ms);
    const std::optional<servable_view> base =
        view->is_adapter ? state.servable(view->base) : std::nullopt;
    if (base)
    {
        time += std::chrono::milliseconds(base->load_estimate_ms);
    }
    return time;
}

} // namespace

void preloader::follow(placement_kind wanted)
{
    if (wanted == this->kind)
    {
        return;
    }
    this->kind = wanted;
    this->source = make_preload_source(wanted);
    this->expectations.clear();
}

void preloader::used(const servable_use& use)
{
    if (!this->source)
    {
        return;
    }
    std::vector<expected_use> found;
    this->source->used(use, found);
    for (const expected_use& item : found)
    {
        if (this->expectations.size() >= most_expectations)
        {
            return;
        }
        const auto place = std::upper_bound(
            this->expectations.begin(),
            this->expectations.end(),
            item.earliest,
            [](instant earliest, const expectation& other)
            {
                return earliest < other.use.earliest;
            });
        this->expectations.insert(place, {item, false});
    }
}

instant preloader::due_since(const fleet_state& state, const expected_use& use)
{
    return use.earliest - load_time(state, use.servable) - margin;
}

bool preloader::is_due(
    const fleet_state& state, const expected_use& use, instant now)
{
    return now >= due_since(state, use) && now <= use.latest;
}

std::vector<expected_use> preloader::due(const fleet_state& state, instant now)
{
    std::erase_if(
        this->expectations,
        [now](const expectation& item)
        {
            return now > item.use.latest;
        });
    std::vector<expected_use> found;
    for (const expectation& item : this->expectations)
    {
        if (!item.settled && is_due(state, item.use, now))
        {
            found.push_back(item.use);
        }
    }
    return found;
}

void preloader::settle(const fleet_state& state, servable_id id, instant now)
{
    for (expectation& item : this->expectations)
    {
        if (item.use.servable == id && is_due(state, item.use, now))
        {
            item.settled = true;
        }
    }
}

bool preloader::expected(
    const fleet_state& state, servable_id id, instant now) const
{
    return std::any_of(
        this->expectations.begin(),
        this->expectations.end(),
        [&](const expectation& item)
        {
            return item.use.servable == id && is_due(state, item.use, now);
        });
}

} // namespace roseworks::detail

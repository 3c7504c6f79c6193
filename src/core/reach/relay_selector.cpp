#include "core/reach/relay_selector.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

relay_selector::relay_selector(options chosen)
    : settings(std::move(chosen))
    , random(this->settings.seed)
{
}

void relay_selector::set_routers(std::vector<relay_router> all)
{
    this->routers = std::move(all);
    const auto is_gone = [this](const auto& entry)
    {
        return std::ranges::find(
                   this->routers, entry.first, &relay_router::name) ==
               this->routers.end();
    };
    std::erase_if(this->pauses, is_gone);
}

const relay_router*
relay_selector::choose(std::span<const std::string> tried, instant now)
{
    std::vector<const relay_router*> near;
    std::vector<const relay_router*> far;
    for (const relay_router& one : this->routers)
    {
        const auto paused = this->pauses.find(one.name);
        const bool is_paused =
            paused != this->pauses.end() && now < paused->second.until;
        const bool was_tried =
            std::find(tried.begin(), tried.end(), one.name) != tried.end();
        if (is_paused || was_tried)
            continue;
        const bool is_near = one.data_centre == this->settings.data_centre;
        (is_near ? near : far).push_back(&one);
    }
    // The network of a whole data centre may be cut.
    const bool prefers_near = tried.empty();
    const std::vector<const relay_router*>& preferred =
        prefers_near ? near : far;
    const std::vector<const relay_router*>& rest = prefers_near ? far : near;
    const std::vector<const relay_router*>& best =
        preferred.empty() ? rest : preferred;
    if (best.empty())
        return nullptr;
    const std::uint64_t high = this->random() >> 32;
    return best[static_cast<std::size_t>((high * best.size()) >> 32)];
}

void relay_selector::succeeded(const std::string& router)
{
    this->pauses.erase(router);
}

void relay_selector::failed(const std::string& router, instant now)
{
    pause& one = this->pauses[router];
    one.length = std::clamp(
        one.length * 2, this->settings.min_pause, this->settings.max_pause);
    one.until = now + one.length;
}

} // namespace roseworks

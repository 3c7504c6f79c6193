#include "core/pace/pace_observer.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace roseworks
{

std::uint64_t pace_model(std::string_view servable)
{
    const auto service_end = servable.find('/');
    const auto model_end = service_end == std::string_view::npos
                               ? service_end
                               : servable.find('/', service_end + 1);
    const std::string_view key = servable.substr(0, model_end);
    return XXH3_64bits(key.data(), key.size());
}

pace_observer::pace_observer(options limits)
    : settings(limits)
{
}

void pace_observer::add(
    std::uint64_t run, std::uint64_t model, std::uint32_t events, duration time)
{
    const std::pair key(run, model);
    const bool is_full = this->sums.size() >= this->settings.max_samples;
    if (events == 0 || (is_full && !this->sums.contains(key)))
        return;
    sum& one = this->sums[key];
    one.events += events;
    one.time += time;
}

std::vector<pace_sample> pace_observer::take()
{
    std::vector<pace_sample> all;
    all.reserve(this->sums.size());
    for (const auto& [key, one] : this->sums)
        all.push_back(
            {key.first,
             key.second,
             one.events,
             static_cast<std::uint64_t>(one.time.count())});
    this->sums.clear();
    return all;
}

} // namespace roseworks

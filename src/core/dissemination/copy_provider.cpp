#include "core/dissemination/copy_provider.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

copy_provider::copy_provider(
    const registry_change_tracker& changes,
    const configuration_history& versions)
    : registry(changes)
    , configurations(versions)
{
}

std::shared_ptr<const directory_copy> copy_provider::make_copy(
    const copy_request& request, const topic_state& state, instant now)
{
    if (state.age_us < 0)
        return nullptr;
    const bool has_newer = !request.knows_any || state.next > request.next;
    if (has_newer && request.topic == directory_topic::deployment)
        return this->copy_configuration(request, state, now);
    directory_copy copy;
    copy.state = state;
    if (has_newer && request.topic == directory_topic::registry)
    {
        auto newer_changes = request.knows_any
                                 ? this->registry.since(request.next)
                                 : std::nullopt;
        if (!newer_changes)
            return this->full_copy(state, now);
        copy.is_whole = false;
        copy.servers = std::move(*newer_changes);
    }
    return std::make_shared<const directory_copy>(std::move(copy));
}

std::shared_ptr<const directory_copy> copy_provider::copy_configuration(
    const copy_request& request, const topic_state& state, instant now)
{
    const std::uint64_t known = request.knows_any ? request.digest : 0;
    const std::uint64_t newest = this->configurations.digest();
    std::erase_if(
        this->configuration_copies,
        [now, newest](const configuration_copy& one)
        {
            return one.newest_digest != newest ||
                   now >= one.made_at + full_copy_lifetime;
        });
    const auto made = std::ranges::find(
        this->configuration_copies, known, &configuration_copy::known_digest);
    if (made != this->configuration_copies.end())
        return made->copy;
    directory_copy copy;
    copy.state = state;
    // State the age that the copy has when it is sent for the last time.
    copy.state.age_us += full_copy_lifetime.count();
    copy.offset = this->configurations.offset();
    if (known != 0)
        copy.changes = this->configurations.since(known);
    if (copy.changes.empty() && known != newest)
        copy.configuration = this->configurations.text();
    auto shared = std::make_shared<const directory_copy>(std::move(copy));
    this->configuration_copies.push_back({known, newest, now, shared});
    return shared;
}

std::shared_ptr<const directory_copy>
copy_provider::full_copy(const topic_state& state, instant now)
{
    if (this->cached_copy && now < this->cached_at + full_copy_lifetime)
        return this->cached_copy;
    directory_copy copy;
    copy.state = state;
    // State the age that the copy has when it is sent for the last time.
    copy.state.age_us += full_copy_lifetime.count();
    copy.servers = this->registry.all();
    copy.removals_from =
        this->registry.removals_known_from().value_or(state.next);
    this->cached_copy = std::make_shared<const directory_copy>(std::move(copy));
    this->cached_at = now;
    return this->cached_copy;
}

} // namespace roseworks

#include "core/dissemination/copy_provider.hpp"

#include <utility>

namespace roseworks
{

copy_provider::copy_provider(const registry_change_tracker& changes)
    : registry(changes)
{
}

void copy_provider::set_configuration(
    std::string_view text, std::uint64_t offset)
{
    this->configuration = text;
    this->configuration_offset = offset;
}

std::shared_ptr<const directory_copy> copy_provider::make_copy(
    const copy_request& request, const topic_state& state, instant now)
{
    if (state.age_us < 0)
        return nullptr;
    directory_copy copy;
    copy.state = state;
    const bool has_newer = !request.knows_any || state.next > request.next;
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
    if (has_newer && request.topic == directory_topic::deployment)
    {
        copy.configuration = this->configuration;
        copy.offset = this->configuration_offset;
    }
    return std::make_shared<const directory_copy>(std::move(copy));
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

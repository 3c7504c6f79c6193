#include "core/dissemination/copy_giver.hpp"

#include <utility>

namespace roseworks
{

copy_giver::copy_giver(const registry_changes& changes)
    : registry(changes)
{
}

void copy_giver::configuration_read(std::string_view text, std::uint64_t offset)
{
    this->configuration = text;
    this->configuration_offset = offset;
}

std::shared_ptr<const directory_copy>
copy_giver::give(const copy_ask& ask, const topic_state& state, instant now)
{
    if (state.age_us < 0)
        return nullptr;
    directory_copy copy;
    copy.state = state;
    const bool is_news = !ask.knows_any || state.next > ask.next;
    if (is_news && ask.topic == directory_topic::registry)
    {
        auto changed =
            ask.knows_any ? this->registry.since(ask.next) : std::nullopt;
        if (!changed)
            return this->whole(state, now);
        copy.is_whole = false;
        copy.servers = std::move(*changed);
    }
    if (is_news && ask.topic == directory_topic::deployment)
    {
        copy.configuration = this->configuration;
        copy.offset = this->configuration_offset;
    }
    return std::make_shared<const directory_copy>(std::move(copy));
}

std::shared_ptr<const directory_copy>
copy_giver::whole(const topic_state& state, instant now)
{
    if (this->last_whole && now < this->last_whole_made + whole_kept)
        return this->last_whole;
    directory_copy copy;
    copy.state = state;
    // As old as it will be when it is given for the last time.
    copy.state.age_us += whole_kept.count();
    copy.servers = this->registry.all();
    copy.removals_from = this->registry.remembered_from().value_or(state.next);
    this->last_whole = std::make_shared<const directory_copy>(std::move(copy));
    this->last_whole_made = now;
    return this->last_whole;
}

} // namespace roseworks

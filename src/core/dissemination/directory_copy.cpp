#include "core/dissemination/directory_copy.hpp"

namespace roseworks
{

copy_use judge(
    const directory_copy& copy, directory_topic topic, const topic_state& known)
{
    const bool knows_any = known.age_us >= 0;
    // Updates may have arrived while the copy was in transit.
    if (copy.state.age_us < 0 || (knows_any && copy.state.next < known.next))
        return copy_use::none;
    if (knows_any && copy.state.next == known.next)
        return copy_use::confirms;
    const bool is_deployment = topic == directory_topic::deployment;
    if (is_deployment && copy.configuration.empty())
        return knows_any ? copy_use::confirms : copy_use::none;
    if (is_deployment)
        return copy_use::whole;
    if (!copy.is_whole)
        return knows_any ? copy_use::changes : copy_use::none;
    return copy.servers.empty() ? copy_use::none : copy_use::whole;
}

std::vector<server_entry> entries_of(const directory_copy& copy)
{
    std::vector<server_entry> entries;
    for (const registry_change& change : copy.servers)
    {
        if (change.what == registry_change::kind::gone)
            continue;
        entries.push_back(change.entry);
        entries.back().heard = change.offset;
    }
    return entries;
}

} // namespace roseworks

#include "core/dissemination/directory_copy.hpp"

namespace roseworks
{

copy_verdict evaluate_copy(
    const directory_copy& copy, directory_topic topic, const topic_state& known)
{
    const bool knows_any = known.age_us >= 0;
    // Updates may have arrived while the copy was in transit.
    if (copy.state.age_us < 0 || (knows_any && copy.state.next < known.next))
        return copy_verdict::none;
    if (knows_any && copy.state.next == known.next)
        return copy_verdict::confirms;
    const bool is_deployment = topic == directory_topic::deployment;
    if (is_deployment && !copy.configuration.empty())
        return copy_verdict::whole;
    if (is_deployment && !knows_any)
        return copy_verdict::none;
    if (is_deployment)
        return copy.changes.empty() ? copy_verdict::confirms
                                    : copy_verdict::changes;
    if (!copy.is_whole)
        return knows_any ? copy_verdict::changes : copy_verdict::none;
    return copy.servers.empty() ? copy_verdict::none : copy_verdict::whole;
}

std::vector<server_entry> entries_of(const directory_copy& copy)
{
    std::vector<server_entry> entries;
    for (const registry_change& change : copy.servers)
    {
        if (change.what == registry_change::kind::gone)
            continue;
        entries.push_back(change.entry);
        entries.back().registry_revision = change.offset;
    }
    return entries;
}

} // namespace roseworks

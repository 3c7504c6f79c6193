#include "core/dissemination/directory_update.hpp"

#include <utility>

namespace roseworks
{

std::size_t changes_bytes(const directory_update& update)
{
    std::size_t sum = 0;
    for (const registry_change& change : update.changes)
        sum += change.bytes();
    return sum;
}

std::vector<directory_update>
split(const directory_update& update, std::size_t max_bytes)
{
    directory_update part = update;
    part.changes.clear();
    std::vector<directory_update> parts;
    std::size_t used = 0;
    for (const configuration_change& change : update.configuration)
        used += bytes_of(change);
    for (const registry_change& change : update.changes)
    {
        const std::size_t bytes = change.bytes();
        const bool is_empty =
            part.changes.empty() && part.configuration.empty();
        if (!is_empty && used + bytes > max_bytes)
        {
            part.registry.next = part.changes.empty()
                                     ? part.registry_from
                                     : part.changes.back().offset + 1;
            parts.push_back(part);
            part.configuration.clear();
            part.registry_from = part.registry.next;
            part.changes.clear();
            used = 0;
        }
        part.changes.push_back(change);
        used += bytes;
    }
    part.registry.next = update.registry.next;
    parts.push_back(std::move(part));
    return parts;
}

} // namespace roseworks

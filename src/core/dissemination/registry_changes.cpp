#include "core/dissemination/registry_changes.hpp"

#include <utility>

namespace roseworks
{

namespace
{

server_entry without_copies(const server_entry& entry)
{
    server_entry made = entry;
    made.holdings.in_memory.clear();
    made.holdings.on_disk.clear();
    made.holdings.copies_known = false;
    return made;
}

} // namespace

void registry_changes::listed(std::span<const server_entry> all)
{
    this->known.clear();
    this->collected.clear();
    for (const server_entry& entry : all)
        this->known.insert_or_assign(entry.id, without_copies(entry));
}

void registry_changes::read(const server_entry& entry)
{
    server_entry told = without_copies(entry);
    const auto found = this->known.find(entry.id);
    if (found != this->known.end() && found->second == told)
        return;
    this->known.insert_or_assign(entry.id, told);
    this->collected.push_back({told.heard, false, std::move(told)});
}

void registry_changes::removed(std::string_view id, std::uint64_t offset)
{
    const auto found = this->known.find(id);
    if (found != this->known.end())
        this->known.erase(found);
    registry_change change{offset, true, {}};
    change.entry.id = id;
    this->collected.push_back(std::move(change));
}

std::vector<registry_change> registry_changes::take()
{
    return std::exchange(this->collected, {});
}

} // namespace roseworks

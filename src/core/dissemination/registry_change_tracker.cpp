#include "core/dissemination/registry_change_tracker.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

server_entry without_copies(const server_entry& entry)
{
    server_entry result = entry;
    result.holdings.in_memory.clear();
    result.holdings.on_disk.clear();
    result.holdings.copies_known = false;
    return result;
}

registry_change gone_change(std::string_view id, std::uint64_t offset)
{
    registry_change result{offset, registry_change::kind::gone, {}};
    result.entry.id = id;
    return result;
}

/// @return Whether two entries differ in their models at most.
bool same_but_models(const server_entry& before, const server_entry& now)
{
    server_entry moved = now;
    moved.holdings = before.holdings;
    return moved == before;
}

} // namespace

void registry_change_tracker::listed(std::span<const server_entry> all)
{
    this->known.clear();
    this->pending.clear();
    // The pending changes were discarded, so they must not be announced as
    // complete from this offset on.
    this->first_unannounced.reset();
    this->removals.clear();
    this->removals_from.reset();
    for (const server_entry& entry : all)
        this->known.insert_or_assign(entry.id, without_copies(entry));
}

void registry_change_tracker::set_listing_offset(std::uint64_t offset)
{
    if (!this->removals_from)
        this->removals_from = offset;
}

void registry_change_tracker::read(const server_entry& entry)
{
    using enum registry_change::kind;
    server_entry routing_entry = without_copies(entry);
    const auto found = this->known.find(entry.id);
    const bool is_known = found != this->known.end();
    if (is_known && found->second == routing_entry)
        return;
    const bool models_only =
        is_known && same_but_models(found->second, routing_entry);
    this->known.insert_or_assign(entry.id, routing_entry);
    this->add_pending(
        {routing_entry.registry_revision,
         models_only ? models : whole,
         std::move(routing_entry)});
}

void registry_change_tracker::removed(std::string_view id, std::uint64_t offset)
{
    const auto found = this->known.find(id);
    if (found != this->known.end())
        this->known.erase(found);
    this->remember_removal(id, offset);
    this->add_pending(gone_change(id, offset));
}

void registry_change_tracker::add_pending(registry_change change)
{
    using enum registry_change::kind;
    const auto before = this->pending.find(change.entry.id);
    const bool full_entry_pending = before != this->pending.end() &&
                                    before->second.what != models &&
                                    change.what == models;
    if (full_entry_pending)
        change.what = whole;
    this->pending.insert_or_assign(change.entry.id, std::move(change));
}

std::vector<registry_change> registry_change_tracker::all() const
{
    std::vector<registry_change> entries;
    entries.reserve(this->known.size());
    for (const auto& [id, entry] : this->known)
        entries.push_back(
            {entry.registry_revision, registry_change::kind::whole, entry});
    for (const removal& item : this->removals)
        entries.push_back(gone_change(item.id, item.offset));
    return entries;
}

void registry_change_tracker::import_removals(
    std::uint64_t from, std::span<const registry_change> changed)
{
    this->removals_from = from;
    for (const registry_change& change : changed)
    {
        if (change.what == registry_change::kind::gone)
            this->remember_removal(change.entry.id, change.offset);
    }
}

void registry_change_tracker::remember_removal(
    std::string_view id, std::uint64_t offset)
{
    constexpr std::size_t max_removals = 512;
    this->removals.push_back({std::string(id), offset});
    if (this->removals.size() <= max_removals)
        return;
    this->removals_from = this->removals.front().offset + 1;
    this->removals.pop_front();
}

std::optional<std::vector<registry_change>>
registry_change_tracker::since(std::uint64_t offset) const
{
    if (!this->removals_from || offset < *this->removals_from)
        return std::nullopt;
    std::vector<registry_change> changes;
    for (const auto& [id, entry] : this->known)
    {
        if (entry.registry_revision >= offset)
            changes.push_back(
                {entry.registry_revision, registry_change::kind::whole, entry});
    }
    for (const removal& item : this->removals)
    {
        if (item.offset < offset || this->known.contains(item.id))
            continue;
        changes.push_back(gone_change(item.id, item.offset));
    }
    std::ranges::sort(changes, {}, &registry_change::offset);
    return changes;
}

void registry_change_tracker::mark_unannounced_from(std::uint64_t offset)
{
    if (!this->first_unannounced)
        this->first_unannounced = offset;
}

bool registry_change_tracker::only_model_changes() const
{
    return !this->pending.empty() &&
           std::ranges::all_of(
               this->pending,
               [](const auto& item)
               {
                   return item.second.what == registry_change::kind::models;
               });
}

std::optional<server_entry>
registry_change_tracker::apply_announced(const registry_change& change)
{
    using enum registry_change::kind;
    const auto found = this->known.find(change.entry.id);
    const bool is_known = found != this->known.end();
    if (change.what == gone && is_known)
        this->known.erase(found);
    if (change.what == gone)
        this->remember_removal(change.entry.id, change.offset);
    if (change.what == gone || (change.what == models && !is_known))
        return std::nullopt;
    server_entry now = change.what == whole ? change.entry : found->second;
    now.holdings = change.entry.holdings;
    now.holdings.copies_known = false;
    now.registry_revision = change.offset;
    this->known.insert_or_assign(now.id, now);
    return now;
}

std::vector<registry_change> registry_change_tracker::take_unannounced()
{
    std::vector<registry_change> changes;
    for (auto& [id, change] : this->pending)
        changes.push_back(std::move(change));
    this->pending.clear();
    this->first_unannounced.reset();
    std::ranges::sort(changes, {}, &registry_change::offset);
    return changes;
}

} // namespace roseworks

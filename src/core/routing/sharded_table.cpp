#include "core/routing/sharded_table.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::detail
{

namespace
{

using fingerprints = table_snapshot::fingerprints;

bool contains(const fingerprints& sorted, fingerprint wanted)
{
    return std::binary_search(sorted.begin(), sorted.end(), wanted);
}

/// @return The set with the fingerprint added or removed; null when this would
///         change nothing.
std::shared_ptr<const fingerprints>
changed(const fingerprints& sorted, fingerprint one, bool wanted)
{
    if (contains(sorted, one) == wanted)
    {
        return nullptr;
    }
    fingerprints copy = sorted;
    const auto at = std::lower_bound(copy.begin(), copy.end(), one);
    if (wanted)
    {
        copy.insert(at, one);
    }
    else
    {
        copy.erase(at);
    }
    return std::make_shared<const fingerprints>(std::move(copy));
}

template <class Map>
const typename Map::mapped_type* lookup(const Map& map, std::string_view name)
{
    const auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

const servable_routes*
table_snapshot::find_servable(std::string_view name) const
{
    return this->names.find(name, this->servables);
}

const servable_routes* table_snapshot::find_servable(servable_id id) const
{
    return this->servables.find(id);
}

const service_routes* table_snapshot::find_service(std::string_view name) const
{
    return lookup(*this->services, name);
}

const caller_spec* table_snapshot::find_caller(std::string_view name) const
{
    return lookup(*this->callers, name);
}

bool table_snapshot::is_blocked(fingerprint request) const
{
    return contains(*this->blocked, request);
}

bool table_snapshot::is_suspect(fingerprint request) const
{
    return contains(*this->suspects, request);
}

bool table_snapshot::log_available() const
{
    return this->log_was_available;
}

std::vector<std::string> table_snapshot::servable_names() const
{
    std::vector<std::string> sorted;
    this->servables.for_each(
        [&sorted](const servable_routes& entry)
        {
            sorted.emplace_back(entry.name.view());
        });
    std::sort(sorted.begin(), sorted.end());
    return sorted;
}

sharded_table::sharded_table()
{
    this->clear();
}

void sharded_table::clear()
{
    const bool available = this->working.log_was_available;
    this->working = table_snapshot{};
    this->working.log_was_available = available;
    this->working.services =
        std::make_shared<const table_snapshot::service_map>();
    this->working.callers =
        std::make_shared<const table_snapshot::caller_map>();
    this->working.blocked = std::make_shared<const fingerprints>();
    this->working.suspects = std::make_shared<const fingerprints>();
    this->published.reset();
}

void sharded_table::retain_names(std::shared_ptr<const void> owner)
{
    this->working.names_owner = std::move(owner);
}

bool sharded_table::retains(const std::shared_ptr<const void>& owner) const
{
    return owner != nullptr && this->working.names_owner == owner;
}

void sharded_table::put(servable_routes entry)
{
    const servable_id id = entry.id;
    const servable_routes* before = this->find(id);
    if (before == nullptr)
    {
        this->working.names.insert(entry.name, id, this->version);
    }
    else if (before->name != entry.name)
    {
        this->working.names.erase(before->name, id, this->version);
        this->working.names.insert(entry.name, id, this->version);
    }
    entry.ready.shrink_to_fit();
    this->working.servables.edit(id, this->version) = std::move(entry);
    this->published.reset();
}

void sharded_table::erase(servable_id id)
{
    const servable_routes* before = this->find(id);
    if (before == nullptr)
    {
        return;
    }
    this->working.names.erase(before->name, id, this->version);
    this->working.servables.erase(id, this->version);
    this->published.reset();
}

const servable_routes* sharded_table::find(servable_id id) const
{
    return this->working.servables.find(id);
}

void sharded_table::put(service_routes entry)
{
    auto copy = *this->working.services;
    std::string name = entry.name;
    copy.insert_or_assign(std::move(name), std::move(entry));
    this->working.services =
        std::make_shared<const table_snapshot::service_map>(std::move(copy));
    this->published.reset();
}

void sharded_table::erase_service(service_id id)
{
    auto copy = *this->working.services;
    std::erase_if(
        copy,
        [id](const auto& entry)
        {
            return entry.second.id == id;
        });
    this->working.services =
        std::make_shared<const table_snapshot::service_map>(std::move(copy));
    this->published.reset();
}

void sharded_table::put_caller(std::string_view name, const caller_spec& spec)
{
    auto copy = *this->working.callers;
    copy.insert_or_assign(std::string(name), spec);
    this->working.callers =
        std::make_shared<const table_snapshot::caller_map>(std::move(copy));
    this->published.reset();
}

void sharded_table::erase_caller(std::string_view name)
{
    auto copy = *this->working.callers;
    copy.erase(std::string(name));
    this->working.callers =
        std::make_shared<const table_snapshot::caller_map>(std::move(copy));
    this->published.reset();
}

void sharded_table::set_blocked(fingerprint request, bool blocked)
{
    if (auto next = changed(*this->working.blocked, request, blocked))
    {
        this->working.blocked = std::move(next);
        this->published.reset();
    }
}

void sharded_table::set_suspect(fingerprint request, bool suspect)
{
    if (auto next = changed(*this->working.suspects, request, suspect))
    {
        this->working.suspects = std::move(next);
        this->published.reset();
    }
}

const std::vector<fingerprint>& sharded_table::blocked() const
{
    return *this->working.blocked;
}

const std::vector<fingerprint>& sharded_table::suspects() const
{
    return *this->working.suspects;
}

void sharded_table::set_log_available(bool available)
{
    if (this->working.log_was_available != available)
    {
        this->working.log_was_available = available;
        this->published.reset();
    }
}

routing_table_ptr sharded_table::publish()
{
    if (!this->published)
    {
        this->published = std::make_shared<const table_snapshot>(this->working);
        ++this->version;
    }
    return this->published;
}

} // namespace roseworks::detail

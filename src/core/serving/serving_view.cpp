#include "core/serving/serving_view.hpp"

#include "core/serving/servable_key.hpp"

#include <algorithm>
#include <limits>
#include <unordered_set>
#include <utility>

namespace roseworks
{

namespace
{

/// Initial estimate of the time until a model that no engine has can run: the
/// wait for a free engine and the load from its disk.
constexpr std::uint32_t first_cold_estimate_ms = 1000;

/// Requests that this router sends to a plain backend server beyond its slots.
/// The server queues a few, and slots become free while a request is in
/// transit.
constexpr std::uint16_t plain_queue_allowance = 2;

std::uint16_t clamped(std::size_t value)
{
    constexpr std::size_t most = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(value, most));
}

/// Keeps the known copies when an update omits them.
void keep_copies(engine_holdings& holdings, const engine_holdings& before)
{
    holdings.in_memory = before.in_memory;
    holdings.on_disk = before.on_disk;
    holdings.copies_known = before.copies_known;
}

} // namespace

serving_view::serving_view(options chosen)
    : settings(chosen)
{
}

bool serving_view::deployment_read(std::shared_ptr<const deployment> next)
{
    if (this->current && next->version <= this->current->version)
        return false;
    this->current = std::move(next);
    this->make_catalogue();
    return true;
}

void serving_view::make_catalogue()
{
    auto made = std::make_shared<servable_catalogue>();
    made->routes = std::make_shared<route_index>(this->current);
    made->organisations = std::make_shared<organisation_index>(this->current);
    const auto add = [&](std::string key, bool is_adapter, std::size_t slots)
    {
        servable_id& id = this->servable_numbers[key];
        if (!id)
            id = servable_id(
                static_cast<std::uint32_t>(this->servable_numbers.size()));
        servable_routes cold;
        cold.id = id;
        cold.load_estimate_ms = first_cold_estimate_ms;
        cold.max_streams = clamped(slots);
        cold.max_replicas = 1;
        cold.is_adapter = is_adapter;
        cold.name = key;
        made->servables.emplace(std::move(key), std::move(cold));
    };
    for (const service_profile& service : this->current->services)
    {
        if (!service.engine)
            continue;
        made->engine_services.insert(service.name);
        for (const model_profile& model : service.engine->models)
        {
            add(servable_key(service.name, model.name),
                false,
                service.engine->slots);
            for (std::uint32_t i = 1; i <= model.adapters; ++i)
            {
                const std::string name = model.name + "/a" + std::to_string(i);
                add(servable_key(service.name, name),
                    true,
                    service.engine->slots);
            }
        }
    }
    this->catalogue = std::move(made);
}

bool serving_view::entry_read(server_entry entry)
{
    const auto found = this->known.find(entry.id);
    if (found == this->known.end())
    {
        server added;
        engine_id& number = this->numbers[entry.id];
        if (!number)
            number =
                engine_id(static_cast<std::uint32_t>(this->numbers.size()));
        added.engine = number;
        added.run = replica_id(++this->last_run);
        added.entry = std::move(entry);
        const std::string id = added.entry.id;
        this->settle(this->known.emplace(id, std::move(added)).first->second);
        return true;
    }
    server& one = found->second;
    if (entry.heard < one.entry.heard)
        return false; // outdated entry from a slow listing
    const bool revived = one.lapses.has_value();
    one.lapses.reset();
    one.entry.heard = entry.heard;
    if (!entry.holdings.copies_known && one.entry.born_ms == entry.born_ms)
        keep_copies(entry.holdings, one.entry.holdings);
    const bool was_superseded = one.superseded;
    if (was_superseded)
        this->find_superseded(one.entry.address);
    if (one.entry == entry)
        return revived || one.superseded != was_superseded;
    const bool restarted = one.entry.born_ms != entry.born_ms;
    if (restarted && entry.born_ms < one.entry.born_ms)
        return revived; // late entry of an earlier run
    if (restarted)
    {
        one.run = replica_id(++this->last_run);
        one.owned.reset();
    }
    const std::string before = one.entry.address;
    if (one.entry.holdings.resident != entry.holdings.resident)
        one.refused.clear();
    one.entry = std::move(entry);
    if (before != one.entry.address)
    {
        this->settle_without(one.entry.id, before);
        this->settle(one);
    }
    return true;
}

bool serving_view::entry_removed(std::string_view id, instant now)
{
    const auto found = this->known.find(id);
    if (found == this->known.end())
        return false;
    if (now < this->revival_until)
    {
        found->second.lapses = this->revival_until;
        return false;
    }
    const std::string address = found->second.entry.address;
    this->known.erase(found);
    this->settle_without(id, address);
    return true;
}

bool serving_view::entries_listed(std::vector<server_entry> all, instant now)
{
    std::unordered_set<std::string_view> listed;
    for (const server_entry& entry : all)
        listed.insert(entry.id);
    std::vector<std::string> missing;
    for (const auto& [id, one] : this->known)
    {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    bool changed = false;
    for (const std::string& id : missing)
        changed = this->entry_removed(id, now) || changed;
    for (server_entry& entry : all)
        changed = this->entry_read(std::move(entry)) || changed;
    return changed;
}

void serving_view::registry_back(instant now)
{
    this->revival_until = now + this->settings.revival;
}

bool serving_view::residency_heard(engine_residency told, instant now)
{
    const auto found = this->known.find(told.engine);
    if (found == this->known.end() ||
        found->second.entry.born_ms != told.born_ms)
        return false;
    server& one = found->second;
    if (one.owned && one.owned->tenure == told.tenure &&
        one.owned->revision == told.revision)
    {
        one.owned_at = now;
        return false;
    }
    if (one.owned && !told.newer_than(*one.owned))
        return false;
    const bool changed =
        !one.refused.empty() || this->resident(one, now) != told.resident;
    one.refused.clear();
    one.owned = std::move(told);
    one.owned_at = now;
    one.owned_since = now;
    return changed;
}

bool serving_view::outlook_heard(
    const std::string& model, instant ready, instant now)
{
    const auto [place, added] =
        this->outlooks.try_emplace(model, outlook{ready, now});
    outlook& one = place->second;
    one.heard = now;
    const duration shift =
        ready > one.ready ? ready - one.ready : one.ready - ready;
    if (!added && shift < this->settings.outlook_step)
        return false;
    one.ready = ready;
    return true;
}

bool serving_view::contradicted(
    std::string_view engine, std::string_view servable, instant now)
{
    const auto found = this->known.find(engine);
    if (found == this->known.end())
        return false;
    server& one = found->second;
    const bool is_new =
        one.owned && now - one.owned_since < this->settings.new_word;
    one.refused[std::string(servable)] =
        now + (is_new ? this->settings.refusal_lifetime
                      : this->settings.outdated_refusal_lifetime);
    return true;
}

std::optional<instant> serving_view::unreached(std::string_view id, instant now)
{
    const auto found = this->known.find(id);
    if (found == this->known.end() || !this->catalogue)
        return std::nullopt;
    server& one = found->second;
    const bool engine =
        this->catalogue->engine_services.contains(one.entry.service);
    if (!engine || one.unreached_until)
        return std::nullopt;
    if (now - one.last_unreached > this->settings.unreached_memory)
        one.unreached_for = duration::zero();
    one.last_unreached = now;
    one.unreached_for = std::clamp(
        one.unreached_for * 2,
        this->settings.first_unreached,
        this->settings.longest_unreached);
    one.unreached_until = now + one.unreached_for;
    return one.unreached_until;
}

bool serving_view::tick(instant now)
{
    std::vector<std::string> lapsed;
    for (const auto& [id, one] : this->known)
    {
        if (one.lapses && *one.lapses <= now)
            lapsed.push_back(id);
    }
    for (const std::string& id : lapsed)
    {
        const auto found = this->known.find(id);
        const std::string address = found->second.entry.address;
        this->known.erase(found);
        this->settle_without(id, address);
    }
    bool changed = !lapsed.empty();
    changed = std::erase_if(
                  this->outlooks,
                  [&](const auto& entry)
                  {
                      return now - entry.second.heard >=
                             this->settings.outlook_lifetime;
                  }) != 0 ||
              changed;
    for (auto& [id, one] : this->known)
    {
        if (one.unreached_until && *one.unreached_until <= now)
        {
            one.unreached_until.reset();
            changed = true;
        }
        changed = std::erase_if(
                      one.refused,
                      [now](const auto& entry)
                      {
                          return entry.second <= now;
                      }) != 0 ||
                  changed;
        if (!one.owned ||
            now - one.owned_at < this->settings.residency_lifetime)
            continue;
        one.owned.reset();
        changed = true;
    }
    return changed;
}

const std::vector<resident_model>&
serving_view::resident(const server& one, instant now) const
{
    const bool fresh =
        one.owned && now - one.owned_at < this->settings.residency_lifetime;
    return fresh ? one.owned->resident : one.entry.holdings.resident;
}

void serving_view::settle(const server& arrived)
{
    const std::string address = arrived.entry.address;
    this->at[address].insert(arrived.entry.id);
    this->find_superseded(address);
}

void serving_view::settle_without(
    std::string_view id, const std::string& address)
{
    const auto found = this->at.find(address);
    if (found == this->at.end())
        return;
    const auto gone = found->second.find(id);
    if (gone != found->second.end())
        found->second.erase(gone);
    if (found->second.empty())
        this->at.erase(found);
    else
        this->find_superseded(address);
}

void serving_view::find_superseded(const std::string& address)
{
    const auto found = this->at.find(address);
    if (found == this->at.end())
        return;
    std::uint64_t latest = 0;
    for (const std::string& id : found->second)
        latest = std::max(latest, this->known.find(id)->second.entry.heard);
    for (const std::string& id : found->second)
    {
        server& one = this->known.find(id)->second;
        one.superseded = one.entry.heard < latest;
    }
}

serving_table_ptr serving_view::make_table(
    bool orders_possible,
    const std::unordered_set<fingerprint>& blocked,
    instant now) const
{
    if (!this->current)
        return nullptr;
    serving_table::parts made;
    made.catalogue = this->catalogue;
    made.orders_possible = orders_possible;
    made.blocked = blocked;
    for (const auto& [model, expected] : this->outlooks)
        made.expected.emplace(model, expected.ready);
    for (const service_profile& service : this->current->services)
    {
        service_routes& entry = made.services[service.name];
        entry.name = service.name;
    }
    for (const auto& [id, one] : this->known)
    {
        if (one.superseded)
            continue;
        made.servers[one.entry.address] = {
            id, one.entry.service, one.entry.data_centre};
        if (one.entry.leaving)
            continue;
        if (this->is_engine(one))
        {
            if (!one.unreached_until)
                this->add_engine(made, one, now);
        }
        else
            this->add_plain(made, one);
    }
    return std::make_shared<const serving_table>(std::move(made));
}

bool serving_view::is_engine(const server& one) const
{
    return this->catalogue &&
           this->catalogue->engine_services.contains(one.entry.service);
}

void serving_view::add_engine(
    serving_table::parts& into, const server& one, instant now) const
{
    for (const resident_model& model : this->resident(one, now))
    {
        this->add_servable(into, one, model.name);
        for (const std::string& adapter : model.adapters)
            this->add_servable(into, one, model.name + "/" + adapter);
    }
}

void serving_view::add_servable(
    serving_table::parts& into,
    const server& one,
    std::string_view servable) const
{
    std::string key = servable_key(one.entry.service, servable);
    const auto cold = this->catalogue->servables.find(key);
    if (cold == this->catalogue->servables.end() || one.refused.contains(key))
        return;
    servable_routes& entry =
        into.resident.try_emplace(std::move(key), cold->second).first->second;
    entry.max_replicas = std::numeric_limits<std::uint16_t>::max();
    entry.ready.push_back(
        {one.run,
         one.engine,
         one.entry.address,
         one.entry.data_centre,
         one.entry.id});
}

void serving_view::add_plain(
    serving_table::parts& into, const server& one) const
{
    const auto found = into.services.find(one.entry.service);
    if (found == into.services.end())
        return;
    service_routes& entry = found->second;
    entry.max_streams = clamped(one.entry.slots + plain_queue_allowance);
    entry.backends.push_back(
        {one.entry.address, one.entry.id, one.entry.data_centre});
}

} // namespace roseworks

#include "core/serving/serving_view.hpp"

#include "core/serving/servable_key.hpp"
#include "core/serving/server_software.hpp"

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
constexpr std::uint32_t initial_load_estimate_ms = 1000;

/// Requests that this router sends to a plain backend server beyond its slots.
/// The server queues a few, and slots become free while a request is in
/// transit.
constexpr std::uint16_t plain_queue_allowance = 2;

std::uint16_t clamp_to_uint16(std::size_t value)
{
    constexpr std::size_t max = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(value, max));
}

/// Keeps the known copies when an update omits them.
void keep_copies(engine_holdings& holdings, const engine_holdings& before)
{
    holdings.in_memory = before.in_memory;
    holdings.on_disk = before.on_disk;
    holdings.copies_known = before.copies_known;
}

} // namespace

serving_view::serving_view(options config)
    : settings(config)
{
}

bool serving_view::deployment_read(std::shared_ptr<const deployment> next)
{
    if (this->configuration && next->version <= this->configuration->version)
        return false;
    this->configuration = std::move(next);
    this->build_catalogue();
    return true;
}

void serving_view::build_catalogue()
{
    auto updated = std::make_shared<servable_catalogue>();
    updated->routes = std::make_shared<route_index>(this->configuration);
    updated->organisations =
        std::make_shared<organisation_index>(this->configuration);
    const auto add = [&](std::string key, bool is_adapter, std::size_t slots)
    {
        servable_id& id = this->servable_ids[key];
        if (!id)
            id = servable_id(
                static_cast<std::uint32_t>(this->servable_ids.size()));
        servable_routes cold;
        cold.id = id;
        cold.load_estimate_ms = initial_load_estimate_ms;
        cold.max_streams = clamp_to_uint16(slots);
        cold.max_replicas = 1;
        cold.is_adapter = is_adapter;
        cold.name = key;
        updated->servables.emplace(std::move(key), std::move(cold));
    };
    for (const service_profile& service : this->configuration->services)
    {
        if (!service.engine)
            continue;
        updated->engine_services.insert(service.name);
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
    this->catalogue = std::move(updated);
}

bool serving_view::entry_read(server_entry entry)
{
    const bool registered_leaving = entry.leaving;
    entry.leaving = entry.leaving || this->leaving_lives.contains(
                                         life_of(entry.id, entry.born_ms));
    const auto found = this->servers_by_id.find(entry.id);
    if (found == this->servers_by_id.end())
    {
        server added;
        engine_id& number = this->engine_ids[entry.id];
        if (!number)
            number =
                engine_id(static_cast<std::uint32_t>(this->engine_ids.size()));
        added.engine = number;
        added.run = replica_id(++this->last_run);
        added.software = software_of(entry.service, entry.version);
        added.registered_leaving = registered_leaving;
        added.entry = std::move(entry);
        const std::string id = added.entry.id;
        this->add_to_address(
            this->servers_by_id.emplace(id, std::move(added)).first->second);
        return true;
    }
    server& record = found->second;
    if (entry.registry_revision < record.entry.registry_revision)
        return false; // outdated entry from a slow listing
    const bool was_expiring = record.expires_at.has_value();
    record.expires_at.reset();
    record.entry.registry_revision = entry.registry_revision;
    if (!entry.holdings.copies_known && record.entry.born_ms == entry.born_ms)
        keep_copies(entry.holdings, record.entry.holdings);
    const bool was_superseded = record.superseded;
    if (was_superseded)
        this->update_superseded(record.entry.address);
    if (record.entry.born_ms == entry.born_ms)
        record.registered_leaving = registered_leaving;
    if (record.entry == entry)
        return was_expiring || record.superseded != was_superseded;
    // A version can't change while the process runs.
    const bool restarted = record.entry.born_ms != entry.born_ms ||
                           record.entry.version != entry.version;
    if (entry.born_ms < record.entry.born_ms)
        return was_expiring; // late entry of an earlier run
    if (restarted)
    {
        record.run = replica_id(++this->last_run);
        record.owner_report.reset();
    }
    const std::string before = record.entry.address;
    if (record.entry.holdings.resident != entry.holdings.resident)
        record.refusals.clear();
    record.software = software_of(entry.service, entry.version);
    record.entry = std::move(entry);
    record.registered_leaving = registered_leaving;
    if (before != record.entry.address)
    {
        this->remove_from_address(record.entry.id, before);
        this->add_to_address(record);
    }
    return true;
}

bool serving_view::entry_removed(std::string_view id, instant now)
{
    const auto found = this->servers_by_id.find(id);
    if (found == this->servers_by_id.end())
        return false;
    if (now < this->reregistration_deadline)
    {
        found->second.expires_at = this->reregistration_deadline;
        return false;
    }
    const std::string address = found->second.entry.address;
    this->servers_by_id.erase(found);
    this->remove_from_address(id, address);
    return true;
}

bool serving_view::entries_listed(std::vector<server_entry> all, instant now)
{
    std::unordered_set<std::string_view> listed;
    for (const server_entry& entry : all)
        listed.insert(entry.id);
    std::vector<std::string> missing;
    for (const auto& [id, record] : this->servers_by_id)
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

void serving_view::registry_back(instant outage_end)
{
    this->reregistration_deadline =
        outage_end + this->settings.reregistration_period;
}

bool serving_view::registry_was_not_out()
{
    this->reregistration_deadline = instant::min();
    return this->remove_expired(instant::max());
}

bool serving_view::remove_expired(instant now)
{
    std::vector<std::string> expired;
    for (const auto& [id, record] : this->servers_by_id)
    {
        if (record.expires_at && *record.expires_at <= now)
            expired.push_back(id);
    }
    for (const std::string& id : expired)
    {
        const auto found = this->servers_by_id.find(id);
        const std::string address = found->second.entry.address;
        this->servers_by_id.erase(found);
        this->remove_from_address(id, address);
    }
    return !expired.empty();
}

bool serving_view::update_residency(engine_residency report, instant now)
{
    const auto found = this->servers_by_id.find(report.engine);
    if (found == this->servers_by_id.end() ||
        found->second.entry.born_ms != report.born_ms)
        return false;
    server& record = found->second;
    if (record.owner_report && record.owner_report->tenure == report.tenure &&
        record.owner_report->revision == report.revision)
    {
        record.owner_report_seen = now;
        return false;
    }
    if (record.owner_report && !report.newer_than(*record.owner_report))
        return false;
    const bool changed = !record.refusals.empty() ||
                         this->resident(record, now) != report.resident;
    record.refusals.clear();
    record.owner_report = std::move(report);
    record.owner_report_seen = now;
    record.owner_report_first_seen = now;
    return changed;
}

bool serving_view::update_expected_load(
    const std::string& model, instant ready, instant now)
{
    const auto [place, added] =
        this->expected_loads.try_emplace(model, expected_load{ready, now});
    expected_load& record = place->second;
    record.received_at = now;
    const duration shift =
        ready > record.ready ? ready - record.ready : record.ready - ready;
    if (!added && shift < this->settings.expected_load_step)
        return false;
    record.ready = ready;
    return true;
}

bool serving_view::mark_refused(
    std::string_view engine, std::string_view servable, instant now)
{
    const auto found = this->servers_by_id.find(engine);
    if (found == this->servers_by_id.end())
        return false;
    server& record = found->second;
    const bool is_new =
        record.owner_report &&
        now - record.owner_report_first_seen < this->settings.recent_report_age;
    record.refusals[std::string(servable)] =
        now + (is_new ? this->settings.refusal_lifetime
                      : this->settings.stale_refusal_lifetime);
    return true;
}

std::optional<instant>
serving_view::mark_unreachable(std::string_view id, instant now)
{
    const auto found = this->servers_by_id.find(id);
    if (found == this->servers_by_id.end() || !this->catalogue)
        return std::nullopt;
    server& record = found->second;
    const bool engine =
        this->catalogue->engine_services.contains(record.entry.service);
    if (!engine || record.backoff_until)
        return std::nullopt;
    if (now - record.last_connect_failure > this->settings.backoff_reset_time)
        record.last_backoff = duration::zero();
    record.last_connect_failure = now;
    record.last_backoff = std::clamp(
        record.last_backoff * 2,
        this->settings.min_backoff,
        this->settings.max_backoff);
    record.backoff_until = now + record.last_backoff;
    return record.backoff_until;
}

bool serving_view::set_leaving(server_life life, bool leaving)
{
    if (leaving)
        this->leaving_lives.insert(life);
    else
        this->leaving_lives.erase(life);
    for (auto& [id, record] : this->servers_by_id)
    {
        if (life_of(id, record.entry.born_ms) != life)
            continue;
        const bool is_leaving = leaving || record.registered_leaving;
        return std::exchange(record.entry.leaving, is_leaving) != is_leaving;
    }
    return false;
}

bool serving_view::tick(instant now)
{
    bool changed = this->remove_expired(now);
    changed = std::erase_if(
                  this->expected_loads,
                  [&](const auto& entry)
                  {
                      return now - entry.second.received_at >=
                             this->settings.expected_load_lifetime;
                  }) != 0 ||
              changed;
    for (auto& [id, record] : this->servers_by_id)
    {
        if (record.backoff_until && *record.backoff_until <= now)
        {
            record.backoff_until.reset();
            changed = true;
        }
        changed = std::erase_if(
                      record.refusals,
                      [now](const auto& entry)
                      {
                          return entry.second <= now;
                      }) != 0 ||
                  changed;
        if (!record.owner_report ||
            now - record.owner_report_seen < this->settings.residency_lifetime)
            continue;
        record.owner_report.reset();
        changed = true;
    }
    return changed;
}

const std::vector<resident_model>&
serving_view::resident(const server& record, instant now) const
{
    const bool fresh =
        record.owner_report &&
        now - record.owner_report_seen < this->settings.residency_lifetime;
    return fresh ? record.owner_report->resident
                 : record.entry.holdings.resident;
}

void serving_view::add_to_address(const server& record)
{
    const std::string address = record.entry.address;
    this->ids_by_address[address].insert(record.entry.id);
    this->update_superseded(address);
}

void serving_view::remove_from_address(
    std::string_view id, const std::string& address)
{
    const auto found = this->ids_by_address.find(address);
    if (found == this->ids_by_address.end())
        return;
    const auto position = found->second.find(id);
    if (position != found->second.end())
        found->second.erase(position);
    if (found->second.empty())
        this->ids_by_address.erase(found);
    else
        this->update_superseded(address);
}

void serving_view::update_superseded(const std::string& address)
{
    const auto found = this->ids_by_address.find(address);
    if (found == this->ids_by_address.end())
        return;
    std::uint64_t latest = 0;
    for (const std::string& id : found->second)
        latest = std::max(
            latest,
            this->servers_by_id.find(id)->second.entry.registry_revision);
    for (const std::string& id : found->second)
    {
        server& record = this->servers_by_id.find(id)->second;
        record.superseded = record.entry.registry_revision < latest;
    }
}

serving_table_ptr
serving_view::make_table(bool placement_available, instant now) const
{
    if (!this->configuration)
        return nullptr;
    serving_table::parts content;
    content.catalogue = this->catalogue;
    content.placement_available = placement_available;
    for (const auto& [model, expected] : this->expected_loads)
        content.expected.emplace(model, expected.ready);
    for (const service_profile& service : this->configuration->services)
    {
        service_routes& entry = content.services[service.name];
        entry.name = service.name;
    }
    for (const auto& [id, record] : this->servers_by_id)
    {
        if (record.superseded)
            continue;
        content.servers[record.entry.address] = {
            id,
            record.entry.service,
            record.entry.data_centre,
            life_of(id, record.entry.born_ms),
            record.software,
            this->is_engine(record) ? record.engine : engine_id(),
            record.entry.address};
        if (record.entry.leaving)
            continue;
        if (record.software)
            content.services_by_software.try_emplace(
                record.software, record.entry.service);
        if (this->is_engine(record))
        {
            if (!record.backoff_until)
                this->add_engine(content, record, now);
        }
        else
            this->add_plain(content, record);
    }
    return std::make_shared<const serving_table>(std::move(content));
}

bool serving_view::is_engine(const server& record) const
{
    return this->catalogue &&
           this->catalogue->engine_services.contains(record.entry.service);
}

void serving_view::add_engine(
    serving_table::parts& into, const server& record, instant now) const
{
    for (const resident_model& model : this->resident(record, now))
    {
        this->add_servable(into, record, model.name);
        for (const std::string& adapter : model.adapters)
            this->add_servable(into, record, model.name + "/" + adapter);
    }
}

void serving_view::add_servable(
    serving_table::parts& into,
    const server& record,
    std::string_view servable) const
{
    std::string key = servable_key(record.entry.service, servable);
    const auto cold = this->catalogue->servables.find(key);
    if (cold == this->catalogue->servables.end() ||
        record.refusals.contains(key))
        return;
    servable_routes& entry =
        into.resident.try_emplace(std::move(key), cold->second).first->second;
    entry.max_replicas = std::numeric_limits<std::uint16_t>::max();
    entry.ready.push_back(
        {record.run,
         record.engine,
         record.entry.address,
         record.entry.data_centre,
         record.entry.id});
}

void serving_view::add_plain(
    serving_table::parts& into, const server& record) const
{
    const auto found = into.services.find(record.entry.service);
    if (found == into.services.end())
        return;
    service_routes& entry = found->second;
    entry.max_streams =
        clamp_to_uint16(record.entry.slots + plain_queue_allowance);
    entry.backends.push_back(
        {record.entry.address, record.entry.id, record.entry.data_centre});
}

} // namespace roseworks

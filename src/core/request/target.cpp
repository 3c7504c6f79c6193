#include "core/request/target.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::detail
{

target::target(
    std::uint32_t order,
    std::string target_name,
    software_version needed,
    bool service,
    duration ageing,
    std::shared_ptr<retry_budgets> shared_budgets)
    : number(order)
    , name(std::move(target_name))
    , software(needed)
    , is_service(service)
    , queue(ageing)
    , budgets(std::move(shared_budgets))
{
}

bool target::refresh(const routing_table& table, const leaving_vms& leaving)
{
    for (backend& item : this->backends)
    {
        item.listed = false;
    }

    this->in_table = false;
    if (this->is_service)
    {
        if (const service_routes* entry = table.find_service(this->name))
        {
            this->apply(*entry, table);
        }
    }
    else if (const servable_routes* entry = table.find_servable(this->name))
    {
        this->apply(*entry, table);
        this->expected_ready = table.expected_ready(this->name);
    }

    this->drop_unlisted();
    this->mark_leaving(leaving);
    return this->in_table;
}

bool target::may_use(
    const routing_table& table, const std::string& address) const
{
    return !this->software || table.software_at(address) == this->software;
}

void target::apply(const servable_routes& entry, const routing_table& table)
{
    this->in_table = true;
    this->servable = entry.id;
    this->max_streams = std::max<std::uint16_t>(entry.max_streams, 1);
    this->max_replicas = entry.max_replicas;
    this->granted = entry.granted;
    this->load_estimate = std::chrono::milliseconds(entry.load_estimate_ms);
    for (const route& item : entry.ready)
    {
        if (this->may_use(table, item.address))
        {
            this->list_backend(item, key_of(item.engine));
        }
    }
}

void target::apply(const service_routes& entry, const routing_table& table)
{
    this->in_table = true;
    this->max_streams = std::max<std::uint16_t>(entry.max_streams, 1);
    for (const service_backend& item : entry.backends)
    {
        if (!this->may_use(table, item.address))
        {
            continue;
        }
        route listed_route;
        listed_route.address = item.address;
        listed_route.data_centre = item.data_centre;
        listed_route.vm = item.vm;
        this->list_backend(
            std::move(listed_route), key_of_address(item.address));
    }
}

void target::list_backend(route listed_route, server_key server)
{
    if (backend* existing =
            this->find(listed_route.replica, listed_route.address))
    {
        existing->where = std::move(listed_route);
        existing->listed = true;
        return;
    }
    backend added;
    added.where = std::move(listed_route);
    added.server = server;
    this->backends.push_back(std::move(added));
    this->breaker.close();
}

void target::mark_leaving(const leaving_vms& leaving)
{
    for (backend& item : this->backends)
    {
        item.leaving = leaving.contains(item.where.vm);
    }
}

backend* target::find(replica_id replica, std::string_view address)
{
    const auto found = std::find_if(
        this->backends.begin(),
        this->backends.end(),
        [replica, address](const backend& item)
        {
            return item.where.replica == replica &&
                   item.where.address == address;
        });
    return found == this->backends.end() ? nullptr : &*found;
}

void target::drop_unlisted()
{
    std::erase_if(
        this->backends,
        [](const backend& item)
        {
            return !item.listed && item.in_flight == 0;
        });
}

std::size_t target::slots(
    std::span<std::size_t const> usable,
    bool batch,
    const server_loads& loads,
    instant now) const
{
    const std::uint32_t streams = this->max_streams;
    std::size_t total = 0;
    for (const std::size_t i : usable)
    {
        const server_key server = this->backends[i].server;
        if (!loads.is_limited(server))
        {
            total += loads.limit(server, streams, now);
        }
    }
    const std::size_t reserved_slots =
        batch ? slots_reserved_from_batch(this->max_streams) : 0;
    return total > reserved_slots ? total - reserved_slots : total;
}

} // namespace roseworks::detail

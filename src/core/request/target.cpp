#include "core/request/target.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::detail
{

target::target(
    std::uint32_t number_of_use,
    std::string own_name,
    bool service,
    duration ageing,
    std::uint32_t retry_percent)
    : number(number_of_use)
    , name(std::move(own_name))
    , is_service(service)
    , queue(ageing)
    , budget(retry_percent)
    , resume_budget(retry_budget::make_full(retry_percent))
{
}

bool target::refresh(const routing_table& table, const leaving_vms& leaving)
{
    for (backend& one : this->backends)
    {
        one.listed = false;
    }

    this->known = false;
    if (this->is_service)
    {
        if (const service_routes* entry = table.find_service(this->name))
        {
            this->take(*entry);
        }
    }
    else if (const servable_routes* entry = table.find_servable(this->name))
    {
        this->take(*entry);
        this->expected_ready = table.expected_ready(this->name);
    }

    this->drop_unlisted();
    this->mark_leaving(leaving);
    return this->known;
}

void target::take(const servable_routes& entry)
{
    this->known = true;
    this->servable = entry.id;
    this->max_streams = std::max<std::uint16_t>(entry.max_streams, 1);
    this->max_replicas = entry.max_replicas;
    this->granted = entry.granted;
    this->load_estimate = std::chrono::milliseconds(entry.load_estimate_ms);
    for (const route& one : entry.ready)
    {
        this->list(one, key_of(one.engine));
    }
}

void target::take(const service_routes& entry)
{
    this->known = true;
    this->max_streams = std::max<std::uint16_t>(entry.max_streams, 1);
    for (const service_backend& one : entry.backends)
    {
        route where;
        where.address = one.address;
        where.data_centre = one.data_centre;
        where.vm = one.vm;
        this->list(std::move(where), key_of_address(one.address));
    }
}

void target::list(route where, server_key server)
{
    if (backend* known_one = this->find(where.replica, where.address))
    {
        known_one->where = std::move(where);
        known_one->listed = true;
        return;
    }
    backend added;
    added.where = std::move(where);
    added.server = server;
    this->backends.push_back(std::move(added));
    this->breaker.close();
}

void target::mark_leaving(const leaving_vms& leaving)
{
    for (backend& one : this->backends)
    {
        one.leaving = leaving.contains(one.where.vm);
    }
}

backend* target::find(replica_id replica, std::string_view address)
{
    const auto found = std::find_if(
        this->backends.begin(),
        this->backends.end(),
        [replica, address](const backend& one)
        {
            return one.where.replica == replica && one.where.address == address;
        });
    return found == this->backends.end() ? nullptr : &*found;
}

void target::drop_unlisted()
{
    std::erase_if(
        this->backends,
        [](const backend& one)
        {
            return !one.listed && one.in_flight == 0;
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
    const std::size_t kept =
        batch ? slots_reserved_from_batch(this->max_streams) : 0;
    return total > kept ? total - kept : total;
}

} // namespace roseworks::detail

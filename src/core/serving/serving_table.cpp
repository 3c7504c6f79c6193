#include "core/serving/serving_table.hpp"

#include "core/serving/servable_key.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

serving_table::serving_table(parts initial)
    : content(std::move(initial))
{
    this->default_caller.highest = priority::urgent;
}

const servable_routes* serving_table::find_servable(std::string_view name) const
{
    const std::string key(name);
    const auto ready = this->content.resident.find(key);
    if (ready != this->content.resident.end())
        return &ready->second;
    const auto cold = this->content.catalogue->servables.find(key);
    if (cold == this->content.catalogue->servables.end())
        return nullptr;
    return &cold->second;
}

const servable_routes* serving_table::find_servable(servable_id id) const
{
    const auto& all = this->content.catalogue->servables;
    const auto found = std::ranges::find_if(
        all,
        [id](const auto& entry)
        {
            return entry.second.id == id;
        });
    return found == all.end() ? nullptr : this->find_servable(found->first);
}

const service_routes* serving_table::find_service(std::string_view name) const
{
    const auto found = this->content.services.find(std::string(name));
    return found == this->content.services.end() ? nullptr : &found->second;
}

const caller_spec* serving_table::find_caller(std::string_view) const
{
    return &this->default_caller;
}

bool serving_table::is_blocked(fingerprint) const
{
    return false;
}

bool serving_table::is_suspect(fingerprint) const
{
    return false;
}

software_version serving_table::software_at(const std::string& address) const
{
    const server_identity* server = this->find_server(address);
    return server == nullptr ? software_version() : server->software;
}

const std::string*
serving_table::find_service_of(software_version software) const
{
    const auto found = this->content.services_by_software.find(software);
    return found == this->content.services_by_software.end() ? nullptr
                                                             : &found->second;
}

bool serving_table::has_software(software_version software) const
{
    return this->find_service_of(software) != nullptr;
}

bool serving_table::log_available() const
{
    return this->content.placement_available;
}

std::optional<instant>
serving_table::expected_ready(std::string_view servable) const
{
    if (this->content.expected.empty())
        return std::nullopt;
    const servable_parts parts = split_servable_key(servable);
    const auto found =
        this->content.expected.find(servable_key(parts.service, parts.model));
    if (found == this->content.expected.end())
        return std::nullopt;
    return found->second;
}

std::vector<std::string> serving_table::servable_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : this->content.catalogue->servables)
        names.push_back(name);
    std::ranges::sort(names);
    return names;
}

const server_identity*
serving_table::find_server(const std::string& address) const
{
    const auto found = this->content.servers.find(address);
    return found == this->content.servers.end() ? nullptr : &found->second;
}

std::vector<std::string>
serving_table::servers_beside(const std::string& address, std::size_t max) const
{
    std::vector<std::string> result;
    const server_identity* known = this->find_server(address);
    for (const auto& [other, identity] : this->content.servers)
    {
        if (known == nullptr || result.size() == max)
            break;
        if (other != address && identity.service == known->service)
            result.push_back(other);
    }
    return result;
}

bool serving_table::has_engines(std::string_view service) const
{
    return this->content.catalogue->engine_services.contains(
        std::string(service));
}

} // namespace roseworks

#include "core/serving/route_index.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

std::string normalise_host(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.back() != ']')
        host = host.substr(0, colon);
    std::string result(host);
    for (char& letter : result)
        letter = letter >= 'A' && letter <= 'Z'
                     ? static_cast<char>(letter - 'A' + 'a')
                     : letter;
    return result;
}

} // namespace

route_index::route_index(std::shared_ptr<const deployment> configuration)
    : config(std::move(configuration))
{
    for (const path_route& route : this->config->routes)
        this->hosts[normalise_host(route.host)].push_back(&route);
    for (auto& [host, routes] : this->hosts)
    {
        std::ranges::stable_sort(
            routes,
            std::ranges::greater(),
            [](const path_route* route)
            {
                return route->path_prefix.size();
            });
    }
}

const path_route*
route_index::find(std::string_view host, std::string_view path) const
{
    const auto found = this->hosts.find(normalise_host(host));
    if (found == this->hosts.end())
        return nullptr;
    const std::string_view path_only = path.substr(0, path.find('?'));
    const auto match = std::ranges::find_if(
        found->second,
        [path_only](const path_route* route)
        {
            return path_only.starts_with(route->path_prefix);
        });
    return match == found->second.end() ? nullptr : *match;
}

std::string_view choose_service(const path_route& route, std::uint64_t draw)
{
    std::uint64_t total = 0;
    for (const service_share& share : route.services)
        total += share.weight;
    if (total == 0)
        return {};
    std::uint64_t offset = draw % total;
    for (const service_share& share : route.services)
    {
        if (offset < share.weight)
            return share.service;
        offset -= share.weight;
    }
    return {};
}

} // namespace roseworks

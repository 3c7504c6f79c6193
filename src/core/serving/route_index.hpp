#pragma once

#include "core/serving/deployment.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// Finds the route of a request: that of its host with the longest prefix of
/// its path. Immutable; one for each version of the configuration.
class route_index
{
public:
    explicit route_index(std::shared_ptr<const deployment> whole);

    /// @param host as the caller sent it; a port is left out, letters compare
    ///             without case.
    /// @param path the request's target; a query is left out.
    /// @return     the route, null when there is none. Lives as long as this.
    const path_route* find(std::string_view host, std::string_view path) const;

    const deployment& source() const
    {
        return *this->config;
    }

private:
    std::shared_ptr<const deployment> config;
    /// Longest prefix first.
    std::map<std::string, std::vector<const path_route*>, std::less<>> hosts;
};

/// Chooses the service of a request by the weights of its route.
/// @param draw decides; the same draw gives the same service.
/// @return     the service's name, empty when the route has none.
std::string_view choose_service(const path_route& route, std::uint64_t draw);

} // namespace roseworks

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

/// Finds the route of a request: the one for its host with the longest matching
/// path prefix. Immutable; one instance per version of the configuration.
class route_index
{
public:
    explicit route_index(std::shared_ptr<const deployment> configuration);

    /// @param host As the caller sent it. A port is ignored; the comparison is
    ///             case-insensitive.
    /// @param path The request's target. A query is ignored.
    /// @return     The route, or null. Valid as long as this object.
    const path_route* find(std::string_view host, std::string_view path) const;

    const deployment& source() const
    {
        return *this->config;
    }

private:
    std::shared_ptr<const deployment> config;
    /// Routes by host in lower case, longest prefix first.
    std::map<std::string, std::vector<const path_route*>, std::less<>> hosts;
};

/// Chooses the service of a request by the weights of its route.
/// @param draw Random number; equal numbers give the same service.
/// @return     The service's name; empty when the total weight is zero.
std::string_view choose_service(const path_route& route, std::uint64_t draw);

} // namespace roseworks

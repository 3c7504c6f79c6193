#include "core/serving/deployment.hpp"

#include <algorithm>

namespace roseworks
{

const service_profile* deployment::find_service(std::string_view name) const
{
    const auto found =
        std::ranges::find(this->services, name, &service_profile::name);
    return found == this->services.end() ? nullptr : &*found;
}

} // namespace roseworks

#include "core/serving/server_software.hpp"

#include <xxhash.h>

namespace roseworks
{

software_version software_of(std::string_view service, std::string_view version)
{
    if (version.empty())
        return {};
    const XXH64_hash_t seed = XXH64(service.data(), service.size(), 0);
    const std::uint64_t hash = XXH64(version.data(), version.size(), seed);
    return software_version(hash == 0 ? 1 : hash);
}

} // namespace roseworks

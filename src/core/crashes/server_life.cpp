#include "core/crashes/server_life.hpp"

#include <xxhash.h>

namespace roseworks
{

server_life life_of(std::string_view server, std::int64_t born_ms)
{
    const auto seed = static_cast<std::uint64_t>(born_ms);
    const std::uint64_t hash = XXH64(server.data(), server.size(), seed);
    return server_life(hash == 0 ? 1 : hash);
}

} // namespace roseworks

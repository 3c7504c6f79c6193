#include "core/origins/stream_key.hpp"

#include <xxhash.h>

#include <cstddef>

namespace roseworks
{

namespace
{

constexpr std::size_t max_attempt_bytes = 128;

} // namespace

stream_key key_of(const stream_request& request)
{
    if (request.attempt.empty() || request.attempt.size() > max_attempt_bytes)
        return {};
    std::uint64_t hash = 0;
    for (const std::string_view part :
         {request.attempt,
          request.host,
          request.target,
          request.model,
          request.organisation})
        hash = XXH64(part.data(), part.size(), hash);
    return stream_key(hash == 0 ? 1 : hash);
}

} // namespace roseworks

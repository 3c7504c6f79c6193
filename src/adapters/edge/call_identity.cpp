#include "adapters/edge/call_identity.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <string>

namespace roseworks::edge
{

namespace
{

/// First character of a derived key. Keys sent by callers have only printable
/// characters, so the two kinds never collide.
constexpr char derived_key_prefix = '\x01';

std::string join_terminated(std::string_view first, std::string_view second)
{
    std::string text;
    text.reserve(first.size() + second.size() + 2);
    text.append(first);
    text.push_back('\0');
    text.append(second);
    text.push_back('\0');
    return text;
}

} // namespace

claim_key make_claim_key(
    std::string_view caller, std::string_view target, std::string_view key)
{
    const std::string text = join_terminated(caller, target).append(key);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

claim_key make_derived_claim_key(
    std::string_view caller,
    std::string_view target,
    std::string_view request_id)
{
    std::string key(1, derived_key_prefix);
    key.append(request_id);
    return make_claim_key(caller, target, key);
}

fingerprint make_fingerprint(
    std::string_view target, std::string_view path, std::string_view body)
{
    const std::string head = join_terminated(target, path);
    const XXH64_hash_t seed = XXH3_64bits(head.data(), head.size());
    const XXH64_hash_t hash =
        XXH3_64bits_withSeed(body.data(), body.size(), seed);
    return fingerprint(hash == 0 ? 1 : hash);
}

claim_content make_claim_content(
    std::string_view method, std::string_view path, std::string_view body)
{
    const std::uint64_t hash = make_fingerprint(method, path, body).value;
    const auto content = static_cast<claim_content>(hash ^ (hash >> 32));
    return content == 0 ? 1 : content;
}

} // namespace roseworks::edge

#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/record.hpp>

#include <string_view>

namespace roseworks::edge
{

/// @param caller the caller's name.
/// @param target servable's or service's name.
/// @param key    the caller's idempotency key.
/// @return       the claim's key: the same on every router.
claim_key make_claim_key(
    std::string_view caller, std::string_view target, std::string_view key);

/// The claim's key of a call without an idempotency key, made of its request
/// id. Never the same as one made of an idempotency key.
claim_key make_derived_claim_key(
    std::string_view caller,
    std::string_view target,
    std::string_view request_id);

/// @param target servable's or service's name.
/// @param path   path and query.
/// @param body   the body as it came.
/// @return       the content's fingerprint, never 0.
fingerprint make_fingerprint(
    std::string_view target, std::string_view path, std::string_view body);

/// @param method HTTP method.
/// @param path   path and query.
/// @param body   the body as it came.
/// @return       what a claim keeps of the content, never 0.
claim_content make_claim_content(
    std::string_view method, std::string_view path, std::string_view body);

} // namespace roseworks::edge

#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/record.hpp>

#include <string_view>

namespace roseworks::edge
{

/// @param caller Name of the caller.
/// @param target Name of the servable or service.
/// @param key    Idempotency key sent by the caller.
/// @return       The key of the claim. It is the same on every router.
claim_key make_claim_key(
    std::string_view caller, std::string_view target, std::string_view key);

/// Derives the key of a claim from the request id, for a call without an
/// idempotency key. Its input differs from that of any idempotency key.
claim_key make_derived_claim_key(
    std::string_view caller,
    std::string_view target,
    std::string_view request_id);

/// @param target Name of the servable or service.
/// @param path   Path and query.
/// @param body   The unmodified body.
/// @return       Fingerprint of the content, never 0.
fingerprint make_fingerprint(
    std::string_view target, std::string_view path, std::string_view body);

/// @param method HTTP method.
/// @param path   Path and query.
/// @param body   The unmodified body.
/// @return       Hash of the content that is stored with the claim, never 0.
claim_content make_claim_content(
    std::string_view method, std::string_view path, std::string_view body);

} // namespace roseworks::edge

#pragma once

#include "adapters/forward/forward_request.hpp"
#include "core/serving/organisation_index.hpp"

#include <cstdint>
#include <string>

namespace roseworks::forward
{

/// The organisation that a request is attributed to, according to the
/// configuration when the request arrived.
struct caller_organisation
{
    std::string name; ///< empty: no organisation
    key_digest key;
    std::uint8_t rank = 0;
    bool is_limited = false;
    double cost = 0; ///< counted towards the organisation's limit
    /// Whether callers need an API key. If so, credentials are not forwarded.
    bool keys_required = false;
};

/// @return The organisation that holds the request's API key. Its name is empty
///         if no key is required, or the key is missing or unknown.
caller_organisation
find_caller(const organisation_index& index, const forward_request& request);

} // namespace roseworks::forward

#pragma once

#include "adapters/forward/forward_request.hpp"
#include "core/serving/organisation_index.hpp"

#include <cstdint>
#include <string>

namespace roseworks::forward
{

/// Whose request it is, as the configuration said when it came.
struct caller_organisation
{
    std::string name; ///< empty: nobody's
    key_digest key;
    std::uint8_t rank = 0;
    bool is_limited = false;
    double cost = 0; ///< towards its limit
    /// Callers need keys: credentials aren't passed on.
    bool keys_required = false;
};

/// @return Who holds the request's key; without a name when nobody does.
caller_organisation
find_caller(const organisation_index& known, const forward_request& request);

} // namespace roseworks::forward

#pragma once

#include "core/serving/deployment.hpp"

#include <cstddef>
#include <string>

namespace roseworks
{

/// Changes of organisations between two configurations, for logs.
struct organisation_changes
{
    std::size_t keys_added = 0;
    std::size_t keys_dropped = 0;
    std::size_t limits_changed = 0;
    std::string dropped_fingerprints; ///< of the first few dropped keys

    bool any() const
    {
        return this->keys_added + this->keys_dropped + this->limits_changed !=
               0;
    }
};

/// @param before Null for the first configuration.
organisation_changes
compare_organisations(const deployment* before, const deployment& now);

} // namespace roseworks

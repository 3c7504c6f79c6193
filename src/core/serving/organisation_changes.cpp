#include "core/serving/organisation_changes.hpp"

#include "core/serving/key_digest.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_set>

namespace roseworks
{

namespace
{

/// Fingerprints per log line.
constexpr std::size_t max_named = 8;

using key_set = std::unordered_set<key_digest, key_digest_hash>;
using limit_map = std::map<std::string_view, std::optional<usage_limit>>;

key_set keys_of(const deployment* configuration)
{
    key_set keys;
    if (configuration == nullptr || !configuration->organisations)
        return keys;
    for (const organisation& entry : *configuration->organisations)
        keys.insert(entry.keys.begin(), entry.keys.end());
    return keys;
}

limit_map limits_of(const deployment* configuration)
{
    limit_map limits;
    if (configuration == nullptr || !configuration->organisations)
        return limits;
    for (const organisation& entry : *configuration->organisations)
        limits.emplace(entry.name, entry.limit);
    return limits;
}

} // namespace

organisation_changes
compare_organisations(const deployment* before, const deployment& now)
{
    organisation_changes changes;
    const key_set old_keys = keys_of(before);
    const key_set new_keys = keys_of(&now);
    const auto kept = std::ranges::count_if(
        new_keys,
        [&](const key_digest& key)
        {
            return old_keys.contains(key);
        });
    changes.keys_added = new_keys.size() - static_cast<std::size_t>(kept);
    for (const key_digest& key : old_keys)
    {
        if (new_keys.contains(key))
            continue;
        if (changes.keys_dropped < max_named)
            changes.dropped_fingerprints +=
                (changes.dropped_fingerprints.empty() ? "" : " ") +
                fingerprint_of(key);
        ++changes.keys_dropped;
    }
    const limit_map old_limits = limits_of(before);
    for (const auto& [name, limit] : limits_of(&now))
    {
        const auto old = old_limits.find(name);
        const bool is_same = old != old_limits.end() && old->second == limit;
        changes.limits_changed += is_same ? 0 : 1;
    }
    return changes;
}

} // namespace roseworks

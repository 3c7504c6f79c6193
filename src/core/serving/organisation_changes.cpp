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
constexpr std::size_t most_named = 8;

using key_set = std::unordered_set<key_digest, key_digest_hash>;
using limit_map = std::map<std::string_view, std::optional<usage_limit>>;

key_set keys_of(const deployment* configuration)
{
    key_set keys;
    if (configuration == nullptr || !configuration->organisations)
        return keys;
    for (const organisation& one : *configuration->organisations)
        keys.insert(one.keys.begin(), one.keys.end());
    return keys;
}

limit_map limits_of(const deployment* configuration)
{
    limit_map limits;
    if (configuration == nullptr || !configuration->organisations)
        return limits;
    for (const organisation& one : *configuration->organisations)
        limits.emplace(one.name, one.limit);
    return limits;
}

} // namespace

organisation_changes
compare_organisations(const deployment* before, const deployment& now)
{
    organisation_changes made;
    const key_set old_keys = keys_of(before);
    const key_set new_keys = keys_of(&now);
    const auto kept = std::ranges::count_if(
        new_keys,
        [&](const key_digest& key)
        {
            return old_keys.contains(key);
        });
    made.keys_added = new_keys.size() - static_cast<std::size_t>(kept);
    for (const key_digest& key : old_keys)
    {
        if (new_keys.contains(key))
            continue;
        if (made.keys_dropped < most_named)
            made.dropped +=
                (made.dropped.empty() ? "" : " ") + fingerprint_of(key);
        ++made.keys_dropped;
    }
    const limit_map old_limits = limits_of(before);
    for (const auto& [name, limit] : limits_of(&now))
    {
        const auto old = old_limits.find(name);
        const bool same = old != old_limits.end() && old->second == limit;
        made.limits_changed += same ? 0 : 1;
    }
    return made;
}

} // namespace roseworks

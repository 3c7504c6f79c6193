#pragma once

#include "core/serving/deployment.hpp"
#include "core/serving/key_digest.hpp"

#include <cstddef>
#include <memory>
#include <unordered_map>

namespace roseworks
{

/// Finds the organisation that holds an API key. Immutable; one for each
/// version of the configuration.
class organisation_index
{
public:
    explicit organisation_index(std::shared_ptr<const deployment> whole);

    /// @return Whether callers need a key at all.
    bool is_required() const
    {
        return this->config->organisations.has_value();
    }

    /// @return The holder of the key; null when nobody holds it. Lives as long
    ///         as this. When two hold it, the first.
    const organisation* find(const key_digest& key) const;

    std::size_t keys() const
    {
        return this->holders.size();
    }

private:
    std::shared_ptr<const deployment> config;
    std::unordered_map<key_digest, const organisation*, key_digest_hash>
        holders;
};

} // namespace roseworks

#pragma once

#include "core/serving/deployment.hpp"
#include "core/serving/key_digest.hpp"

#include <cstddef>
#include <memory>
#include <unordered_map>

namespace roseworks
{

/// Index of organisations by API key. Immutable; one instance per version of
/// the configuration.
class organisation_index
{
public:
    explicit organisation_index(
        std::shared_ptr<const deployment> configuration);

    /// @return Whether callers need an API key.
    bool is_required() const
    {
        return this->config->organisations.has_value();
    }

    /// @return The organisation that has the key, or null; the first one if
    ///         several have it. The pointer is valid as long as this object.
    const organisation* find(const key_digest& key) const;

    std::size_t keys() const
    {
        return this->owners.size();
    }

private:
    std::shared_ptr<const deployment> config;
    std::unordered_map<key_digest, const organisation*, key_digest_hash> owners;
};

} // namespace roseworks

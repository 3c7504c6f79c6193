#include "core/serving/organisation_index.hpp"

#include <utility>

namespace roseworks
{

organisation_index::organisation_index(
    std::shared_ptr<const deployment> configuration)
    : config(std::move(configuration))
{
    if (!this->config->organisations)
        return;
    std::size_t count = 0;
    for (const organisation& entry : *this->config->organisations)
        count += entry.keys.size();
    this->owners.reserve(count);
    for (const organisation& entry : *this->config->organisations)
    {
        for (const key_digest& key : entry.keys)
            this->owners.emplace(key, &entry);
    }
}

const organisation* organisation_index::find(const key_digest& key) const
{
    const auto found = this->owners.find(key);
    return found == this->owners.end() ? nullptr : found->second;
}

} // namespace roseworks

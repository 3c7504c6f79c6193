#include "core/serving/organisation_index.hpp"

#include <utility>

namespace roseworks
{

organisation_index::organisation_index(std::shared_ptr<const deployment> whole)
    : config(std::move(whole))
{
    if (!this->config->organisations)
        return;
    std::size_t count = 0;
    for (const organisation& one : *this->config->organisations)
        count += one.keys.size();
    this->holders.reserve(count);
    for (const organisation& one : *this->config->organisations)
    {
        for (const key_digest& key : one.keys)
            this->holders.emplace(key, &one);
    }
}

const organisation* organisation_index::find(const key_digest& key) const
{
    const auto found = this->holders.find(key);
    return found == this->holders.end() ? nullptr : found->second;
}

} // namespace roseworks

#include "core/state/suspicion_store.hpp"

namespace roseworks::detail
{

const suspicion_store::row_type*
suspicion_store::find(fingerprint request) const
{
    const auto found = this->rows.find(request);
    return found == this->rows.end() ? nullptr : &found->second;
}

bool suspicion_store::suspect(
    fingerprint request, stamp_ms until, std::uint32_t threshold)
{
    row_type& row = this->rows[request];
    this->expiry.erase({row.until, request});
    row.until = until;
    this->expiry.emplace(until, request);
    ++row.crashes;
    const bool blocks = !row.blocked && row.crashes >= threshold;
    row.blocked = row.blocked || blocks;
    return blocks;
}

bool suspicion_store::forget(fingerprint request)
{
    const auto found = this->rows.find(request);
    if (found == this->rows.end())
        return false;
    this->expiry.erase({found->second.until, request});
    this->rows.erase(found);
    return true;
}

} // namespace roseworks::detail

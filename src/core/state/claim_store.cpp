#include "core/state/claim_store.hpp"

#include <algorithm>

namespace roseworks::detail
{

std::optional<claim_row> claim_store::find(const claim_key& key) const
{
    claim_row row;
    const auto found = this->rows.find(key);
    if (found != this->rows.end())
    {
        row.session = found->second.session;
        row.opened = found->second.opened;
        row.content = found->second.content;
        return row;
    }
    const closed_claim* const ended = this->closed.find(key);
    if (ended == nullptr)
        return std::nullopt;
    row.outcome = ended->outcome;
    row.status = ended->status;
    row.content = ended->content;
    row.body = this->answers.find(key);
    return row;
}

void claim_store::open(const claim_open& value, log_offset at, stamp_ms now)
{
    this->insert(value.key, {value.session, at, now, value.content});
}

void claim_store::close(
    const claim_close& value, log_offset at, stamp_ms now, stamp_ms horizon)
{
    const auto found = this->rows.find(value.key);
    const open_claim was = found->second;
    this->order.erase(was.opened);
    this->rows.erase(found);
    if (value.outcome == claim_outcome::not_run)
        return;
    const closed_claim row{value.key, was.content, value.status, value.outcome};
    this->closed.insert(row, std::max(was.opened_at, now - horizon / 2));
    this->answers.insert(value.key, at, value.body);
}

void claim_store::forget_until(
    stamp_ms horizon, const std::function<bool(session_id)>& live)
{
    for (auto at = this->order.begin(); at != this->order.end();)
    {
        const auto found = this->rows.find(at->second);
        if (found->second.opened_at > horizon)
            break;
        if (live(found->second.session))
        {
            ++at;
            continue;
        }
        this->rows.erase(found);
        at = this->order.erase(at);
    }
    this->closed.forget_until(
        horizon,
        [this](const claim_key& key)
        {
            this->answers.erase(key);
        });
}

bool claim_store::insert(const claim_key& key, const open_claim& row)
{
    const bool later =
        this->order.empty() || this->order.rbegin()->first < row.opened;
    if (!later || !this->rows.emplace(key, row).second)
        return false;
    this->order.emplace(row.opened, key);
    return true;
}

} // namespace roseworks::detail

#include "core/state/claim_store.hpp"

namespace roseworks::detail
{

const claim_row* claim_store::find(claim_key key) const
{
    const auto found = this->rows.find(key);
    return found == this->rows.end() ? nullptr : &found->second;
}

void claim_store::open(const claim_open& value, log_offset at, stamp_ms now)
{
    claim_row row;
    row.session = value.session;
    row.content = value.content;
    row.opened = at;
    row.opened_at = now;
    this->rows.emplace(value.key, std::move(row));
    this->order.emplace_back(at, value.key);
}

void claim_store::close(const claim_close& value, log_offset at)
{
    if (value.outcome == claim_outcome::not_run)
        return this->erase(value.key);
    claim_row& row = this->rows.at(value.key);
    row.outcome = value.outcome;
    row.status = value.status;
    row.closed = at;
    if (value.body.empty() || value.body.size() > max_body)
        return;
    row.body = value.body;
    this->body_bytes += row.body.size();
    this->bodies.emplace(at, value.key);
    while (this->body_bytes > max_bodies)
        this->drop_body(this->rows.at(this->bodies.begin()->second));
}

void claim_store::forget_until(stamp_ms horizon)
{
    while (!this->order.empty())
    {
        const auto [opened, key] = this->order.front();
        const claim_row* row = this->find(key);
        const bool stale = row == nullptr || row->opened != opened;
        if (!stale && row->opened_at > horizon)
            return;
        if (!stale)
            this->erase(key);
        this->order.pop_front();
    }
}

bool claim_store::insert(claim_key key, claim_row row)
{
    if (!this->order.empty() && this->order.back().first >= row.opened)
        return false;
    if (row.body.size() > max_body || (!row.body.empty() && !row.closed))
        return false;
    if (!row.body.empty())
    {
        this->body_bytes += row.body.size();
        if (!this->bodies.emplace(row.closed, key).second)
            return false;
    }
    this->order.emplace_back(row.opened, key);
    return this->rows.emplace(key, std::move(row)).second;
}

void claim_store::drop_body(claim_row& row)
{
    this->body_bytes -= row.body.size();
    this->bodies.erase(row.closed);
    std::string().swap(row.body);
}

void claim_store::erase(claim_key key)
{
    const auto found = this->rows.find(key);
    if (!found->second.body.empty())
        this->drop_body(found->second);
    this->rows.erase(found);
}

} // namespace roseworks::detail

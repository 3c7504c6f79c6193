#include "core/state/session_store.hpp"

#include <utility>

namespace roseworks::detail
{

const session_row* session_store::find(session_id id) const
{
    const auto found = this->rows.find(id);
    return found == this->rows.end() ? nullptr : &found->second;
}

session_row* session_store::find(session_id id)
{
    return const_cast<session_row*>(std::as_const(*this).find(id));
}

bool session_store::live(session_id id) const
{
    const session_row* row = this->find(id);
    return row != nullptr && !row->ended;
}

session_id session_store::newest(author_id author) const
{
    const auto found = this->authors.find(author);
    return found == this->authors.end() ? session_id() : found->second;
}

void session_store::add(session_id id, session_row row)
{
    session_id& newest = this->authors[row.author];
    if (newest < id)
        newest = id;
    this->rows.emplace(id, std::move(row));
}

void session_store::sweep(stamp_ms now)
{
    for (auto entry = this->rows.begin(); entry != this->rows.end();)
    {
        const session_row& row = entry->second;
        const bool last = this->newest(row.author) == entry->first;
        const stamp_ms keep = last ? keep_last_ms : keep_ended_ms;
        if (!row.ended || now - row.ended_at < keep)
        {
            ++entry;
            continue;
        }
        if (last)
            this->authors.erase(row.author);
        entry = this->rows.erase(entry);
    }
}

} // namespace roseworks::detail

#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace roseworks::detail
{

/// One run of a router process.
struct session_row
{
    author_id author;
    std::uint64_t incarnation = 0;
    std::string name;
    std::string data_centre;
    std::string peer_address;
    std::string http_address;
    log_offset last_renewal;
    bool ended = false;
    stamp_ms ended_at = 0; ///< log time
};

/** The routers' sessions. Decided state.

    `ended` always means proven gone: the process said so itself, a newer one
    took its address, or it left the VM list. A session whose lease merely
    lapsed isn't ended.
*/
class session_store
{
public:
    /// Log time for which an author's last session is kept after its end, so
    /// that an older incarnation is recognised.
    static constexpr stamp_ms keep_last_ms = 7 * 86'400'000LL;
    /// Log time for which other ended sessions are kept.
    static constexpr stamp_ms keep_ended_ms = 3'600'000;

    const session_row* find(session_id id) const;
    session_row* find(session_id id);

    /// @return Whether the session exists and hasn't ended.
    bool live(session_id id) const;

    /// @return The author's newest session, ended or not; 0 if unknown.
    session_id newest(author_id author) const;

    void add(session_id id, session_row row);

    /// Forget ended sessions that are past their time.
    void sweep(stamp_ms now);

    const std::map<session_id, session_row>& all() const
    {
        return this->rows;
    }

    template <class Writer>
    void save(Writer& out) const
    {
        out.number(static_cast<std::uint32_t>(this->rows.size()));
        for (const auto& [id, row] : this->rows)
        {
            out.number(id);
            fields(out, row);
        }
    }

    template <class Reader>
    void load(Reader& in)
    {
        const std::size_t count = in.length();
        for (std::size_t i = 0; i < count && !in.failed(); ++i)
        {
            session_id id;
            session_row row;
            in.number(id);
            fields(in, row);
            if (!id || this->find(id) != nullptr)
                in.fail("session without an id or twice");
            else
                this->add(id, std::move(row));
        }
    }

private:
    template <class Io, class Row>
    static void fields(Io& io, Row& row)
    {
        io.number(row.author);
        io.number(row.incarnation);
        io.text(row.name);
        io.text(row.data_centre);
        io.text(row.peer_address);
        io.text(row.http_address);
        io.number(row.last_renewal);
        io.number(row.ended);
        io.time(row.ended_at);
    }

    std::map<session_id, session_row> rows;
    std::map<author_id, session_id> authors; ///< newest session of each
};

} // namespace roseworks::detail

#pragma once

#include "core/state/record_fields.hpp"

#include <roseworks/record.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace roseworks::detail
{

/// Format of snapshots that this program writes. Format 1 kept no content with
/// a claim.
inline constexpr std::uint16_t newest_snapshot_format = 2;

/// A claim that isn't forgotten.
struct claim_row
{
    session_id session;
    log_offset opened;
    log_offset closed;
    stamp_ms opened_at = 0; ///< log time
    claim_outcome outcome = claim_outcome::open;
    std::uint16_t status = 0;
    claim_content content = 0; ///< 0: not known
    std::string body;
};

/** The claims on idempotency keys, forgotten at the horizon. Decided state.

    Bodies of answers are kept up to a total; the oldest closed give way. Their
    claims stay: only the stored answer is lost, never the key.
*/
class claim_store
{
public:
    /// Longest answer kept with a claim; longer ones aren't kept at all, as
    /// part of an answer would pass for the whole.
    static constexpr std::size_t max_body = 4096;
    /// All answers kept, in bytes.
    static constexpr std::size_t max_bodies = std::size_t(2) << 20;

    const claim_row* find(claim_key key) const;

    /// Open a claim on a free key.
    void open(const claim_open& value, log_offset at, stamp_ms now);

    /** Close an open claim; `not_run` frees the key.

        @param at The closing record.
    */
    void close(const claim_close& value, log_offset at);

    /// Forget the claims opened at or before a log time.
    void forget_until(stamp_ms horizon);

    std::size_t size() const
    {
        return this->rows.size();
    }

    template <class Writer>
    void save(Writer& out) const
    {
        out.number(static_cast<std::uint32_t>(this->rows.size()));
        for (const auto& [opened, key] : this->order)
        {
            const claim_row* row = this->find(key);
            if (row == nullptr || row->opened != opened)
                continue;
            fields(out, key);
            row_fields(out, *row, newest_snapshot_format);
        }
    }

    template <class Reader>
    void load(Reader& in, std::uint16_t format)
    {
        const std::size_t count = in.length();
        for (std::size_t i = 0; i < count && !in.failed(); ++i)
        {
            claim_key key;
            claim_row row;
            fields(in, key);
            row_fields(in, row, format);
            if (in.failed())
                return;
            if (!this->insert(key, std::move(row)))
                in.fail("claim out of order or twice");
        }
    }

private:
    struct key_hash
    {
        std::size_t operator()(const claim_key& key) const
        {
            return key.low ^ (key.high * 0x9E3779B97F4A7C15ULL);
        }
    };

    template <class Io, class Row>
    static void row_fields(Io& io, Row& row, std::uint16_t format)
    {
        io.number(row.session);
        io.number(row.opened);
        io.number(row.closed);
        io.time(row.opened_at);
        io.choice(row.outcome, 4);
        io.number(row.status);
        io.text(row.body);
        if (format >= 2)
            io.number(row.content);
    }

    bool insert(claim_key key, claim_row row);
    void drop_body(claim_row& row);
    void erase(claim_key key);

    std::unordered_map<claim_key, claim_row, key_hash> rows;
    /// Openings in log order; entries of freed keys are skipped.
    std::deque<std::pair<log_offset, claim_key>> order;
    std::map<log_offset, claim_key> bodies; ///< by closing record
    std::size_t body_bytes = 0;
};

} // namespace roseworks::detail

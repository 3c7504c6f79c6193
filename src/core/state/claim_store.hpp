#pragma once

#include "core/state/closed_claims.hpp"
#include "core/state/kept_answers.hpp"
#include "core/state/record_fields.hpp"

#include <roseworks/record.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace roseworks::detail
{

/// Format of snapshots that this program writes. Format 1 kept each claim as
/// one row with its session and answer.
inline constexpr std::uint16_t newest_snapshot_format = 2;

/// A claim that isn't forgotten. Who opened it, and when, is known while it is
/// open.
struct claim_row
{
    session_id session;
    log_offset opened;
    claim_outcome outcome = claim_outcome::open;
    std::uint16_t status = 0;
    claim_content content = 0; ///< 0: not known
    std::string_view body;     ///< valid until the next change
};

/** The claims on idempotency keys, forgotten at the horizon. Decided state.

    An open claim is kept whole; a closed one takes 24 bytes. The horizon counts
    from the opening; half of it counts from the end of the call as well, so
    that a long call is remembered after its end. An open claim isn't forgotten
    while its session lives.
*/
class claim_store
{
public:
    /// @return The claim, empty when the key is free.
    std::optional<claim_row> find(const claim_key& key) const;

    /// Open a claim on a free key.
    void open(const claim_open& value, log_offset at, stamp_ms now);

    /** Close an open claim; `not_run` frees the key.

        @param value   The outcome.
        @param at      The closing record.
        @param now     Log time.
        @param horizon How long claims are kept, in ms.
    */
    void close(
        const claim_close& value,
        log_offset at,
        stamp_ms now,
        stamp_ms horizon);

    /** Forget the claims whose horizon counts from a log time or earlier.

        @param horizon The log time.
        @param live    Whether a session lives: its open claims stay.
    */
    void
    forget_until(stamp_ms horizon, const std::function<bool(session_id)>& live);

    std::size_t size() const
    {
        return this->rows.size() + this->closed.size();
    }

    template <class Writer>
    void save(Writer& out) const
    {
        out.number(static_cast<std::uint32_t>(this->order.size()));
        for (const auto& [opened, key] : this->order)
        {
            fields(out, key);
            open_fields(out, this->rows.at(key));
        }
        this->closed.save(out);
        this->answers.save(out);
    }

    template <class Reader>
    void load(Reader& in, std::uint16_t format)
    {
        const std::size_t count = in.length();
        for (std::size_t i = 0; i < count && !in.failed(); ++i)
        {
            claim_key key;
            fields(in, key);
            if (format == 1)
                this->load_whole(in, key);
            else
                this->load_open(in, key);
        }
        if (format == 1)
            return;
        this->closed.load(in);
        this->answers.load(
            in,
            [this](const claim_key& key)
            {
                return this->closed.find(key) != nullptr;
            });
    }

private:
    struct open_claim
    {
        session_id session;
        log_offset opened;
        stamp_ms opened_at = 0; ///< log time
        claim_content content = 0;
    };

    template <class Io, class Row>
    static void open_fields(Io& io, Row& row)
    {
        io.number(row.session);
        io.number(row.opened);
        io.time(row.opened_at);
        io.number(row.content);
    }

    template <class Reader>
    void load_open(Reader& in, const claim_key& key)
    {
        open_claim row;
        open_fields(in, row);
        if (!in.failed() && !this->insert(key, row))
            in.fail("claim out of order or twice");
    }

    /// A row of format 1.
    template <class Reader>
    void load_whole(Reader& in, const claim_key& key)
    {
        open_claim row;
        closed_claim ended;
        log_offset closed_by;
        std::string body;
        in.number(row.session);
        in.number(row.opened);
        in.number(closed_by);
        in.time(row.opened_at);
        in.choice(ended.outcome, 4);
        in.number(ended.status);
        in.text(body);
        if (in.failed())
            return;
        ended.key = key;
        const bool is_open = ended.outcome == claim_outcome::open;
        const bool fits =
            is_open ? body.empty() && this->insert(key, row)
                    : !this->find(key) &&
                          this->answers.insert(key, closed_by, std::move(body));
        if (!fits)
            return in.fail("claim out of order or twice");
        if (!is_open)
            this->closed.insert(ended, row.opened_at);
    }

    bool insert(const claim_key& key, const open_claim& row);

    std::unordered_map<claim_key, open_claim, claim_key_hash> rows;
    std::map<log_offset, claim_key> order; ///< of the open ones
    closed_claims closed;
    kept_answers answers;
};

} // namespace roseworks::detail

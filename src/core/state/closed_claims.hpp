#pragma once

#include "core/state/key_filter.hpp"
#include "core/state/record_fields.hpp"

#include <roseworks/record.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace roseworks::detail
{

/// A claim whose call has ended.
struct closed_claim
{
    claim_key key;
    claim_content content = 0;
    std::uint16_t status = 0;
    claim_outcome outcome = claim_outcome::answered;
};

static_assert(sizeof(closed_claim) == 24, "bytes of a closed claim");

/** Closed claims in flat rows, gathered by time. Decided state.

    Rows of the same `bucket_ms` of log time stand in one vector, sorted by key;
    forgetting drops whole vectors. A claim is kept for up to `bucket_ms` longer
    than asked, never shorter. Every 32 buckets but the newest have a filter;
    finding costs a probe of each, and a binary search in each bucket behind
    one that may hold the key.
*/
class closed_claims
{
public:
    /// Log time that one bucket covers: about 66 s.
    static constexpr stamp_ms bucket_ms = 65'536;

    /// @return The row, valid until the next change; null when it isn't kept.
    const closed_claim* find(const claim_key& key) const;

    /** Keep a claim that isn't kept yet.

        @param row  The claim.
        @param from Log time that its horizon counts from.
    */
    void insert(const closed_claim& row, stamp_ms from);

    /** Drop the buckets that lie wholly at or before a log time.

        @param horizon The log time.
        @param visit   Called with each key before it is dropped.
    */
    template <class Visit>
    void forget_until(stamp_ms horizon, Visit&& visit)
    {
        while (!this->buckets.empty())
        {
            const auto first = this->buckets.begin();
            const stamp_ms last = (first->first + 1) * bucket_ms - 1;
            if (last > horizon)
                return;
            for (const closed_claim& row : first->second)
                visit(row.key);
            this->count -= first->second.size();
            this->buckets.erase(first);
            this->drop_filters();
        }
    }

    std::size_t size() const
    {
        return this->count;
    }

    template <class Writer>
    void save(Writer& out) const
    {
        out.number(static_cast<std::uint32_t>(this->buckets.size()));
        for (const auto& [number, rows] : this->buckets)
        {
            out.number(number);
            out.number(static_cast<std::uint32_t>(rows.size()));
            for (const closed_claim& row : rows)
                row_fields(out, row);
        }
    }

    template <class Reader>
    void load(Reader& in)
    {
        const std::size_t total = in.length();
        for (std::size_t i = 0; i < total && !in.failed(); ++i)
        {
            stamp_ms number = 0;
            in.number(number);
            std::vector<closed_claim> rows;
            in.list(
                rows,
                [&in](closed_claim& row)
                {
                    row_fields(in, row);
                });
            if (!in.failed() && !this->take(number, std::move(rows)))
                in.fail("closed claims out of order");
        }
    }

private:
    using bucket = std::vector<closed_claim>; ///< sorted by key

    template <class Io, class Row>
    static void row_fields(Io& io, Row& row)
    {
        fields(io, row.key);
        io.number(row.content);
        io.number(row.status);
        io.choice(row.outcome, 4);
    }

    /// Buckets of one filter.
    static constexpr stamp_ms group_buckets = 32;

    /// @return Whether a whole bucket fits behind the others.
    bool take(stamp_ms number, bucket rows);

    /// Give each group before the newest its filter.
    void add_filters();
    key_filter make_filter(stamp_ms group) const;
    /// Drop the filters of groups without buckets.
    void drop_filters();

    std::map<stamp_ms, bucket> buckets;     ///< by log time / `bucket_ms`
    std::map<stamp_ms, key_filter> filters; ///< by bucket / `group_buckets`
    std::size_t count = 0;
};

} // namespace roseworks::detail

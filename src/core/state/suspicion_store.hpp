#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace roseworks::detail
{

/** Requests that crashed backend servers, until their time is over. Decided
    state.

    Each report that isn't a repetition of a record counts as a crash. An
    entry lives for the policy's block time from its last crash.
*/
class suspicion_store
{
public:
    struct row_type
    {
        std::uint32_t crashes = 0;
        bool blocked = false;
        stamp_ms until = 0; ///< log time at which it is forgotten
    };

    /// @return The request's entry, null when it isn't suspect.
    const row_type* find(fingerprint request) const;

    /** Count a crash.

        @param until     Log time at which the entry is forgotten.
        @param threshold Crashes from which on the request is blocked.
        @return          Whether this crash blocked it.
    */
    bool suspect(fingerprint request, stamp_ms until, std::uint32_t threshold);

    /// @return Whether there was an entry to forget.
    bool forget(fingerprint request);

    /// Forget what is over, telling of each request that was blocked.
    template <class Unblocked>
    void sweep(stamp_ms now, Unblocked&& unblocked)
    {
        while (!this->expiry.empty() && this->expiry.begin()->first <= now)
        {
            const fingerprint request = this->expiry.begin()->second;
            const bool blocked = this->find(request)->blocked;
            this->forget(request);
            if (blocked)
                unblocked(request);
        }
    }

    /// @return All entries, in order of fingerprint.
    const std::map<fingerprint, row_type>& all() const
    {
        return this->rows;
    }

    template <class Writer>
    void save(Writer& out) const
    {
        out.number(static_cast<std::uint32_t>(this->rows.size()));
        for (const auto& [request, row] : this->rows)
        {
            out.number(request);
            out.number(row.crashes);
            out.number(row.blocked);
            out.time(row.until);
        }
    }

    template <class Reader>
    void load(Reader& in)
    {
        const std::size_t count = in.length();
        for (std::size_t i = 0; i < count && !in.failed(); ++i)
        {
            fingerprint request;
            row_type row;
            in.number(request);
            in.number(row.crashes);
            in.number(row.blocked);
            in.time(row.until);
            if (!this->rows.emplace(request, row).second)
                in.fail("suspect request twice");
            this->expiry.emplace(row.until, request);
        }
    }

private:
    std::map<fingerprint, row_type> rows;
    std::set<std::pair<stamp_ms, fingerprint>> expiry;
};

} // namespace roseworks::detail

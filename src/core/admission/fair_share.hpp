#pragma once

#include "core/admission/queue_item.hpp"

#include <cstddef>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace roseworks::detail
{

/** Waiting requests of one priority class, fair between callers.

    Start-time fair queueing: each caller has a virtual time that advances by
    cost / weight when it is served, and the lowest goes next; a caller that
    comes back from idle starts at the class's virtual time, so that idling
    earns nothing. Among a caller's own requests the earliest deadline goes
    first. Long prompts are kept apart, so that they can be left out.

    Hint. Logarithmic in the requests and callers that wait.
*/
class fair_share
{
public:
    void push(const queue_item& item);

    /// Removes a request that was pushed; its caller isn't charged.
    void erase(const queue_item& item);

    /// @param allow_long Whether a long prompt may be chosen.
    /// @return           Who goes next, empty when nobody may.
    std::optional<ticket> next(bool allow_long) const;

    /// Charges a caller for a request served.
    void charge(const queue_item& item);

    /** Estimate how many requests of this class go before one.

        @param item A request, pushed or not yet.
        @return     The lower of all that wait and the caller's own position
                    times the share of the others.
    */
    std::size_t ahead_of(const queue_item& item) const;

    /// Called for each request with the estimate of those before it.
    /// @return Whether the request goes on waiting.
    using examiner = std::function<bool(ticket, std::size_t ahead)>;

    /** Examine each request, by caller and deadline.

        @param examine Whether it goes on waiting; when not, it doesn't count
                       for those behind it.
        @return        Those that don't go on; they aren't removed yet.
    */
    std::vector<ticket> examine_all(const examiner& examine) const;

    /// @return The latest deadline of the caller with the most waiting.
    std::optional<ticket> least_wanted() const;

    /// @return The earliest deadline, empty when nobody waits.
    std::optional<instant> earliest_deadline() const;

    std::size_t size() const
    {
        return this->count;
    }

    std::size_t short_size() const
    {
        return this->short_count;
    }

private:
    using key = std::pair<instant, std::uint64_t>;
    using ordered_keys = __gnu_pbds::tree<
        key,
        __gnu_pbds::null_type,
        std::less<key>,
        __gnu_pbds::rb_tree_tag,
        __gnu_pbds::tree_order_statistics_node_update>;

    struct line
    {
        std::uint64_t pass = 0;
        std::uint16_t weight = 1;
        ordered_keys short_items;
        ordered_keys long_items;

        std::size_t size() const
        {
            return this->short_items.size() + this->long_items.size();
        }
    };

    std::size_t
    ahead_at(std::size_t position, std::size_t own, const line& of) const;
    void forget_idle();

    std::map<caller_number, line> lines;
    std::set<std::pair<std::uint64_t, caller_number>> active;
    std::uint64_t virtual_time = 0;
    std::uint64_t active_weight = 0;
    std::size_t count = 0;
    std::size_t short_count = 0;
};

} // namespace roseworks::detail
